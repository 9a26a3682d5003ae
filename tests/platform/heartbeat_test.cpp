#include "platform/heartbeat.h"

#include <doctest/doctest.h>

namespace dm = dandelionmount;

namespace {

const std::string path = "/v1/instances/i-7f/heartbeat";
const std::string heartbeat =
    R"({"address":"10.1.0.9:8080","information":{"service":"store","version":"v1","zone":"a","slots":108},)"
    R"("status":{"state":"ready","sequence":4,"coldRemaining":"0ms"},"born":1700000000000})";

} // namespace

TEST_SUITE_BEGIN("platform");

TEST_CASE("A heartbeat is converted to an announcement with a sequence number and a start time") {
    const auto read = platform::read_heartbeat("POST", path, heartbeat);
    REQUIRE(read);
    CHECK(read.value().announcement.instance == "i-7f");
    CHECK(read.value().announcement.service == "store");
    CHECK(read.value().announcement.port == 8080);
    CHECK(read.value().announcement.slots == 108);
    CHECK(read.value().announcement.state == dm::wire::target_ready);
    CHECK(read.value().sequence == 4);
    CHECK(read.value().started == 1700000000000);
}

TEST_CASE("A deregistration carries only the instance") {
    const auto read = platform::read_heartbeat("POST", "/v1/instances/i-7f/deregister", "");
    REQUIRE(read);
    CHECK(read.value().what == dm::target_heartbeat::kind::departure);
    CHECK(read.value().announcement.instance == "i-7f");
}

TEST_CASE("Malformed heartbeats are rejected") {
    for (const auto& [from, to] : std::map<std::string, std::string>{{"\"ready\"", "\"resting\""},
                                                                     {"\"slots\":108", "\"slots\":\"108\""},
                                                                     {"\"slots\":108", "\"slots\":0"},
                                                                     {"\"sequence\":4", "\"sequence\":-4"},
                                                                     {"\"service\":\"store\",", ""},
                                                                     {"10.1.0.9:8080", "somewhere"},
                                                                     {"1700000000000", "1.5"},
                                                                     {"{\"address\"", "\"address\""}}) {
        CAPTURE(to);
        std::string bad = heartbeat;
        bad.replace(bad.find(from), from.size(), to);
        CHECK_FALSE(platform::read_heartbeat("POST", path, bad));
    }
    CHECK_FALSE(platform::read_heartbeat("GET", path, heartbeat));
    CHECK_FALSE(platform::read_heartbeat("POST", "/v1/instances//heartbeat", heartbeat));
    CHECK_FALSE(platform::read_heartbeat("POST", "/elsewhere", heartbeat));
}

TEST_SUITE_END();
