#include "dandelionmount/process/fleet_registry.h"

#include "dandelionmount/process/host_record.h"
#include "tests/support/memory_store.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <memory>

namespace dm = dandelionmount;
using std::chrono::milliseconds;

namespace {

dm::wire::member_record make_record(const std::string& host) {
    dm::wire::member_record record;
    record.set_host(host);
    record.set_zone("zone");
    record.set_address("127.0.0.1:7000");
    record.set_service("service");
    record.set_target(dm::wire::target_ready);
    record.set_target_slots(10);
    return record;
}

// The registry of one host, on a store that it may share with others.
struct registry_host {
    registry_host(boost::asio::io_context& io, tests::memory_store& store, const std::string& name)
        : random(std::hash<std::string>()(name)), members{make_record(name)},
          registry({io.get_executor(),
                    time,
                    counters,
                    store,
                    random,
                    members,
                    "hosts",
                    [] {},
                    [this](const dm::wire::member_record& record) { earlier = record; },
                    {[] { return true; }, {}, {}, {}}}) {
        registry.start();
    }

    dm::system_time_source time;
    dm::metrics counters;
    std::mt19937_64 random;
    dm::member_table members;
    /// Own record of an earlier process.
    std::optional<dm::wire::member_record> earlier;
    dm::fleet_registry registry;
};

struct registry_fixture {
    registry_fixture() { store.max_records_per_read = 1000; }

    void run(int for_ms) {
        io.restart();
        io.run_for(milliseconds(for_ms));
    }

    std::string stored(const std::string& host) { return store.values["host/" + host]; }

    boost::asio::io_context io{1};
    tests::memory_store store{io};
};

} // namespace

TEST_SUITE_BEGIN("process");

// Guards against records that were written again until they had been read back, twice a second by each host.
TEST_CASE("A host writes its record once for each change") {
    registry_fixture fixture;
    fixture.store.put("secret", "1");
    registry_host host(fixture.io, fixture.store, "a");
    fixture.run(2500);
    CHECK(fixture.store.appends == 1);
    CHECK(fixture.stored("a") == dm::write_host_record(host.members.self));
    host.members.self.set_target(dm::wire::target_draining);
    host.registry.publish();
    fixture.run(2500);
    CHECK(fixture.store.appends == 2);
    CHECK(fixture.stored("a") == dm::write_host_record(host.members.self));
}

TEST_CASE("A host that starts again with the same record does not write it") {
    registry_fixture fixture;
    fixture.store.put("secret", "1");
    fixture.store.put("host/a", dm::write_host_record(make_record("a")));
    const registry_host host(fixture.io, fixture.store, "a");
    fixture.run(1500);
    CHECK(fixture.store.appends == 0);
}

// Guards against a host that has left and is listed again: a write that waited or was under way when it left
// took effect after its removal.
TEST_CASE("A host that has left does not bring its record back") {
    for (const int sent_before_ms : {0, 50}) {
        CAPTURE(sent_before_ms);
        registry_fixture fixture;
        fixture.store.put("secret", "1");
        registry_host host(fixture.io, fixture.store, "a");
        fixture.run(2500);
        REQUIRE(!fixture.stored("a").empty());
        host.members.self.set_target(dm::wire::target_draining);
        fixture.store.next_append_delay = milliseconds(sent_before_ms == 0 ? 0 : 150);
        host.registry.publish();
        fixture.run(sent_before_ms);
        boost::asio::co_spawn(fixture.io, host.registry.leave(), boost::asio::detached);
        fixture.run(500);
        CHECK(host.registry.has_left());
        CHECK(fixture.stored("a").empty());
    }
}

// Guards against a target that has left and is in use again, as its host was restarted and a delayed
// announcement of the target arrives after that.
TEST_CASE("A host that starts again learns from its record which process of its target has left") {
    registry_fixture fixture;
    fixture.store.put("secret", "1");
    auto record = make_record("a");
    record.set_left_incarnation(7);
    fixture.store.put("host/a", dm::write_host_record(record));
    registry_host host(fixture.io, fixture.store, "a");
    fixture.run(300);
    REQUIRE(host.earlier);
    CHECK(host.earlier->left_incarnation() == 7);
    host.earlier.reset();
    host.members.self.set_left_incarnation(7);
    host.members.self.set_target_slots(11);
    host.registry.publish();
    fixture.run(1500);
    CHECK_FALSE(host.earlier);
}

TEST_CASE("A host writes its record again when it was removed or overwritten") {
    registry_fixture fixture;
    fixture.store.put("secret", "1");
    registry_host host(fixture.io, fixture.store, "a");
    fixture.run(300);
    REQUIRE(fixture.store.appends == 1);
    fixture.store.put("host/a", "");
    fixture.run(1500);
    CHECK(fixture.stored("a") == dm::write_host_record(host.members.self));
    fixture.store.put("host/a", dm::write_host_record(make_record("b")));
    fixture.run(1500);
    CHECK(fixture.stored("a") == dm::write_host_record(host.members.self));
}

