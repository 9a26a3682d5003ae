#include "dandelionmount/process/gossip_service.h"

#include <doctest/doctest.h>
#include <random>

namespace dm = dandelionmount;

TEST_SUITE_BEGIN("process");

TEST_CASE("A datagram is opened only with the secret that sealed it") {
    dm::wire::gossip_datagram datagram;
    datagram.set_from("a");
    const std::string sealed = dm::seal_datagram(datagram, "secret");
    CHECK(dm::open_datagram(sealed, "secret").value().from() == "a");
    CHECK_FALSE(dm::open_datagram(sealed, "another"));
    CHECK(sealed.find("secret") == std::string::npos);
}

TEST_CASE("Damaged datagrams are rejected") {
    dm::wire::gossip_datagram datagram;
    datagram.set_from("a");
    datagram.add_members()->set_host("b");
    const std::string sealed = dm::seal_datagram(datagram, "secret");
    std::mt19937_64 random(1);
    for (int run = 0; run < 5000; ++run) {
        std::string damaged = sealed;
        const std::size_t at = random() % damaged.size();
        damaged[at] = static_cast<char>(damaged[at] ^ static_cast<char>(1 + random() % 255));
        CHECK_FALSE(dm::open_datagram(damaged, "secret"));
        damaged.resize(random() % damaged.size());
        CHECK_FALSE(dm::open_datagram(damaged, "secret"));
    }
}

TEST_CASE("A host is outdated until it confirms that the state is in force") {
    dm::member_table members;
    for (const auto* name : {"early", "late", "silent", "dead"}) {
        dm::wire::member_record record;
        record.set_host(name);
        record.set_incarnation(1);
        record.set_state(std::string_view(name) == "dead" ? dm::wire::member_dead : dm::wire::member_alive);
        dm::merge_record(members, record, dm::steady_time{});
    }
    dm::peer_configuration_map configurations;
    configurations["early"].next_offset = 7;
    configurations["late"].next_offset = 6;
    CHECK(dm::outdated_hosts(members, configurations, 7) == std::vector<std::string>{"late", "silent"});
    configurations["late"].next_offset = 8;
    configurations["silent"].next_offset = 7;
    CHECK(dm::outdated_hosts(members, configurations, 7).empty());
}

TEST_SUITE_END();
