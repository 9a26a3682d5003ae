#include "dandelionmount/connection/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <thread>

namespace dm = dandelionmount;
namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

const std::string address = "127.0.0.1:18473";
constexpr std::uint16_t port = 18473;

dm::caller_limits small_limits() {
    dm::caller_limits limits;
    limits.header_bytes = 512;
    limits.body_bytes = 1000;
    limits.connections = 2;
    limits.receive_timeout = milliseconds(150);
    limits.idle_timeout = milliseconds(400);
    return limits;
}

// A server that responds with the path after a short delay, and a raw client.
struct server_fixture {
    explicit server_fixture(dm::http_protocol used = {}) : protocol(std::move(used)) {
        const auto opened = server.listen(address);
        REQUIRE(opened);
    }

    tcp::socket connect() {
        tcp::socket socket(io);
        socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), port));
        return socket;
    }

    // Sends the text, optionally half-closes, and returns everything received.
    std::string exchange(tcp::socket& socket, const std::string& text, bool close_sending) {
        asio::write(socket, asio::buffer(text));
        if (close_sending) {
            socket.shutdown(tcp::socket::shutdown_send);
        }
        return receive(socket);
    }

    std::string receive(tcp::socket& socket) {
        std::string received;
        bool ended = false;
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                std::array<char, 4096> bytes{};
                while (!ended) {
                    auto [error, count] = co_await socket.async_read_some(asio::buffer(bytes), dm::as_result);
                    received.append(bytes.data(), count);
                    ended = static_cast<bool>(error);
                }
            },
            asio::detached);
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!ended && std::chrono::steady_clock::now() < until) {
            io.run_for(milliseconds(5));
        }
        return received;
    }

    // Runs until a request was cancelled, at most for the time.
    void run_until_cancelled(dm::duration limit) {
        const auto until = std::chrono::steady_clock::now() + limit;
        while (cancelled == 0 && std::chrono::steady_clock::now() < until) {
            io.run_for(milliseconds(5));
        }
    }

    asio::io_context io{1};
    dm::http_protocol protocol;
    dm::metrics counters;
    int requests{0};
    int cancelled{0};
    // How long the handler takes.
    dm::duration run_time{milliseconds(60)};
    // Padding of the response body, in bytes.
    std::size_t padding_bytes{0};
    bool throws{false};
    dm::http_server server{io.get_executor(), small_limits(), counters,
                           [this](dm::http_request request, std::shared_ptr<dm::cancel_token> cancel)
                               -> asio::awaitable<dm::http_response> {
                               ++requests;
                               cancel->on_cancel([this] { ++cancelled; });
                               co_await dm::sleep_for(io.get_executor(), run_time);
                               if (throws) {
                                   throw std::runtime_error("handler failure");
                               }
                               co_return dm::make_text_response(200, "text/plain",
                                                                "[" + std::string(request.target()) + "]" +
                                                                    std::string(padding_bytes, 'x'));
                           },
                           protocol};
};

std::size_t count_of(const std::string& text, const std::string& part) {
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

} // namespace

TEST_SUITE_BEGIN("connection");

TEST_CASE("Pipelined requests get complete responses in order") {
    server_fixture fixture;
    auto socket = fixture.connect();
    const std::string text = "GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n"
                             "GET /3 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    const std::string response = fixture.exchange(socket, text, false);
    CHECK(count_of(response, "200 OK") == 3);
    CHECK(response.find("[/1]") < response.find("[/2]"));
    CHECK(response.find("[/2]") < response.find("[/3]"));
}

TEST_CASE("A caller that half-closes gets its complete response") {
    server_fixture fixture;
    auto socket = fixture.connect();
    const std::string response = fixture.exchange(socket, "GET /half HTTP/1.1\r\nHost: x\r\n\r\n", true);
    CHECK(response.find("[/half]") != std::string::npos);
    CHECK(fixture.cancelled == 0);
}

TEST_CASE("The request of a caller that disconnects is cancelled") {
    server_fixture fixture;
    {
        auto socket = fixture.connect();
        asio::write(socket, asio::buffer(std::string("GET /gone HTTP/1.1\r\nHost: x\r\n\r\n")));
    }
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(2);
    while (fixture.cancelled == 0 && std::chrono::steady_clock::now() < until) {
        fixture.io.run_for(milliseconds(5));
    }
    CHECK(fixture.cancelled == 1);
    fixture.io.run_for(milliseconds(100));
    CHECK(fixture.counters.total(dm::event::requests_unanswered) == 1);
}

