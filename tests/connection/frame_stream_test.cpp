#include "dandelionmount/connection/frame_stream.h"

#include "tests/support/seed.h"

#include <doctest/doctest.h>
#include <random>

namespace dm = dandelionmount;

namespace {

dm::wire::peer_frame make_frame() {
    dm::wire::peer_frame frame;
    auto* request = frame.mutable_forward_request();
    request->set_id("0123456789abcdef");
    request->set_service("store");
    request->set_body(std::string(100, 'x'));
    return frame;
}

} // namespace

TEST_SUITE_BEGIN("connection");

TEST_CASE("A frame survives encoding and decoding") {
    const std::string bytes = dm::encode_frame(make_frame());
    const auto length = dm::decode_frame_length(bytes, dm::max_frame_bytes);
    REQUIRE(length);
    CHECK(length.value() + dm::frame_header_bytes == bytes.size());
    const auto frame = dm::decode_frame(std::string_view(bytes).substr(dm::frame_header_bytes));
    REQUIRE(frame);
    CHECK(frame.value().forward_request().service() == "store");
}

TEST_CASE("Bytes that are not valid text in any encoding are preserved") {
    auto sent = make_frame();
    auto* header = sent.mutable_forward_request()->add_headers();
    header->set_name("X-Name");
    header->set_value("caf\xE9 \xFF\xFE");
    const std::string bytes = dm::encode_frame(sent);
    const auto frame = dm::decode_frame(std::string_view(bytes).substr(dm::frame_header_bytes));
    REQUIRE(frame);
    CHECK(frame.value().forward_request().headers(0).value() == "caf\xE9 \xFF\xFE");
}

TEST_CASE("Zero, oversized and incomplete frame lengths are rejected") {
    CHECK_FALSE(dm::decode_frame_length(std::string(4, '\0'), 100));
    CHECK_FALSE(dm::decode_frame_length(std::string("\0\0\0\x65", 4), 100));
    CHECK(dm::decode_frame_length(std::string("\0\0\0\x64", 4), 100).value() == 100);
    CHECK_FALSE(dm::decode_frame_length("\x7F", 100));
}

TEST_CASE("Damaged frames are rejected or decoded, and never crash") {
    const auto range = tests::seeds(20000);
    const std::string bytes = dm::encode_frame(make_frame()).substr(dm::frame_header_bytes);
    for (std::uint64_t seed = range.first; seed < range.first + range.count; ++seed) {
        std::mt19937_64 random(seed);
        std::string damaged = bytes;
        for (int change = 0; change < 4; ++change) {
            damaged[random() % damaged.size()] = static_cast<char>(random());
        }
        damaged.resize(random() % (damaged.size() + 1));
        const auto frame = dm::decode_frame(damaged);
        CHECK((frame.has_value() || !frame.error().message.empty()));
    }
}

TEST_SUITE_END();
