#include "dandelionmount/process/store_settings.h"

#include <doctest/doctest.h>

namespace dm = dandelionmount;

namespace {

const std::string good = R"([host]
name = "h1"
zone = "a"
service = "store"
caller_address = "127.0.0.1:1"
readiness_address = "127.0.0.1:2"
announcement_address = "127.0.0.1:3"
target_address = "127.0.0.1:4"
peer_address = "127.0.0.1:5"
operator_address = "127.0.0.1:6"
announcement_interval = "1500ms"
[platform]
store_address = "127.0.0.1:7"
[fleet]
key_withdrawal = "5s"
retry_slack = 48.0
)";

} // namespace

TEST_SUITE_BEGIN("process");

TEST_CASE("Store settings are read with their units") {
    const auto outcome = dm::read_store_settings({"node.toml", good});
    REQUIRE(outcome.value);
    CHECK(outcome.value->key_withdrawal == std::chrono::seconds(5));
    CHECK(outcome.value->announcement_interval == std::chrono::milliseconds(1500));
    CHECK(outcome.value->retry_slack == 48);
    CHECK(dm::uses_record_store({"node.toml", good}));
    CHECK_FALSE(dm::uses_record_store({"node.toml", "[platform]\nlog_address = \"127.0.0.1:7\"\n"}));
}

TEST_CASE("Every error of a settings file is reported with its line, and none of its settings are used") {
    std::string bad = good;
    bad.replace(bad.find("127.0.0.1:4"), 11, "nowhere");
    bad += "key_withdraw = \"5s\"\n[log]\nlevel = \"loud\"\n";
    bad.replace(bad.find("\"5s\""), 4, "\"soon\"");
    const auto outcome = dm::read_store_settings({"node.toml", bad});
    CHECK_FALSE(outcome.value);
    const std::string text = dm::to_text(outcome.errors);
    for (const char* part : {"node.toml:8", "target_address", "key_withdrawal", "key_withdraw", "level"}) {
        CAPTURE(part);
        CHECK(text.find(part) != std::string::npos);
    }
}

TEST_SUITE_END();