// Guards against work for callers that have left: a host that was stalled read the end of a request after the
// timer for receiving it had expired, and the timer's handler then ended the watch for the caller's
// departure.
TEST_CASE(
    "The request of a caller that disconnects is cancelled though the host was stalled while it arrived") {
    server_fixture fixture;
    fixture.run_time = std::chrono::seconds(1);
    {
        auto socket = fixture.connect();
        asio::write(socket, asio::buffer(std::string("GET /1 HTTP/1.1\r\nHo")));
        fixture.io.run_for(milliseconds(20));
        asio::write(socket, asio::buffer(std::string("st: x\r\n\r\n")));
        std::this_thread::sleep_for(small_limits().receive_timeout);
        fixture.io.run_for(milliseconds(50));
        REQUIRE(fixture.requests == 1);
    }
    fixture.run_until_cancelled(milliseconds(500));
    CHECK(fixture.cancelled == 1);
    fixture.io.run_for(milliseconds(1100));
}

// Guards against a watch for the caller's departure that ends with the first bytes of its next request: the
// request then ran on for nobody.
TEST_CASE("The request of a caller that sends more and then disconnects is cancelled") {
    for (const bool half_close_means_gone : {true, false}) {
        CAPTURE(half_close_means_gone);
        dm::http_protocol protocol;
        protocol.half_close_means_gone = half_close_means_gone;
        server_fixture fixture(protocol);
        fixture.run_time = std::chrono::seconds(1);
        {
            auto socket = fixture.connect();
            asio::write(socket, asio::buffer(std::string("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n")));
            fixture.io.run_for(milliseconds(20));
            asio::write(socket, asio::buffer(std::string("GET /2 HTTP/1.1\r\nHo")));
            fixture.io.run_for(milliseconds(20));
        }
        fixture.run_until_cancelled(milliseconds(500));
        CHECK(fixture.cancelled == 1);
        fixture.io.run_for(std::chrono::milliseconds(1100));
    }
}

TEST_CASE("A request that arrives in pieces while another is processed is answered after it") {
    server_fixture fixture;
    auto socket = fixture.connect();
    asio::write(socket, asio::buffer(std::string("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n")));
    fixture.io.run_for(milliseconds(20));
    asio::write(socket, asio::buffer(std::string("GET /2 HTTP/1.1\r\nHo")));
    fixture.io.run_for(milliseconds(20));
    const std::string response = fixture.exchange(socket, "st: x\r\nConnection: close\r\n\r\n", false);
    CHECK(response.find("[/1]") < response.find("[/2]"));
    CHECK(response.find("[/2]") != std::string::npos);
    CHECK(fixture.cancelled == 0);
}

// Guards against a busy host that reads requests late and runs them for callers that have given up meanwhile.
TEST_CASE("A request whose caller left before it was read does not run") {
    dm::http_protocol protocol;
    protocol.half_close_means_gone = true;
    server_fixture fixture(protocol);
    {
        auto socket = fixture.connect();
        asio::write(socket, asio::buffer(std::string("POST /1 HTTP/1.1\r\nHost: x\r\n\r\n")));
    }
    fixture.io.run_for(milliseconds(100));
    CHECK(fixture.requests == 0);
    CHECK(fixture.counters.total(dm::event::requests_unanswered) == 1);
}

// Guards against a caller that shuts down its sending side, reads on, and leaves before the response.
TEST_CASE("The request of a caller that half-closes and leaves later is cancelled") {
    server_fixture fixture;
    fixture.run_time = std::chrono::seconds(1);
    {
        auto socket = fixture.connect();
        asio::write(socket, asio::buffer(std::string("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n")));
        socket.shutdown(tcp::socket::shutdown_send);
        fixture.io.run_for(milliseconds(100));
        REQUIRE(fixture.cancelled == 0);
        // A zero linger time makes the close reset the connection.
        socket.set_option(asio::socket_base::linger(true, 0));
    }
    fixture.run_until_cancelled(milliseconds(500));
    CHECK(fixture.cancelled == 1);
    fixture.io.run_for(std::chrono::milliseconds(1100));
}