TEST_CASE("A write that takes effect late, after its answer was lost, does not stay in force") {
    registry_fixture fixture;
    fixture.store.put("secret", "1");
    registry_host host(fixture.io, fixture.store, "a");
    const std::string ready = dm::write_host_record(host.members.self);
    fixture.store.loses_answers = true;
    fixture.run(300);
    CHECK(fixture.store.appends >= 1);
    fixture.store.loses_answers = false;
    host.members.self.set_target(dm::wire::target_draining);
    host.registry.publish();
    fixture.run(1500);
    const std::string draining = dm::write_host_record(host.members.self);
    CHECK(fixture.stored("a") == draining);
    fixture.store.put("host/a", ready);
    fixture.run(1500);
    CHECK(fixture.stored("a") == draining);
}

// Guards against a secret proposed by every host of a fleet that starts.
TEST_CASE("Few hosts of a starting fleet propose a secret, and all use the same one") {
    registry_fixture fixture;
    std::vector<std::unique_ptr<registry_host>> hosts;
    for (int host = 0; host < 100; ++host) {
        hosts.push_back(std::make_unique<registry_host>(fixture.io, fixture.store, std::to_string(host)));
    }
    fixture.run(3000);
    std::uint64_t proposals = 0;
    for (const auto& host : hosts) {
        proposals += host->counters.store_calls(dm::store_call::secret);
        CHECK(host->registry.secret() == fixture.store.values["secret"]);
    }
    CHECK(proposals <= 20);
}

// Guards against hosts that stay unknown, or known in an earlier state, after the store came back from an
// older copy: what they had been acknowledged is gone.
TEST_CASE("Hosts write again what the store has lost when it comes back from an older copy") {
    registry_fixture fixture;
    const auto empty = fixture.store.take_copy();
    registry_host first(fixture.io, fixture.store, "a");
    fixture.run(1500);
    const auto with_first = fixture.store.take_copy();
    registry_host second(fixture.io, fixture.store, "b");
    first.members.self.set_target(dm::wire::target_draining);
    first.registry.publish();
    fixture.run(1500);
    const std::string secret = first.registry.secret();
    for (const auto& copy : {with_first, empty}) {
        fixture.store.restore(copy);
        fixture.store.appends = 0;
        fixture.run(2000);
        CHECK(fixture.stored("a") == dm::write_host_record(first.members.self));
        CHECK(fixture.stored("b") == dm::write_host_record(second.members.self));
        CHECK(fixture.store.values["secret"] == secret);
        CHECK(fixture.store.appends <= 4);
        // A host whose record the store had lost was not forgotten meanwhile.
        CHECK(first.members.others.contains("b"));
    }
}

TEST_CASE("A host that does not write its record again after the store came back is forgotten") {
    registry_fixture fixture;
    fixture.store.put("secret", "1");
    const auto without = fixture.store.take_copy();
    registry_host host(fixture.io, fixture.store, "a");
    fixture.store.put("host/gone", dm::write_host_record(make_record("gone")));
    fixture.run(1500);
    REQUIRE(host.members.others.contains("gone"));
    fixture.store.restore(without);
    fixture.run(1500);
    CHECK(host.members.others.contains("gone"));
    fixture.run(6000);
    host.registry.publish();
    CHECK_FALSE(host.members.others.contains("gone"));
}

// Guards against a host that has left and is listed again, as the store came back from a copy that has it.
TEST_CASE("A host that has left stays away when the store comes back from a copy that lists it") {
    registry_fixture fixture;
    fixture.store.put("secret", "1");
    registry_host host(fixture.io, fixture.store, "a");
    fixture.store.put("host/gone", dm::write_host_record(make_record("gone")));
    fixture.run(1500);
    REQUIRE(host.members.others.contains("gone"));
    const auto with_host = fixture.store.take_copy();
    fixture.store.remove("host/gone");
    fixture.run(1500);
    REQUIRE_FALSE(host.members.others.contains("gone"));
    fixture.store.restore(with_host);
    for (int round = 0; round < 20; ++round) {
        fixture.run(100);
        CHECK_FALSE(host.members.others.contains("gone"));
    }
    // The removal was written again, so that hosts that start do not list it either.
    CHECK_FALSE(fixture.store.values.contains("host/gone"));
    fixture.store.put("host/gone", dm::write_host_record(make_record("gone")));
    fixture.run(1500);
    CHECK(host.members.others.contains("gone"));
}

// Guards against a fleet that is split for good, as a host that started with a copy without the secret has
// proposed another one.
TEST_CASE("The earlier of two secrets wins when the store comes back from a copy without one") {
    registry_fixture fixture;
    const auto empty = fixture.store.take_copy();
    const registry_host first(fixture.io, fixture.store, "a");
    fixture.run(1500);
    const std::string secret = first.registry.secret();
    fixture.store.restore(empty);
    // A later era's proposal that arrives before the first host has written the secret again.
    fixture.store.put("secret", "2:0");
    const registry_host second(fixture.io, fixture.store, "b");
    fixture.run(2500);
    CHECK(first.registry.secret() == secret);
    CHECK(second.registry.secret() == secret);
    CHECK(fixture.store.values["secret"] == secret);
}

TEST_SUITE_END();
