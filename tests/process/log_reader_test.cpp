#include "dandelionmount/process/log_reader.h"

#include "dandelionmount/connection/async_event.h"
#include "tests/support/memory_log.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

namespace dm = dandelionmount;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t incarnation = 5;

// Log reader of one process with an in-memory log.
struct reader_fixture {
    explicit reader_fixture(tests::memory_log& shared) : log(shared) {
        members.self.set_host("h");
        members.self.set_zone("a");
        members.self.set_incarnation(incarnation);
        lease.incarnation = incarnation;
    }

    // Runs until the condition holds; false when it does not in time.
    template <typename Condition>
    bool run_until(const Condition& condition) {
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!condition() && std::chrono::steady_clock::now() < until) {
            io.run_for(milliseconds(5));
        }
        return condition();
    }

    boost::asio::io_context io{1};
    dm::system_time_source time;
    dm::metrics counters;
    tests::memory_log& log;
    dm::member_table members;
    dm::slot_lease lease;
    dm::configuration_store configuration{{}, time};
    dm::peer_identity identity{"h", incarnation, "secret"};
    dm::peer_directory peers{{io.get_executor(), identity, time, counters}, members};
    dm::claim_service claims{{io.get_executor(), time, configuration, members, peers}};
    std::mt19937_64 random{1};
    dm::log_reader reader{
        {io.get_executor(), time, counters, log, configuration, members, peers, lease, claims, random}};
};

std::string document(int rate) {
    return "[[account]]\nname = \"kiosk\"\nrate = " + std::to_string(rate) + "\nburst = 1\n";
}

} // namespace

TEST_SUITE_BEGIN("process");

TEST_CASE("A change whose answer was lost is applied once") {
    tests::memory_log log(1000);
    log.drops_responses = true;
    reader_fixture fixture(log);
    fixture.reader.start();
    fixture.reader.submit("c", dm::make_document_record("c", 0, document(7)));
    CHECK(fixture.run_until([&] { return fixture.configuration.is_ready(); }));
    CHECK(fixture.configuration.current().accounts.front().rate == 7);
    CHECK(dm::find_change(fixture.configuration.state(), "c")->outcome == dm::change_outcome::accepted);
}

TEST_CASE("A change submitted while the log is down is in force after the log is back") {
    tests::memory_log log(1000);
    log.down = true;
    reader_fixture fixture(log);
    fixture.reader.start();
    fixture.reader.submit("c", dm::make_document_record("c", 0, document(7)));
    fixture.io.run_for(milliseconds(300));
    CHECK_FALSE(fixture.configuration.is_ready());
    CHECK(fixture.reader.is_submitted("c"));
    log.down = false;
    CHECK(fixture.run_until([&] { return fixture.configuration.is_ready(); }));
    CHECK(fixture.run_until([&] { return !fixture.reader.is_submitted("c"); }));
}

TEST_CASE("Exactly one of two changes submitted against one version is accepted, and both processes agree") {
    tests::memory_log log(1000);
    reader_fixture fixture(log);
    reader_fixture other(log);
    fixture.reader.start();
    other.reader.start();
    fixture.reader.submit("c1", dm::make_document_record("c1", 0, document(1)));
    other.reader.submit("c2", dm::make_document_record("c2", 0, document(2)));
    const auto decided = [](reader_fixture& process) {
        const auto& state = process.configuration.state();
        return dm::find_change(state, "c1") != nullptr && dm::find_change(state, "c2") != nullptr;
    };
    CHECK(fixture.run_until([&] {
        other.io.run_for(milliseconds(5));
        return decided(fixture) && decided(other) &&
               fixture.configuration.state().next_offset == other.configuration.state().next_offset;
    }));
    CHECK(dm::state_fingerprint(fixture.configuration.state()) ==
          dm::state_fingerprint(other.configuration.state()));
    const auto first = dm::find_change(fixture.configuration.state(), "c1")->outcome;
    const auto second = dm::find_change(fixture.configuration.state(), "c2")->outcome;
    CHECK((first == dm::change_outcome::accepted) != (second == dm::change_outcome::accepted));
}

TEST_CASE("A reader whose next records are gone starts from a snapshot") {
    tests::memory_log log(1000);
    dm::configuration_state state;
    const auto append = [&](const std::string& record) {
        log.store.append(record);
        dm::apply_record(state, record);
    };
    append(dm::make_document_record("c1", 0, document(1)));
    append(dm::make_withdraw_record("w", "x"));
    append(dm::make_snapshot_record(state));
    append(dm::make_document_record("c2", state.document_version, document(2)));
    log.store.set_retention(2);
    reader_fixture fixture(log);
    fixture.reader.start();
    CHECK(fixture.run_until([&] {
        return fixture.configuration.is_ready() && fixture.configuration.current().accounts.front().rate == 2;
    }));
    CHECK(fixture.configuration.is_withdrawn("x"));
}

TEST_CASE("A process registers itself in the log as the holder of its slot") {
    tests::memory_log log(1000);
    reader_fixture fixture(log);
    fixture.reader.start();
    CHECK(fixture.run_until([&] { return fixture.lease.log_confirmed_at.has_value(); }));
    CHECK(fixture.configuration.state().holders.at("a/0").incarnation == incarnation);
    CHECK(fixture.claims.has_all_records());
}

TEST_CASE("A process whose slot had an earlier holder lacks that holder's claim records") {
    tests::memory_log log(1000);
    log.store.append(dm::make_holder_record("a", 0, {"old", 1, "127.0.0.1:1"}));
    reader_fixture fixture(log);
    fixture.reader.start();
    CHECK(fixture.run_until([&] { return fixture.lease.log_confirmed_at.has_value(); }));
    CHECK_FALSE(fixture.claims.has_all_records());
}

TEST_SUITE_END();
