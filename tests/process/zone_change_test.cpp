#include "dandelionmount/process/claim_service.h"
#include "dandelionmount/process/configuration_store.h"
#include "dandelionmount/process/share_owner_cache.h"
#include "dandelionmount/process/token_share.h"

#include "tests/support/seed.h"

#include <doctest/doctest.h>
#include <random>

namespace dm = dandelionmount;
namespace wire = dandelionmount::wire;

namespace {

using zone_list = std::vector<dm::zone_settings>;
using milliseconds = std::chrono::milliseconds;

constexpr std::uint32_t max_hosts = 6;
constexpr double rounding = 1e-9;

std::string document(const zone_list& zones) {
    std::string text;
    for (const auto& zone : zones) {
        text += "[[zone]]\nname = \"" + zone.name + "\"\nhosts = " + std::to_string(zone.hosts) + "\n";
    }
    return text;
}

zone_list draw_zones(std::mt19937_64& random) {
    std::uniform_int_distribution<std::uint32_t> hosts(1, max_hosts);
    zone_list zones{{"a", hosts(random)}, {"b", hosts(random)}, {"c", hosts(random)}};
    if (random() % 2 == 0) {
        zones.push_back({"d", hosts(random)});
    }
    return zones;
}

// One host slot with the configuration that it has received from the log so far.
struct slot_view {
    dm::slot_id id;
    dm::configuration_store store;
    dm::share_owner_cache cache;

    double fraction(std::string_view account, dm::duration window) {
        return dm::slot_fraction(account, id, store.zones_within(window), cache);
    }
};

// A log of documents with different zones, and all slots that may exist under any of them.
class changing_fleet {
public:
    explicit changing_fleet(std::uint64_t seed) : random_(seed) {
        for (const std::string_view zone : {"a", "b", "c", "d"}) {
            for (std::uint32_t slot = 0; slot < max_hosts; ++slot) {
                auto view = std::make_unique<slot_view>(
                    slot_view{{zone, slot}, dm::configuration_store({}, time_), {}});
                views_.push_back(std::move(view));
            }
        }
        append();
        deliver_to_all();
        time_.advance(std::chrono::minutes(1));
    }

    void append() {
        log_.push_back(dm::make_document_record(std::to_string(log_.size()), log_.size(),
                                                document(draw_zones(random_))));
    }

    // Lets each slot receive the end of the log at a random time within `zone_change_window`. Returns the
    // largest sum of fractions when slots regard earlier zones for `window`.
    double largest_sum(dm::duration window) {
        constexpr milliseconds step(100);
        const auto started_at = time_.now();
        std::vector<dm::steady_time> receives_at;
        std::uniform_int_distribution<int> delay(0, 59);
        for (std::size_t index = 0; index < views_.size(); ++index) {
            receives_at.push_back(started_at + delay(random_) * step);
        }
        double largest = 0;
        while (time_.now() < started_at + std::chrono::seconds(14)) {
            for (std::size_t index = 0; index < views_.size(); ++index) {
                if (time_.now() >= receives_at[index]) {
                    views_[index]->store.apply_records(0, log_);
                }
            }
            double sum = 0;
            for (const auto& view : views_) {
                sum += view->fraction("kiosk", window);
            }
            largest = std::max(largest, sum);
            time_.advance(step);
        }
        return largest;
    }

private:
    void deliver_to_all() {
        for (const auto& view : views_) {
            view->store.apply_records(0, log_);
        }
    }

