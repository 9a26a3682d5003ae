#include "dandelionmount/connection/frame_stream.h"

#include "tests/support/seed.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <random>
#include <vector>

namespace dm = dandelionmount;
namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

dm::wire::peer_frame make_frame() {
    dm::wire::peer_frame frame;
    auto* request = frame.mutable_forward_request();
    request->set_id("0123456789abcdef");
    request->set_service("store");
    request->set_body(std::string(100, 'x'));
    return frame;
}

// Both ends of a connection; the bytes that one writes are read as frames at the other.
struct stream_fixture {
    stream_fixture() {
        asio::ip::tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
        writer.connect(acceptor.local_endpoint());
        stream = std::make_shared<dm::frame_stream>(acceptor.accept());
        asio::co_spawn(
            io,
            [this]() -> asio::awaitable<void> {
                while (true) {
                    auto frame = co_await stream->read(dm::max_frame_bytes);
                    if (!frame) {
                        has_ended = true;
                        co_return;
                    }
                    frames.push_back(std::move(frame.value()));
                }
            },
            asio::detached);
    }

    ~stream_fixture() {
        stream->close();
        io.run_for(milliseconds(20));
    }

    void write(std::string_view bytes) {
        asio::async_write(writer, asio::buffer(bytes), [](const boost::system::error_code&, std::size_t) {});
        io.restart();
        io.run_for(milliseconds(5));
    }

    asio::io_context io{1};
    asio::ip::tcp::socket writer{io};
    std::shared_ptr<dm::frame_stream> stream;
    std::vector<dm::wire::peer_frame> frames;
    bool has_ended{false};
};

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

TEST_CASE("Frames are read whole however their bytes are split") {
    const auto range = tests::seeds(20);
    for (std::uint64_t seed = range.first; seed < range.first + range.count; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        std::string bytes;
        std::vector<std::size_t> sizes;
        for (int number = 0; number < 30; ++number) {
            auto frame = make_frame();
            constexpr std::array<std::size_t, 5> magnitudes{1, 100, 1500, 70000, 300000};
            sizes.push_back(1 + random() % magnitudes.at(random() % magnitudes.size()));
            frame.mutable_forward_request()->set_body(std::string(sizes.back(), 'y'));
            bytes += dm::encode_frame(frame);
        }
        stream_fixture fixture;
        for (std::size_t at = 0; at < bytes.size();) {
            const std::size_t count = 1 + random() % (random() % 2 == 0 ? 20 : 200000);
            fixture.write(std::string_view(bytes).substr(at, count));
            at += count;
        }
        fixture.io.restart();
        fixture.io.run_for(milliseconds(20));
        REQUIRE(fixture.frames.size() == sizes.size());
        for (std::size_t number = 0; number < sizes.size(); ++number) {
            CHECK(fixture.frames[number].forward_request().body() == std::string(sizes[number], 'y'));
        }
        CHECK_FALSE(fixture.has_ended);
    }
}

TEST_CASE("Frames that were received before the connection ended are read") {
    stream_fixture fixture;
    const std::string bytes = dm::encode_frame(make_frame());
    asio::write(fixture.writer, asio::buffer(bytes + bytes + bytes.substr(0, 20)));
    fixture.writer.close();
    fixture.io.run_for(milliseconds(50));
    CHECK(fixture.frames.size() == 2);
    CHECK(fixture.has_ended);
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
