#include "dandelionmount/process/claim_store.h"

#include "tests/support/seed.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <random>

namespace dm = dandelionmount;
namespace wire = dandelionmount::wire;

namespace {

constexpr dm::steady_time start{std::chrono::hours(1)};

wire::claim_request make_claim(const std::string& holder, const std::string& fingerprint) {
    wire::claim_request request;
    request.set_account("kiosk");
    request.set_key("note-1");
    request.set_fingerprint(fingerprint);
    request.set_request_id(holder);
    return request;
}

wire::claim_finish make_finish(const std::string& holder, bool released) {
    wire::claim_finish finish;
    finish.set_account("kiosk");
    finish.set_key("note-1");
    finish.set_request_id(holder);
    finish.set_released(released);
    finish.mutable_answer()->set_status(200);
    return finish;
}

dm::claim_store complete_store() {
    dm::claim_store store;
    store.complete = true;
    return store;
}

} // namespace

TEST_SUITE_BEGIN("process");

TEST_CASE("A key is granted to one request, and again to the same request") {
    auto store = complete_store();
    CHECK(dm::answer_claim(store, make_claim("r1", "f"), start).state() == wire::claim_granted);
    CHECK(dm::answer_claim(store, make_claim("r1", "f"), start).state() == wire::claim_granted);
    CHECK(dm::answer_claim(store, make_claim("r2", "f"), start).state() == wire::claim_running);
    CHECK(dm::answer_claim(store, make_claim("r3", "g"), start).state() == wire::claim_mismatch);
}

TEST_CASE("A repeat of a finished request gets its answer") {
    auto store = complete_store();
    (void)dm::answer_claim(store, make_claim("r1", "f"), start);
    dm::finish_claim(store, make_finish("r1", false));
    const auto reply = dm::answer_claim(store, make_claim("r2", "f"), start);
    CHECK(reply.state() == wire::claim_finished);
    CHECK(reply.answer().status() == 200);
}

TEST_CASE("A request that did not run releases its key, and only the holder can release it") {
    auto store = complete_store();
    (void)dm::answer_claim(store, make_claim("r1", "f"), start);
    dm::finish_claim(store, make_finish("r2", true));
    CHECK(dm::answer_claim(store, make_claim("r2", "f"), start).state() == wire::claim_running);
    dm::finish_claim(store, make_finish("r1", true));
    CHECK(dm::answer_claim(store, make_claim("r2", "f"), start).state() == wire::claim_granted);
}

TEST_CASE("A store that may lack records grants no new key") {
    dm::claim_store store;
    CHECK(dm::answer_claim(store, make_claim("r1", "f"), start).state() == wire::claim_abstained);
}

TEST_CASE("A key is available again after the window") {
    auto store = complete_store();
    (void)dm::answer_claim(store, make_claim("r1", "f"), start);
    const auto later = start + store.window + std::chrono::seconds(1);
    CHECK(dm::answer_claim(store, make_claim("r2", "f"), later).state() == wire::claim_granted);
}

TEST_CASE("Owners of a key are in different zones") {
    const std::vector<dm::zone_settings> zones = {{"a", 5}, {"b", 3}, {"c", 3}, {"d", 3}};
    for (int key = 0; key < 100; ++key) {
        const auto owners = dm::choose_claim_owners({"kiosk", std::to_string(key)}, zones);
        REQUIRE(owners.size() == 3);
        CHECK(owners[0][0] != owners[1][0]);
        CHECK(owners[1][0] != owners[2][0]);
        CHECK(owners[0][0] != owners[2][0]);
    }
}

TEST_CASE("No key has two holders while owners are replaced and claims race") {
    const auto range = tests::seeds(400);
    for (std::uint64_t seed = range.first; seed < range.first + range.count; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        std::array<dm::claim_store, 3> owners{complete_store(), complete_store(), complete_store()};
        int holders = 0;
        for (int claimant = 0; claimant < 60; ++claimant) {
            const std::string name = "r" + std::to_string(claimant);
            std::size_t granted = 0;
            for (auto& owner : owners) {
                // Some requests and answers are lost.
                const bool request_received = random() % 10 != 0;
                const bool reply_received = random() % 10 != 0;
                if (request_received) {
                    const auto reply = dm::answer_claim(owner, make_claim(name, "f"), start);
                    granted += reply_received && reply.state() == wire::claim_granted ? 1 : 0;
                }
            }
            if (2 * granted > owners.size()) {
                ++holders;
            } else {
                for (auto& owner : owners) {
                    if (random() % 10 != 0) {
                        dm::finish_claim(owner, make_finish(name, true));
                    }
                }
            }
            // A replaced owner copies the records of the two others before it grants anything.
            if (random() % 5 == 0) {
                const std::size_t index = random() % owners.size();
                const bool others_complete =
                    owners[(index + 1) % 3].complete && owners[(index + 2) % 3].complete;
                owners[index] = dm::claim_store{};
                for (std::size_t other = 0; other < owners.size() && others_complete; ++other) {
                    for (const auto& [key, entry] : owners[other].entries) {
                        wire::claim_record record;
                        record.set_account(key.account);
                        record.set_key(key.key);
                        record.set_fingerprint(entry.fingerprint);
                        record.set_request_id(entry.request_id);
                        record.set_finished(entry.finished);
                        if (other != index) {
                            dm::copy_claim(owners[index], record, start);
                        }
                    }
                }
                owners[index].complete = others_complete;
            }
        }
        CHECK(holders <= 1);
    }
}

TEST_SUITE_END();
