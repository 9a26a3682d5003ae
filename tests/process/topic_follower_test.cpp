#include "dandelionmount/process/topic_follower.h"

#include "dandelionmount/connection/async_event.h"
#include "tests/support/memory_store.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <map>

namespace dm = dandelionmount;
namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

struct follower_fixture {
    void run(int for_ms) {
        io.restart();
        io.run_for(milliseconds(for_ms));
    }

    asio::io_context io{1};
    dm::system_time_source time;
    dm::metrics counters;
    std::mt19937_64 random{1};
    tests::memory_store store{io};
    std::map<std::string, std::string> seen;
    std::optional<dm::steady_time> caught_up;
    dm::topic_follower follower{{io.get_executor(), time, counters, store, random, "topic",
                                 [] { return milliseconds(10); }, [] { return dm::duration{0}; },
                                 std::nullopt},
                                {[this](std::span<const dm::keyed_record> records, bool) {
                                     for (const auto& record : records) {
                                         seen[record.key] = record.value.value_or("");
                                     }
                                 },
                                 [this](dm::steady_time as_of) { caught_up = as_of; }}};
};

// One host reads the store; the other relies on the ends that the first one reports.
struct sharing_fixture {
    sharing_fixture() {
        dm::topic_peers peers;
        peers.reads_store = [this] { return reads_store; };
        peers.end_validity = milliseconds(80);
        peers.fetch = [this](std::string host, std::uint64_t era,
                             std::uint64_t from) -> asio::awaitable<dm::result<dm::topic_records>> {
            const auto records = reader.follower.records_from(era, from);
            if (!fetch_works || !records) {
                co_return dm::failure{"no link to " + host};
            }
            dm::topic_records found{*records, era, from + records->size(), from + records->size()};
            co_return found;
        };
        follower.emplace(dm::topic_follower_context{
                             reader.io.get_executor(), reader.time, counters, own_store, reader.random,
                             "topic", [] { return milliseconds(10); }, [] { return dm::duration{0}; }, peers},
                         dm::topic_handlers{[this](std::span<const dm::keyed_record> records, bool) {
                                                for (const auto& record : records) {
                                                    seen[record.key] = record.value.value_or("");
                                                }
                                            },
                                            [this](dm::steady_time as_of) { caught_up = as_of; }});
        reader.store.put("a", "1");
        own_store.put("a", "1");
        reader.follower.start();
        follower->start();
        reader.run(30);
    }

    void put(const std::string& key, const std::string& value) {
        reader.store.put(key, value);
        own_store.put(key, value);
    }

    // Reports the reader's end to the follower several times within its validity.
    void run_with_peer_ends(int for_ms) {
        for (int elapsed = 0; elapsed < for_ms; elapsed += 20) {
            follower->apply_peer_end("reader", reader.follower.known_end().value());
            reader.run(20);
        }
    }

    follower_fixture reader;
    dm::metrics counters;
    tests::memory_store own_store{reader.io};
    bool reads_store{false};
    bool fetch_works{true};
    std::optional<dm::topic_follower> follower;
    std::map<std::string, std::string> seen;
    std::optional<dm::steady_time> caught_up;
};

} // namespace

TEST_SUITE_BEGIN("process");

TEST_CASE("A follower passes on existing and new records, and the time at which it was up to date") {
    follower_fixture fixture;
    fixture.store.put("a", "1");
    const auto before = fixture.time.now_with_suspension();
    fixture.follower.start();
    fixture.run(30);
    CHECK(fixture.seen["a"] == "1");
    REQUIRE(fixture.caught_up);
    CHECK(*fixture.caught_up >= before);
    CHECK(*fixture.caught_up <= fixture.time.now_with_suspension());
    fixture.store.put("a", "2");
    fixture.run(30);
    CHECK(fixture.seen["a"] == "2");
}

TEST_CASE("While the store refuses calls, nothing counts as up to date and few calls are made") {
    follower_fixture fixture;
    fixture.follower.start();
    fixture.run(30);
    fixture.store.refuses = true;
    fixture.run(20);
    const auto fresh = fixture.caught_up;
    fixture.store.calls = 0;
    fixture.run(1000);
    CHECK(fixture.caught_up == fresh);
    CHECK_FALSE(fixture.follower.is_connected());
    CHECK(fixture.store.calls < 12);
    fixture.store.refuses = false;
    fixture.store.put("b", "1");
    fixture.run(1000);
    CHECK(fixture.seen["b"] == "1");
    CHECK(fixture.caught_up > fresh);
}