    std::mt19937_64 random_;
    dm::manual_time_source time_;
    std::vector<std::string> log_;
    std::vector<std::unique_ptr<slot_view>> views_;
};

wire::claim_request make_claim(const std::string& request_id) {
    wire::claim_request request;
    request.set_account("kiosk");
    request.set_key("note-17");
    request.set_fingerprint("f");
    request.set_request_id(request_id);
    return request;
}

// Lets requests claim one key while some hosts have applied a change of the zones and others have not;
// returns how many of the requests may run.
int count_holders(std::uint64_t seed, bool includes_earlier_owners) {
    std::mt19937_64 random(seed);
    const dm::steady_time now{std::chrono::hours(1)};
    const dm::claim_name name{"kiosk", "note-17"};
    const auto before = dm::choose_claim_owners(name, draw_zones(random));
    const auto after = dm::choose_claim_owners(name, draw_zones(random));
    std::map<std::string, dm::claim_store> stores;
    int holders = 0;
    for (int claimant = 0; claimant < 20; ++claimant) {
        const bool has_applied_change = random() % 2 == 0;
        std::vector<dm::owner_group> groups{has_applied_change ? after : before};
        if (has_applied_change && includes_earlier_owners) {
            groups.push_back(before);
        }
        std::set<std::string> granted;
        for (const auto& group : groups) {
            for (const auto& slot : group) {
                stores[slot].complete = true;
                const bool lost = random() % 10 == 0;
                const auto request = make_claim(std::to_string(claimant));
                const auto reply = dm::answer_claim(stores[slot], request, now);
                if (!lost && reply.state() == wire::claim_granted) {
                    granted.insert(slot);
                }
            }
        }
        holders += dm::has_majority_in_each_group(groups, granted) ? 1 : 0;
    }
    return holders;
}

} // namespace

TEST_SUITE_BEGIN("process");

TEST_CASE(
    "Fractions of an account's rate never add up to more than 1 while hosts apply changes of the zones") {
    const auto range = tests::seeds(30);
    for (std::uint64_t seed = range.first; seed < range.first + range.count; ++seed) {
        CAPTURE(seed);
        changing_fleet fleet(seed);
        for (int change = 0; change < 4; ++change) {
            fleet.append();
            CHECK(fleet.largest_sum(dm::zone_change_window) <= 1 + rounding);
        }
    }
}

TEST_CASE("Without regard to earlier zones, fractions would add up to more than 1") {
    double largest = 0;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        changing_fleet fleet(seed);
        fleet.append();
        largest = std::max(largest, fleet.largest_sum(dm::duration{0}));
    }
    CHECK(largest > 1.2);
}

TEST_CASE("A share acquired through a change of the zones starts without tokens that earlier owners may have "
          "granted") {
    const dm::steady_time now{std::chrono::hours(1)};
    const auto slot_acquired_at = now - std::chrono::minutes(10);
    CHECK(dm::refill_start(slot_acquired_at, std::nullopt, now) == slot_acquired_at);
    CHECK(dm::refill_start(slot_acquired_at, now - std::chrono::seconds(1), now) == now);
    CHECK(dm::refill_start(slot_acquired_at, now - std::chrono::minutes(1), now) ==
          now - std::chrono::minutes(1) + dm::zone_change_window);
    CHECK(dm::refill_start(slot_acquired_at, now - std::chrono::minutes(20), now) == slot_acquired_at);
}

TEST_CASE("A process that starts from a snapshot also uses the earlier zones until their window has passed") {
    dm::configuration_state state;
    dm::apply_record(state, dm::make_document_record("one", 0, document({{"a", 2}})));
    dm::apply_record(state, dm::make_document_record("two", state.document_version, document({{"a", 3}})));
    dm::apply_record(state, dm::make_document_record("three", state.document_version, document({{"a", 3}})));
    const auto copy = dm::read_snapshot(dm::make_snapshot_record(state));
    REQUIRE(copy);
    CHECK(dm::state_fingerprint(copy.value()) == dm::state_fingerprint(state));
    dm::manual_time_source time;
    dm::configuration_store store({}, time);
    store.adopt(copy.value());
    const auto lists = store.zones_within(std::chrono::seconds(6));
    REQUIRE(lists.size() == 2);
    CHECK(lists[0][0].hosts == 3);
    CHECK(lists[1][0].hosts == 2);
    time.advance(std::chrono::seconds(7));
    CHECK(store.zones_within(std::chrono::seconds(6)).size() == 1);
}

TEST_CASE("Only one request wins an idempotency key while hosts apply a change of the zones") {
    const auto range = tests::seeds(500);
    for (std::uint64_t seed = range.first; seed < range.first + range.count; ++seed) {
        CAPTURE(seed);
        CHECK(count_holders(seed, true) <= 1);
    }
}

TEST_CASE("Without the earlier owners, two requests would win one key") {
    int max_holders = 0;
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        max_holders = std::max(max_holders, count_holders(seed, false));
    }
    CHECK(max_holders > 1);
}

TEST_SUITE_END();
