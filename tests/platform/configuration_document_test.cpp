#include "platform/configuration_document.h"

#include "dandelionmount/process/crypto.h"

#include <doctest/doctest.h>

namespace dm = dandelionmount;

namespace {

const std::string document = R"({"version":7,"routes":[
{"name":"r1","host":"one.example","pathPrefix":"/a/","kind":"safe","timeout":"5000ms","targetLatency":"1200ms",
 "priority":2,"trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"maxAttempts":2,"public":false},
{"name":"r2","host":"one.example","pathPrefix":"/a/b/","kind":"unsafe","timeout":"1.5s","targetLatency":"1s",
 "priority":0,"service":"s2","maxAttempts":3,"public":true}],
"services":[{"name":"s2"},{"name":"s1"}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeout":"3000ms","idleTimeout":"15000ms"},
"tenants":[{"name":"t1","apiKeys":["key-one"],"priority":1,"requestsPerS":233,"burst":100}],"baseVersion":5})";

} // namespace

TEST_SUITE_BEGIN("platform");

TEST_CASE("A configuration is converted to the internal types") {
    const auto read = platform::read_configuration_document(document);
    REQUIRE(read);
    const auto& config = read.value().document;
    CHECK(read.value().version == 7);
    CHECK(read.value().limits.idle_timeout == std::chrono::seconds(15));
    const auto* longer = dm::find_route(config, "one.example/a/b/c?x=1");
    REQUIRE(longer != nullptr);
    CHECK(longer->service == "s2");
    CHECK_FALSE(longer->idempotent);
    CHECK(longer->open);
    CHECK(longer->timeout == std::chrono::milliseconds(1500));
    const auto* split = dm::find_route(config, "one.example/a/c");
    REQUIRE(split != nullptr);
    CHECK(split->idempotent);
    CHECK(split->traffic_split == std::vector<dm::weighted_service>{{"s1", 90}, {"s2", 10}});
    CHECK(split->max_attempts == 2);
    CHECK(dm::find_route(config, "one.example/b/") == nullptr);
    CHECK(dm::find_route(config, "two.example/a/c") == nullptr);
    CHECK(dm::find_route(config, "one.example/a") == nullptr);
    const auto* account = dm::find_account(config, "t1");
    REQUIRE(account != nullptr);
    CHECK(account->rate == 233);
    CHECK(account->keys == std::vector<std::string>{dm::sha256_hex("key-one")});
}

TEST_CASE("An account's rank takes precedence over its route's, and calls of targets over both") {
    const auto read = platform::read_configuration_document(document);
    REQUIRE(read);
    const auto& config = read.value().document;
    const auto* split = dm::find_route(config, "one.example/a/c");
    const auto* open = dm::find_route(config, "one.example/a/b/c");
    const auto priority = split->priority + dm::find_account(config, "t1")->priority;
    CHECK(priority == 87);
    CHECK(open->priority > 99);
}

TEST_CASE("An invalid configuration is rejected with a reason") {
    for (const auto& [from, to] : std::map<std::string, std::string>{{"\"5000ms\"", "\"5000\""},
                                                                     {"\"version\":7", "\"version\":\"x\""},
                                                                     {"\"kind\":\"safe\",", ""},
                                                                     {"\"routes\":[", "\"routes\":7,\"r\":["},
                                                                     {"{\"version\"", "[\"version\""}}) {
        CAPTURE(from);
        std::string bad = document;
        bad.replace(bad.find(from), from.size(), to);
        const auto read = platform::read_configuration_document(bad);
        REQUIRE_FALSE(read);
        CHECK(read.error().message.find("configuration") != std::string::npos);
    }
}

TEST_SUITE_END();
