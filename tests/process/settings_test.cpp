#include "dandelionmount/process/settings.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace dm = dandelionmount;

namespace {

const std::string good = R"([host]
name = "a1"
zone = "a"
slot = 1
caller_address = "127.0.0.1:8080"
peer_address = "127.0.0.1:7000"
target_address = "127.0.0.1:7001"
operator_address = "[::1]:7002"
[platform]
log_address = "127.0.0.1:9100"
[fleet]
secret_file = "secret"
)";

void check_error(std::string text, const std::string& from, const std::string& to, const std::string& key) {
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    text.replace(at, from.size(), to);
    const auto outcome = dm::read_settings({"node.toml", text});
    CHECK_FALSE(outcome.value);
    REQUIRE_FALSE(outcome.errors.empty());
    CHECK(std::any_of(outcome.errors.begin(), outcome.errors.end(),
                      [&key](const dm::file_error& error) { return error.key == key; }));
}

} // namespace

TEST_SUITE_BEGIN("process");

TEST_CASE("A complete settings file is read") {
    const auto outcome = dm::read_settings({"node.toml", good});
    REQUIRE(outcome.value);
    CHECK(outcome.value->slot == 1);
    CHECK(outcome.value->limits.connections > 0);
}

TEST_CASE("Each error in the settings names its key") {
    check_error(good, "name = \"a1\"\n", "", "host.name");
    check_error(good, "127.0.0.1:8080", "localhost:8080", "host.caller_address");
    check_error(good, "127.0.0.1:7000", "127.0.0.1:700000", "host.peer_address");
    check_error(good, "slot = 1", "slot = -1", "host.slot");
    check_error(good, "secret_file", "secret_fil", "fleet.secret_fil");
    check_error(good, "[platform]", "[plattform]", "plattform");
    check_error(good, "[fleet]\n", "[log]\nlevel = \"loud\"\n[fleet]\n", "log.level");
}

TEST_SUITE_END();