TEST_CASE("A follower reads the newest records when the store has dropped its history") {
    follower_fixture fixture;
    fixture.store.put("a", "1");
    fixture.follower.start();
    fixture.run(30);
    fixture.store.refuses = true;
    fixture.run(60);
    fixture.store.put("a", "2");
    fixture.store.put("b", "1");
    fixture.store.trim();
    fixture.store.refuses = false;
    fixture.run(1000);
    CHECK(fixture.seen["a"] == "2");
    CHECK(fixture.seen["b"] == "1");
}

TEST_CASE("A follower is up to date only after it read the topic to its end") {
    follower_fixture fixture;
    fixture.follower.start();
    fixture.run(30);
    fixture.store.refuses = true;
    fixture.run(200);
    const auto fresh = fixture.caught_up;
    for (const auto* value : {"1", "2", "3"}) {
        fixture.store.put("a", value);
    }
    fixture.store.max_records_per_read = 0;
    fixture.store.refuses = false;
    fixture.run(1000);
    CHECK(fixture.caught_up == fresh);
    fixture.store.max_records_per_read = 1;
    fixture.run(50);
    CHECK(fixture.seen["a"] == "3");
    CHECK(fixture.caught_up > fresh);
}

TEST_CASE(
    "A follower does not read while other hosts report its end as current, and reads again without reports") {
    sharing_fixture fixture;
    fixture.run_with_peer_ends(40);
    fixture.own_store.calls = 0;
    fixture.run_with_peer_ends(400);
    CHECK(fixture.own_store.calls == 0);
    CHECK(fixture.caught_up >= fixture.reader.time.now_with_suspension() - milliseconds(80));
    fixture.reader.run(120);
    CHECK(fixture.own_store.calls > 0);
}

TEST_CASE("A host that reads for the others keeps reading whatever they report") {
    sharing_fixture fixture;
    fixture.reads_store = true;
    fixture.run_with_peer_ends(40);
    fixture.own_store.calls = 0;
    fixture.run_with_peer_ends(100);
    CHECK(fixture.own_store.calls > 3);
}

TEST_CASE("A follower whose store calls are refused gets records and their age from another host") {
    sharing_fixture fixture;
    fixture.own_store.refuses = true;
    fixture.put("a", "2");
    fixture.reader.run(30);
    const auto before = fixture.reader.time.now_with_suspension();
    fixture.run_with_peer_ends(60);
    CHECK(fixture.seen["a"] == "2");
    CHECK(fixture.caught_up >= before - milliseconds(40));
    CHECK(fixture.own_store.calls < 20);
}

TEST_CASE("A follower reads the store when the host with later records does not return them") {
    sharing_fixture fixture;
    fixture.fetch_works = false;
    fixture.put("a", "2");
    fixture.reader.run(30);
    const auto fresh = fixture.caught_up;
    fixture.follower->apply_peer_end("reader", fixture.reader.follower.known_end().value());
    // A later end at another host does not make this follower up to date.
    CHECK(fixture.caught_up == fresh);
    fixture.reader.run(60);
    CHECK(fixture.seen["a"] == "2");
}

TEST_CASE("A follower returns the records that it still keeps, and none when there is a gap") {
    follower_fixture fixture;
    fixture.store.put("a", "1");
    fixture.follower.start();
    fixture.run(30);
    for (const auto* value : {"2", "3"}) {
        fixture.store.put("a", value);
        fixture.run(30);
    }
    const auto records = fixture.follower.records_from(1, 2);
    REQUIRE(records);
    REQUIRE(records->size() == 1);
    CHECK(records->front().value == "3");
    CHECK(fixture.follower.records_from(1, 3)->empty());
    CHECK_FALSE(fixture.follower.records_from(1, 0));
    CHECK_FALSE(fixture.follower.records_from(1, 4));
}

