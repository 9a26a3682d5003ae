#include "dandelionmount/connection/peer_server.h"

#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/connection/peer_handshake.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <optional>
#include <thread>

namespace dm = dandelionmount;
namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

const std::string address = "127.0.0.1:18474";
constexpr std::uint16_t port = 18474;

struct peer_fixture {
    peer_fixture() { REQUIRE(server.listen(address)); }

    tcp::socket connect() {
        tcp::socket socket(io);
        socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), port));
        return socket;
    }

    // Connects as a host, sends one frame after the handshake, even a failed one, and returns whether the
    // handshake succeeded.
    bool connect_as(const dm::peer_identity& identity) {
        std::optional<bool> authenticated;
        auto stream = std::make_shared<dm::frame_stream>(connect());
        asio::co_spawn(
            io,
            [&, stream]() -> asio::awaitable<void> {
                const auto peer = co_await dm::connect_handshake(*stream, identity);
                dm::wire::peer_frame frame;
                frame.mutable_heartbeat()->set_sequence(1);
                stream->send(frame);
                authenticated = peer.has_value();
            },
            asio::detached);
        io.run_for(milliseconds(100));
        return authenticated.value_or(false);
    }

    asio::io_context io{1};
    dm::metrics counters;
    dm::peer_identity identity{"server", 1, "the secret of the fleet"};
    int frames{0};
    dm::peer_server server{io.get_executor(), identity, counters,
                           [this](const dm::wire::peer_frame&, const dm::peer_id&,
                                  std::shared_ptr<dm::frame_stream>) { ++frames; }};
};

} // namespace

TEST_SUITE_BEGIN("connection");

TEST_CASE("Only a host with the fleet's secret is accepted") {
    peer_fixture fixture;
    CHECK(fixture.connect_as({"friend", 1, "the secret of the fleet"}));
    CHECK(fixture.frames == 1);
    CHECK_FALSE(fixture.connect_as({"stranger", 1, "another secret"}));
    CHECK(fixture.frames == 1);
    CHECK(fixture.counters.total(dm::event::peer_strangers) >= 1);
}

// Guards against connections that are closed right after their handshake, together with the requests on them:
// a host that was stalled read the end of the handshake after the handshake's timer had expired.
TEST_CASE("A handshake that ends while its host is stalled leaves the connection open") {
    peer_fixture fixture;
    asio::io_context other_io{1};
    tcp::socket socket(other_io);
    socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), port));
    const auto stream = std::make_shared<dm::frame_stream>(std::move(socket));
    const dm::peer_identity other{"friend", 1, "the secret of the fleet"};
    asio::co_spawn(
        other_io,
        [&, stream]() -> asio::awaitable<void> {
            const auto peer = co_await dm::connect_handshake(*stream, other);
            CHECK(peer.has_value());
        },
        asio::detached);
    other_io.run_for(milliseconds(20));
    fixture.io.run_for(milliseconds(50));
    other_io.restart();
    other_io.run_for(milliseconds(20));
    std::this_thread::sleep_for(dm::handshake_timeout);
    fixture.io.run_for(milliseconds(50));
    dm::wire::peer_frame frame;
    frame.mutable_heartbeat()->set_sequence(1);
    stream->send(frame);
    other_io.restart();
    other_io.run_for(milliseconds(20));
    fixture.io.run_for(milliseconds(50));
    CHECK(fixture.frames == 1);
    stream->close();
}

TEST_CASE("A recorded handshake can't be replayed") {
    peer_fixture fixture;
    // Records everything that a legitimate host sends, through a relay between it and the server.
    tcp::acceptor relay(fixture.io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    std::string recorded;
    asio::co_spawn(
        fixture.io,
        [&]() -> asio::awaitable<void> {
            auto [error, near] = co_await relay.async_accept(dm::as_result);
            auto to_server = std::make_shared<tcp::socket>(fixture.connect());
            auto to_client = std::make_shared<tcp::socket>(std::move(near));
            asio::co_spawn(
                fixture.io,
                [to_client, to_server]() -> asio::awaitable<void> {
                    std::array<char, 4096> bytes{};
                    while (true) {
                        auto [failed, count] =
                            co_await to_server->async_read_some(asio::buffer(bytes), dm::as_result);
                        if (failed) {
                            co_return;
                        }
                        co_await asio::async_write(*to_client, asio::buffer(bytes.data(), count),
                                                   dm::as_result);
                    }
                },
                asio::detached);
            std::array<char, 4096> bytes{};
            while (true) {
                auto [failed, count] =
                    co_await to_client->async_read_some(asio::buffer(bytes), dm::as_result);
                if (failed) {
                    co_return;
                }
                recorded.append(bytes.data(), count);
                co_await asio::async_write(*to_server, asio::buffer(bytes.data(), count), dm::as_result);
            }
        },
        asio::detached);
    const dm::peer_identity identity{"friend", 1, "the secret of the fleet"};
    tcp::socket socket(fixture.io);
    socket.connect(relay.local_endpoint());
    auto stream = std::make_shared<dm::frame_stream>(std::move(socket));
    bool authenticated = false;
    asio::co_spawn(
        fixture.io,
        [&, stream]() -> asio::awaitable<void> {
            const auto peer = co_await dm::connect_handshake(*stream, identity);
            authenticated = peer.has_value();
            dm::wire::peer_frame frame;
            frame.mutable_heartbeat()->set_sequence(1);
            stream->send(frame);
        },
        asio::detached);
    fixture.io.run_for(milliseconds(100));
    REQUIRE(authenticated);
    REQUIRE(fixture.frames == 1);
    CHECK(recorded.find("the secret of the fleet") == std::string::npos);
    auto replay = fixture.connect();
    asio::write(replay, asio::buffer(recorded));
    fixture.io.run_for(milliseconds(100));
    CHECK(fixture.frames == 1);
    CHECK(fixture.counters.total(dm::event::peer_strangers) == 1);
}

TEST_CASE("Garbage, oversized lengths and silence before the handshake end the connection") {
    for (const std::string text :
         {std::string("GET / HTTP/1.1\r\n\r\n"), std::string(4, '\xFF'), std::string()}) {
        peer_fixture fixture;
        auto socket = fixture.connect();
        asio::write(socket, asio::buffer(text));
        fixture.io.run_for(dm::handshake_timeout + milliseconds(200));
        CHECK(fixture.counters.total(dm::event::peer_strangers) == 1);
        CHECK(fixture.frames == 0);
    }
}

TEST_SUITE_END();
