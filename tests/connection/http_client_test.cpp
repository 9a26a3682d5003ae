#include "dandelionmount/connection/http_client.h"

#include "tests/support/raw_server.h"

#include <doctest/doctest.h>
#include <optional>

namespace dm = dandelionmount;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t max_response_bytes = 1000;

// A client of a server that sends fixed bytes.
struct client_fixture : tests::raw_server {
    explicit client_fixture(std::string text) : raw_server(std::move(text)) {}

    dm::result<dm::http_response> exchange(dm::duration limit, std::size_t request_bytes = 0) {
        std::optional<dm::result<dm::http_response>> response;
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                dm::http_request request{request_bytes > 0 ? http::verb::post : http::verb::get, "/x", 11};
                request.body() = std::string(request_bytes, 'x');
                response = co_await client.exchange(std::move(request), limit);
            },
            asio::detached);
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(3);
        while (!response && std::chrono::steady_clock::now() < until) {
            io.run_for(milliseconds(2));
        }
        REQUIRE(response);
        return *response;
    }

    dm::http_client client{"127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
                           max_response_bytes};
};

} // namespace

TEST_SUITE_BEGIN("connection");

// Guards against bytes after a response that are taken for the response to the next request.
TEST_CASE("Bytes after a response end the client's connection") {
    client_fixture fixture("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"
                           "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray");
    for (int round = 0; round < 2; ++round) {
        const auto response = fixture.exchange(milliseconds(500));
        REQUIRE(response);
        CHECK(response.value().body() == "own");
    }
    CHECK(fixture.connections == 2);
}

// Guards against an interim response that is taken for the final one.
TEST_CASE("The client waits for the final response after a few interim ones") {
    const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
    client_fixture fixture(interim + interim + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    const auto response = fixture.exchange(milliseconds(500));
    REQUIRE(response);
    CHECK(response.value().body() == "ok");
    CHECK(fixture.exchange(milliseconds(500)).has_value());
    CHECK(fixture.connections == 1);
}

// Guards against an exchange that reads on, with growing memory, until the timeout.
TEST_CASE("The client gives up at once on an endless response") {
    const auto check_endless = [](const std::string& start, const std::string& repeated) {
        CAPTURE(start);
        CAPTURE(repeated);
        client_fixture fixture(start);
        fixture.repeated = repeated;
        const auto began = std::chrono::steady_clock::now();
        CHECK_FALSE(fixture.exchange(milliseconds(1500)));
        CHECK(std::chrono::steady_clock::now() - began < milliseconds(1000));
        fixture.io.run_for(milliseconds(50));
        CHECK(fixture.closed_by_client == 1);
    };
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    check_endless("", "HTTP/1.1 102 Processing\r\n\r\n");
    check_endless("", "garbage");
    check_endless("HTTP/1.1 200 OK\r\n", "X-More: and more\r\n");
    check_endless(chunked + "1;", "extension");
    check_endless(chunked + "0\r\n", "X-More: and more\r\n");
    check_endless(chunked, "4\r\nmore\r\n");
    check_endless("HTTP/1.1 200 OK\r\n\r\n", "more");
}

// Guards against a part of a response of the store, the log or a node that is taken for the whole.
TEST_CASE("The client takes a response that ends in a reset for lost") {
    // The longer one exceeds what the buffers of an unread connection hold.
    for (const std::size_t request_bytes : {0UL, 12UL * 1024 * 1024}) {
        for (const std::string_view response : {"\r\npart", "Content-Length: 9\r\n\r\npart",
                                                "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"}) {
            CAPTURE(request_bytes);
            CAPTURE(response);
            client_fixture fixture("HTTP/1.1 200 OK\r\n" + std::string(response));
            fixture.end_after_response = tests::connection_end::reset;
            fixture.pause = milliseconds(20);
            CHECK_FALSE(fixture.exchange(milliseconds(1500), request_bytes));
        }
    }
}

// Guards against a response of the store, the log or a node whose status or fields are damaged.
TEST_CASE("The client rejects a response with status 000 or a damaged field name") {
    const std::string body = "\r\n\r\nok";
    for (const std::string& start : {std::string("HTTP/1.1 000 \r\nContent-Length: 2"),
                                     std::string("HTTP/1.1 200 OK\r\nContent-Length : 2"),
                                     std::string("HTTP/1.1 200 OK\r\nContent\x01Length: 2"),
                                     std::string("HTTP/1.1 200 OK\r\n Content-Length: 2"),
                                     std::string("HTTP/1.1 200 OK\r\nX-Other: 1\r\n Content-Length: 2")}) {
        CAPTURE(start);
        client_fixture fixture(start + body);
        const auto response = fixture.exchange(milliseconds(1000));
        REQUIRE_FALSE(response);
        // Not held until the timeout.
        CHECK(response.error().message.find("timeout") == std::string::npos);
    }
}

TEST_SUITE_END();