// Guards against hosts that start together: the records of 195 of them were more than a host kept, so all
// read the store.
TEST_CASE("A follower hands on the records of a fleet of hundreds that has just started") {
    follower_fixture fixture;
    fixture.store.put("secret", "1");
    fixture.follower.start();
    fixture.run(30);
    fixture.store.max_records_per_read = 1000;
    for (int host = 0; host < 500; ++host) {
        fixture.store.put("host/" + std::to_string(host), "record");
    }
    fixture.run(30);
    const auto records = fixture.follower.records_from(1, 1);
    REQUIRE(records);
    CHECK(records->size() == 500);
}

// Guards against a fleet that calls a refusing store from all hosts at once, again and again.
TEST_CASE("While the store refuses all hosts, those that do not read for the others call it seldom") {
    sharing_fixture fixture;
    fixture.run_with_peer_ends(40);
    fixture.own_store.refuses = true;
    fixture.own_store.calls = 0;
    fixture.reader.run(4000);
    CHECK(fixture.own_store.calls <= 5);
    fixture.own_store.refuses = false;
    fixture.put("a", "2");
    fixture.run_with_peer_ends(300);
    CHECK(fixture.seen["a"] == "2");
}

// Guards against a follower that waits for offsets which the store has taken back, or takes new records for
// old ones: its offset names other records after the store came back from an older copy.
TEST_CASE("A follower reads the topic anew when the store comes back from an older copy") {
    for (const int written_since : {0, 1, 2, 3}) {
        CAPTURE(written_since);
        follower_fixture fixture;
        // Eras may begin with any number.
        fixture.store.era = written_since % 2;
        fixture.store.put("a", "1");
        const auto copy = fixture.store.take_copy();
        fixture.follower.start();
        fixture.run(30);
        fixture.store.put("a", "2");
        fixture.store.put("b", "1");
        fixture.run(30);
        REQUIRE(fixture.seen["b"] == "1");
        fixture.store.restore(copy);
        for (int record = 0; record < written_since; ++record) {
            fixture.store.put("c", std::to_string(record));
        }
        fixture.run(100);
        CHECK(fixture.seen["a"] == "1");
        CHECK(fixture.seen["c"] == (written_since == 0 ? "" : std::to_string(written_since - 1)));
        CHECK(fixture.follower.era() == written_since % 2 + 1);
        fixture.store.put("d", "1");
        fixture.run(30);
        CHECK(fixture.seen["d"] == "1");
        CHECK(fixture.counters.total(dm::event::store_era_changes) == 1);
    }
}

TEST_CASE("Ends and records of an earlier era count for nothing at a host that knows a later one") {
    follower_fixture fixture;
    fixture.store.put("a", "1");
    const auto copy = fixture.store.take_copy();
    fixture.follower.start();
    fixture.run(30);
    fixture.store.put("a", "2");
    fixture.run(30);
    const auto earlier = fixture.follower.known_end().value();
    fixture.store.restore(copy);
    fixture.run(100);
    REQUIRE(fixture.follower.era() == 2);
    const auto fresh = fixture.caught_up;
    fixture.store.refuses = true;
    fixture.run(20);
    fixture.follower.apply_peer_end("late",
                                    {earlier.next, earlier.as_of + std::chrono::hours(1), earlier.era});
    fixture.follower.apply_peer_end("old version", {1, earlier.as_of + std::chrono::hours(1), 0});
    CHECK(fixture.caught_up < *fresh + std::chrono::hours(1));
    CHECK_FALSE(fixture.follower.records_from(1, 1));
    CHECK(fixture.follower.records_from(2, 1));
}

TEST_CASE("A follower that learns of a later era from another host reads the topic anew") {
    sharing_fixture fixture;
    const auto copy = fixture.reader.store.take_copy();
    fixture.put("a", "2");
    fixture.run_with_peer_ends(60);
    REQUIRE(fixture.seen["a"] == "2");
    fixture.reader.store.restore(copy);
    fixture.own_store.restore(copy);
    fixture.put("c", "1");
    fixture.reader.run(100);
    REQUIRE(fixture.reader.follower.era() == 2);
    fixture.run_with_peer_ends(800);
    CHECK(fixture.follower->era() == 2);
    CHECK(fixture.seen["c"] == "1");
    CHECK(fixture.seen["a"] == "1");
}

TEST_SUITE_END();