TEST_CASE("Large headers, large bodies, bad requests and slow callers are refused and counted") {
    const auto refuse = [](const std::string& text, const std::string& status, dm::reason why) {
        server_fixture fixture;
        auto socket = fixture.connect();
        const std::string response = fixture.exchange(socket, text, false);
        CHECK(response.find(status) != std::string::npos);
        CHECK(response.find("Dandelion-Outcome: not-run") != std::string::npos);
        CHECK(fixture.counters.refusals(why) == 1);
    };
    refuse("GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n", "413",
           dm::reason::headers_too_large);
    refuse("POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", "413", dm::reason::body_too_large);
    refuse("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1000\r\n" + std::string(4096, 'x') +
               "\r\n0\r\n\r\n",
           "413", dm::reason::body_too_large);
    refuse("nonsense\r\n\r\n", "400", dm::reason::bad_request);
    refuse("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc", "408", dm::reason::slow_caller);
}

TEST_CASE("Connections above the limit get a refusal") {
    server_fixture fixture;
    auto first = fixture.connect();
    auto second = fixture.connect();
    auto third = fixture.connect();
    const std::string response = fixture.receive(third);
    CHECK(response.find("503") != std::string::npos);
    CHECK(response.find("connection_limit") != std::string::npos);
    CHECK(response.find("Retry-After") != std::string::npos);
}

TEST_CASE("A connection that exceeds the idle timeout is closed") {
    server_fixture fixture;
    auto socket = fixture.connect();
    CHECK(fixture.receive(socket).empty());
    CHECK(fixture.server.connections() == 0);
}

TEST_CASE("Draining completes requests in progress and then closes") {
    server_fixture fixture;
    auto socket = fixture.connect();
    asio::write(socket, asio::buffer(std::string("GET /last HTTP/1.1\r\nHost: x\r\n\r\n")));
    fixture.io.run_for(milliseconds(20));
    fixture.server.drain();
    const std::string response = fixture.receive(socket);
    CHECK(response.find("[/last]") != std::string::npos);
    CHECK(response.find("Connection: close") != std::string::npos);
}

// Guards against an exception that ends the connection's task: the caller got no response, and the server
// could never stop, as the request still counted as busy.
TEST_CASE("The caller gets a response when the handler throws") {
    server_fixture fixture;
    fixture.throws = true;
    auto socket = fixture.connect();
    const std::string response =
        fixture.exchange(socket, "GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", false);
    CHECK(response.find("500") != std::string::npos);
    CHECK(fixture.server.busy() == 0);
}

// Guards against a planned stop that exits while the last responses are being written, so that they are lost.
TEST_CASE("A request counts as busy until its response is fully written") {
    server_fixture fixture;
    fixture.padding_bytes = 32UL * 1024 * 1024;
    auto socket = fixture.connect();
    asio::write(socket, asio::buffer(std::string("GET /large HTTP/1.1\r\nHost: x\r\n\r\n")));
    fixture.io.run_for(milliseconds(200));
    CHECK(fixture.server.busy() == 1);
    fixture.server.drain();
    CHECK(fixture.receive(socket).size() > fixture.padding_bytes);
    CHECK(fixture.server.busy() == 0);
}

// Guards against a planned stop that exits while a request is being received: the request ran, but its
// response was lost.
TEST_CASE("A request counts as busy from its first bytes") {
    server_fixture fixture;
    auto socket = fixture.connect();
    asio::write(socket,
                asio::buffer(std::string("POST /half HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nab")));
    fixture.io.run_for(milliseconds(20));
    CHECK(fixture.server.busy() == 1);
    asio::write(socket, asio::buffer(std::string("cd")));
    fixture.io.run_for(milliseconds(20));
    CHECK(fixture.server.busy() == 1);
    fixture.io.run_for(milliseconds(100));
    CHECK(fixture.server.busy() == 0);
}

// Guards against requests that are lost because they have arrived but are not read yet when idle connections
// are closed.
TEST_CASE("A request that has arrived is answered although idle connections are closed") {
    server_fixture fixture;
    auto socket = fixture.connect();
    fixture.io.run_for(milliseconds(20));
    asio::write(socket, asio::buffer(std::string("GET /arrived HTTP/1.1\r\nHost: x\r\n\r\n")));
    fixture.server.drain();
    fixture.server.close_idle();
    CHECK(fixture.receive(socket).find("[/arrived]") != std::string::npos);
}

TEST_SUITE_END();
