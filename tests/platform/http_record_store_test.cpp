#include "platform/http_record_store.h"

#include <doctest/doctest.h>

namespace dm = dandelionmount;

namespace {

constexpr char end_of_topic = 57;

// The response to a read of these records, after the end offset and the first offset.
std::string read_response(const std::vector<dm::keyed_record>& records) {
    std::string bytes(16, '\0');
    bytes[7] = end_of_topic;
    for (const auto& record : records) {
        bytes += platform::encode_record(record);
    }
    return bytes;
}

} // namespace

TEST_SUITE_BEGIN("platform");

TEST_CASE("Records survive encoding and decoding, and a record without a value removes its key") {
    const auto read = platform::decode_read(
        read_response({{"config", "some text"}, {"gone", std::nullopt}, {"long", std::string(70000, 'x')}}),
        40);
    REQUIRE(read);
    CHECK(read.value().next == 43);
    CHECK(read.value().end == end_of_topic);
    REQUIRE(read.value().records.size() == 3);
    CHECK(read.value().records[0].key == "config");
    CHECK(read.value().records[0].value == "some text");
    CHECK_FALSE(read.value().records[1].value);
    CHECK(read.value().records[2].value->size() == 70000);
}

TEST_CASE("Damaged store responses are rejected") {
    const std::string whole = read_response({{"config", "some text"}});
    for (std::size_t length = 0; length < whole.size(); ++length) {
        CAPTURE(length);
        CHECK(platform::decode_read(whole.substr(0, length), 0).has_value() == (length == 16));
    }
    std::string key_too_long = whole;
    key_too_long[20] = static_cast<char>(200);
    CHECK_FALSE(platform::decode_read(key_too_long, 0));
}

TEST_CASE("Reading resumes at the end offset of the first page of newest records") {
    dm::topic_records found;
    const auto next = platform::decode_newest(
        R"({"items":[{"key":"a","value":"eA==","offset":4}],"more":true,"end":6})", found);
    REQUIRE(next);
    CHECK(next.value() == "a");
    const auto last = platform::decode_newest(
        R"({"items":[{"key":"b","value":"eXo=","offset":7}],"more":false,"end":9})", found);
    REQUIRE(last);
    CHECK(last.value().empty());
    CHECK(found.next == 6);
    CHECK(found.records[0].value == "x");
    CHECK(found.records[1].value == "yz");
    CHECK_FALSE(platform::decode_newest(R"({"items":[{"key":"a","value":"!","offset":4}],"end":6})", found));
    CHECK_FALSE(platform::decode_newest("no JSON", found));
}

TEST_SUITE_END();
