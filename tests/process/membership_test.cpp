#include "dandelionmount/process/membership.h"

#include "tests/support/member_fleet.h"
#include "tests/support/seed.h"

#include <doctest/doctest.h>

namespace dm = dandelionmount;
namespace wire = dandelionmount::wire;

namespace {

constexpr dm::steady_time start{std::chrono::hours(1)};

wire::member_record make_record(const std::string& host, std::uint64_t incarnation, std::uint32_t counter,
                                wire::member_state state = wire::member_alive) {
    wire::member_record record;
    record.set_host(host);
    record.set_incarnation(incarnation);
    record.set_counter(counter);
    record.set_state(state);
    record.set_zone("a");
    record.set_slot(static_cast<std::uint32_t>(host.back()));
    return record;
}

} // namespace

TEST_SUITE_BEGIN("process");

TEST_CASE("Merging records gives the same table in whatever order they arrive") {
    std::mt19937_64 random(1);
    std::vector<wire::member_record> records;
    for (int index = 0; index < 200; ++index) {
        const std::string host(1, static_cast<char>('A' + random() % 5));
        records.push_back(make_record(host, 1 + random() % 3, static_cast<std::uint32_t>(random() % 4),
                                      static_cast<wire::member_state>(random() % 3)));
    }
    dm::member_table first;
    first.self = make_record("Z", 1, 1);
    dm::member_table second = first;
    // Both tables know the hosts, since a death report on an unknown host is not kept.
    for (const char* host : {"A", "B", "C", "D", "E"}) {
        dm::merge_record(first, make_record(host, 1, 0), start);
        dm::merge_record(second, make_record(host, 1, 0), start);
    }
    for (const auto& record : records) {
        dm::merge_record(first, record, start);
    }
    std::shuffle(records.begin(), records.end(), random);
    for (const auto& record : records) {
        dm::merge_record(second, record, start);
    }
    CHECK(dm::table_digest(first) == dm::table_digest(second));
}

TEST_CASE("A host refutes a report of its own death") {
    dm::member_table table;
    table.self = make_record("A", 5, 3);
    CHECK(dm::merge_record(table, make_record("A", 5, 3, wire::member_dead), start) ==
          dm::merge_outcome::refuted);
    CHECK(table.self.counter() == 4);
    CHECK(dm::merge_record(table, make_record("A", 4, 9, wire::member_dead), start) ==
          dm::merge_outcome::unchanged);
}

TEST_CASE("A new process in a slot marks its predecessor as left") {
    dm::member_table table;
    table.self = make_record("A", 1, 1);
    auto old = make_record("old", 5, 1);
    auto fresh = make_record("new", 6, 1);
    old.set_slot(7);
    fresh.set_slot(7);
    dm::merge_record(table, old, start);
    dm::merge_record(table, fresh, start);
    CHECK(table.others["old"].state() == wire::member_left);
    CHECK(dm::find_slot(table, "a", 7)->host() == "new");
    CHECK(dm::slot_incarnation(table, "a", 7) == 6);
}

TEST_CASE("All hosts declare a dead host dead within three seconds") {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        tests::member_fleet fleet(14, 0.0, seed);
        for (int round = 0; round < 20; ++round) {
            fleet.run_round();
        }
        fleet.kill(3);
        const double killed = fleet.seconds();
        while (fleet.count_alive_views(3) > 0 && fleet.seconds() - killed < 10) {
            fleet.run_round();
        }
        CHECK(fleet.seconds() - killed <= 3.0);
    }
}

TEST_CASE("No host that is alive is declared dead at 30 % message loss") {
    const auto range = tests::seeds(3);
    for (std::uint64_t seed = range.first; seed < range.first + range.count; ++seed) {
        CAPTURE(seed);
        tests::member_fleet fleet(24, 0.3, seed);
        for (int round = 0; round < 4000; ++round) {
            fleet.run_round();
        }
        CHECK(fleet.false_deaths() == 0);
    }
}

TEST_CASE("The message rate of one host does not grow with the fleet") {
    const auto messages_each = [](std::size_t hosts) {
        tests::member_fleet fleet(hosts, 0.0, 1);
        for (int round = 0; round < 100; ++round) {
            fleet.run_round();
        }
        return static_cast<double>(fleet.messages()) / static_cast<double>(hosts) / fleet.seconds();
    };
    const double small = messages_each(16);
    const double large = messages_each(256);
    CHECK(large < 1.1 * small);
}

TEST_SUITE_END();
