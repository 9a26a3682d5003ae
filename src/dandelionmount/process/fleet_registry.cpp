#include "dandelionmount/process/fleet_registry.h"

#include "dandelionmount/process/crypto.h"
#include "dandelionmount/process/host_record.h"
#include "dandelionmount/process/logging.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <set>

namespace dandelionmount {

namespace asio = boost::asio;

namespace {

constexpr std::string_view secret_key = "secret";
constexpr std::string_view host_prefix = "host/";
constexpr std::size_t secret_bytes = 32;
// Bounds the time until a silent connection to the store is noticed. Only a few hosts poll, on behalf of the
// others.
constexpr duration registry_poll_timeout = std::chrono::seconds(3);
// Records written in quick succession are read together. While the fleet starts, those of all hosts come
// within seconds.
constexpr duration registry_batch_delay = std::chrono::milliseconds(150);
constexpr duration start_batch_delay = std::chrono::seconds(1);
constexpr duration fleet_start_duration = std::chrono::seconds(4);
// A host that has just started is published together with its target, unless the target takes longer than
// this.
constexpr duration target_wait_limit = std::chrono::seconds(3);
// Exponential backoff after a write that failed. Its jitter keeps the hosts of a fleet apart.
constexpr duration min_write_backoff = std::chrono::milliseconds(500);
constexpr duration max_write_backoff = std::chrono::seconds(4);
// The hosts of a fleet that starts propose a secret spread over this time, so that few do before the first
// one is known.
constexpr duration secret_proposal_spread = std::chrono::milliseconds(500);
// Time after which a proposed secret should have been read.
constexpr duration secret_read_timeout = std::chrono::milliseconds(500);
// Changes in quick succession are written once.
constexpr duration write_delay = std::chrono::milliseconds(20);
constexpr int max_leave_attempts = 2;
// Time in which a living host notices that the store has lost its record and writes it again, with retries.
constexpr duration missing_record_limit = std::chrono::seconds(6);

std::string key_of_host(std::string_view host) {
    return std::string(host_prefix) + std::string(host);
}

} // namespace

fleet_registry::fleet_registry(fleet_registry_context context)
    : context_(std::move(context)), started_(context_.time.now()),
      follower_({context_.executor, context_.time, context_.counters, context_.store, context_.random,
                 context_.topic, [] { return registry_poll_timeout; }, [this] { return batch_delay(); },
                 context_.peers},
                {[this](std::span<const keyed_record> records, bool is_snapshot) {
                     apply_records(records, is_snapshot);
                 },
                 [](steady_time) {}}) {}

duration fleet_registry::batch_delay() const {
    const bool fleet_starts = context_.time.now() - started_ < fleet_start_duration;
    return fleet_starts ? start_batch_delay : registry_batch_delay;
}

void fleet_registry::start() {
    follower_.start();
}

void fleet_registry::stop() {
    is_leaving_ = true;
    follower_.stop();
}

void fleet_registry::apply_records(std::span<const keyed_record> records, bool is_snapshot) {
    std::set<std::string, std::less<>> keys;
    for (const auto& record : records) {
        apply_record(record, is_snapshot);
        keys.insert(record.key);
    }
    if (is_snapshot) {
        apply_snapshot_gaps(keys);
    }
    if (secret_.empty() && !is_proposing_) {
        is_proposing_ = true;
        asio::co_spawn(context_.executor, propose_secret(), asio::detached);
    }
    publish();
    context_.on_change();
}

// A snapshot lacks the hosts that have left. After the store came back from an older copy it also lacks those
// that have joined since, which write their records again.
void fleet_registry::apply_snapshot_gaps(const std::set<std::string, std::less<>>& keys) {
    const bool is_older_copy = snapshot_era_ && follower_.era() != *snapshot_era_;
    snapshot_era_ = follower_.era();
    std::vector<std::string> gone;
    for (const auto& [host, member] : context_.members.others) {
        if (!keys.contains(key_of_host(host))) {
            gone.push_back(host);
        }
    }
    for (const auto& host : gone) {
        if (is_older_copy) {
            missing_since_.try_emplace(host, context_.time.now());
        } else {
            erase_record(context_.members, host);
        }
    }
    if (!keys.contains(key_of_host(context_.members.self.host()))) {
        stored_own_record_.clear();
    }
    const bool lacks_secret = !secret_.empty() && !keys.contains(secret_key);
    secret_is_missing_ = lacks_secret;
    // Every host knows the secret; the few that read the store for the others write it.
    if (lacks_secret && !is_proposing_ && context_.peers.reads_store()) {
        is_proposing_ = true;
        asio::co_spawn(context_.executor, restore_secret(), asio::detached);
    }
    if (is_older_copy) {
        log_event(log_level::info, "host records read from an older copy of the store",
                  {{"era", std::to_string(*snapshot_era_)},
                   {"missing_hosts", std::to_string(gone.size())},
                   {"own_record_missing", stored_own_record_.empty() ? "yes" : "no"},
                   {"secret_missing", lacks_secret ? "yes" : "no"}});
    }
}

void fleet_registry::remove_missing_hosts() {
    const auto now = context_.time.now();
    for (const auto& [host, since] : missing_since_) {
        if (now - since >= missing_record_limit) {
            log_event(log_level::info, "host record not written again", {{"host", host}});
            erase_record(context_.members, host);
        }
    }
    std::erase_if(missing_since_,
                  [now](const auto& entry) { return now - entry.second >= missing_record_limit; });
}

void fleet_registry::apply_record(const keyed_record& record, bool is_snapshot) {
    if (record.key == secret_key) {
        secret_is_missing_ = false;
        // The first secret is final: a later one would split the fleet.
        if (secret_.empty() && record.value) {
            secret_ = *record.value;
            log_event(log_level::info, "fleet secret received");
        }
        return;
    }
    if (!record.key.starts_with(host_prefix)) {
        return;
    }
    const std::string host = record.key.substr(host_prefix.size());
    if (host == context_.members.self.host()) {
        apply_own_record(record.value.value_or(""), is_snapshot);
        return;
    }
    missing_since_.erase(host);
    if (!record.value) {
        log_event(log_level::info, "host record removed", {{"host", host}});
        erase_record(context_.members, host);
        return;
    }
    auto member = read_host_record(host, *record.value);
    if (!member) {
        log_event(log_level::warning, "malformed host record", {{"host", host}});
        return;
    }
    member->set_state(wire::member_alive);
    log_event(log_level::info, "host record received",
              {{"host", host},
               {"address", member->address()},
               {"service", member->service()},
               {"target", std::to_string(member->target())},
               {"slots", std::to_string(member->target_slots())}});
    store_record(context_.members, *member);
}

// The topic's history also has the earlier records of this process. Those that were replaced by an
// acknowledged write need no attention, unless a write of the same record went unanswered and may have taken
// effect late. A snapshot has only the newest record, which may be an earlier one of this process again when
// the store came back from an older copy.
void fleet_registry::apply_own_record(const std::string& text, bool is_snapshot) {
    const bool is_replaced =
        !is_snapshot && acknowledged_records_.contains(text) && !unanswered_records_.contains(text);
    if (!is_replaced || text == write_host_record(context_.members.self)) {
        stored_own_record_ = text;
    }
}

// Every host that finds no secret proposes a random one. The append is conditional on the offset, so the
// store accepts only the first.
asio::awaitable<void> fleet_registry::propose_secret() {
    std::uniform_real_distribution<double> draw(0, to_seconds(secret_proposal_spread));
    co_await sleep_for(context_.executor, from_seconds(draw(context_.random)));
    while (secret_.empty() && !is_leaving_) {
        keyed_record record{std::string(secret_key), to_hex(random_bytes(secret_bytes))};
        context_.counters.count_store_call(store_call::secret);
        const auto appended = co_await context_.store.append(context_.topic, record, follower_.next());
        if (!appended) {
            log_event(log_level::warning, "fleet secret could not be written",
                      {{"cause", appended.error().message}});
        }
        co_await sleep_for(context_.executor, secret_read_timeout);
    }
    is_proposing_ = false;
}

// Until the secret is back, a host that starts could propose another one, which the others would not accept.
asio::awaitable<void> fleet_registry::restore_secret() {
    std::uniform_real_distribution<double> draw(0, to_seconds(secret_proposal_spread));
    co_await sleep_for(context_.executor, from_seconds(draw(context_.random)));
    while (secret_is_missing_ && !is_leaving_) {
        context_.counters.count_store_call(store_call::secret);
        keyed_record record{std::string(secret_key), secret_};
        const auto appended = co_await context_.store.append(context_.topic, record, std::nullopt);
        if (appended) {
            break;
        }
        log_event(log_level::warning, "fleet secret could not be written again",
                  {{"cause", appended.error().message}});
        co_await sleep_for(context_.executor, secret_read_timeout);
    }
    is_proposing_ = false;
}

void fleet_registry::publish() {
    remove_missing_hosts();
    const bool waits_for_target = context_.members.self.target() == wire::target_none &&
                                  context_.time.now() - started_ < target_wait_limit;
    if (!is_writing_ && !waits_for_target && !is_leaving_ && !secret_.empty() &&
        stored_own_record_ != write_host_record(context_.members.self)) {
        is_writing_ = true;
        asio::co_spawn(context_.executor, write_own_record(), asio::detached);
    }
}

// Writes until the store has acknowledged the current record. A write whose answer was lost may still take
// effect later and overwrite a newer one; its record is then read, and the current one written again.
asio::awaitable<void> fleet_registry::write_own_record() {
    duration backoff = min_write_backoff;
    std::uniform_real_distribution<double> draw(0.5, 1.0);
    while (!is_leaving_ && stored_own_record_ != write_host_record(context_.members.self)) {
        co_await sleep_for(context_.executor, write_delay);
        const std::string text = write_host_record(context_.members.self);
        keyed_record record{key_of_host(context_.members.self.host()), text};
        context_.counters.count_store_call(store_call::own_record);
        const auto appended = co_await context_.store.append(context_.topic, std::move(record), std::nullopt);
        if (appended) {
            acknowledged_records_.insert(text);
            stored_own_record_ = text;
            backoff = min_write_backoff;
            continue;
        }
        unanswered_records_.insert(text);
        log_event(log_level::warning, "own host record could not be written",
                  {{"cause", appended.error().message}});
        co_await sleep_for(context_.executor, from_seconds(to_seconds(backoff) * draw(context_.random)));
        backoff = std::min(max_write_backoff, backoff * 2);
    }
    is_writing_ = false;
}

asio::awaitable<void> fleet_registry::leave() {
    is_leaving_ = true;
    for (int attempt = 0; attempt < max_leave_attempts; ++attempt) {
        keyed_record record{key_of_host(context_.members.self.host()), std::nullopt};
        context_.counters.count_store_call(store_call::leave);
        const auto appended = co_await context_.store.append(context_.topic, std::move(record), std::nullopt);
        if (appended) {
            has_left_ = true;
            co_return;
        }
        log_event(log_level::warning, "own host record could not be removed",
                  {{"cause", appended.error().message}});
    }
}

asio::awaitable<void> fleet_registry::remove(std::string host) {
    keyed_record record{key_of_host(host), std::nullopt};
    context_.counters.count_store_call(store_call::removal);
    const auto appended = co_await context_.store.append(context_.topic, std::move(record), std::nullopt);
    const std::string outcome = appended ? "removed" : appended.error().message;
    log_event(log_level::info, "removal of an unreachable host", {{"host", host}, {"outcome", outcome}});
}

} // namespace dandelionmount
