#include "dandelionmount/connection/target_connection.h"

#include "tests/support/raw_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <iterator>
#include <optional>
#include <vector>

namespace dm = dandelionmount;
namespace asio = boost::asio;
namespace wire = dandelionmount::wire;
using std::chrono::milliseconds;

namespace {

// Calls to a target that sends fixed bytes.
struct target_fixture : tests::raw_server {
    explicit target_fixture(std::string text, bool closes, dm::http_protocol protocol = {},
                            std::size_t max_response_bytes = 1000)
        : raw_server(std::move(text), closes),
          connections_to_target(io.get_executor(), time, max_response_bytes, memory, std::move(protocol)) {}

    // Starts a call; its reply arrives while the context runs.
    std::shared_ptr<std::optional<wire::forward_reply>> start(dm::duration limit) {
        auto reply = std::make_shared<std::optional<wire::forward_reply>>();
        asio::co_spawn(
            io,
            [this, reply, limit]() -> asio::awaitable<void> {
                wire::forward_request request;
                request.set_method("GET");
                request.set_path("/x");
                const dm::target_address target{acceptor.local_endpoint(), {}};
                auto response = co_await connections_to_target.call(target, request, time.now() + limit,
                                                                    std::make_shared<dm::cancel_token>());
                *reply = std::move(response);
            },
            asio::detached);
        return reply;
    }

    wire::forward_reply call(bool idempotent, dm::duration limit = milliseconds(200),
                             std::shared_ptr<dm::cancel_token> cancel = std::make_shared<dm::cancel_token>(),
                             std::optional<asio::ip::tcp::endpoint> endpoint = std::nullopt) {
        const dm::target_address target{endpoint ? *endpoint : acceptor.local_endpoint(), {}};
        wire::forward_request request;
        request.set_id("id");
        request.set_method("GET");
        request.set_path("/x");
        request.set_service("store");
        request.set_idempotent(idempotent);
        request.set_body(body);
        auto* id_header = request.add_headers();
        id_header->set_name("X-Id");
        id_header->set_value("r1");
        std::optional<wire::forward_reply> reply;
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                reply = co_await connections_to_target.call(target, request, time.now() + limit, cancel);
            },
            asio::detached);
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(3);
        while (!reply && std::chrono::steady_clock::now() < until) {
            io.run_for(milliseconds(2));
        }
        REQUIRE(reply);
        return *reply;
    }

    std::string body;
    dm::system_time_source time;
    std::shared_ptr<dm::byte_budget> memory{std::make_shared<dm::byte_budget>(dm::byte_budget{2000})};
    dm::target_connections connections_to_target;
};

} // namespace

TEST_SUITE_BEGIN("connection");

TEST_CASE("Only a framed and complete response proves that the request ran") {
    const auto outcome = [](const std::string& text, bool closes) {
        target_fixture fixture(text, closes);
        return fixture.call(false).outcome();
    };
    CHECK(outcome("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false) == wire::ran);
    CHECK(outcome("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false) ==
          wire::ran);
    CHECK(outcome("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", true) == wire::unknown);
    CHECK(outcome("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", true) == wire::unknown);
    CHECK(outcome("HTTP/1.1 200 OK\r\n\r\nno length", true) == wire::unknown);
    CHECK(outcome("HTTP/1.1 200 OK\r\nContent-Le", true) == wire::unknown);
    CHECK(outcome("garbage\r\n\r\n", true) == wire::unknown);
    CHECK(outcome("", true) == wire::unknown);
}

TEST_CASE("A response that is too large is abandoned") {
    target_fixture fixture("HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + std::string(5000, 'x'), false);
    const auto reply = fixture.call(false);
    CHECK(reply.outcome() == wire::unknown);
    CHECK(reply.reason() == "target_answer_too_large");
}

// Guards against a call that keeps reading interim responses until its deadline.
TEST_CASE("Endless interim responses are abandoned at once") {
    target_fixture fixture("", false);
    fixture.repeated = "HTTP/1.1 102 Processing\r\n\r\n";
    const auto reply = fixture.call(false, milliseconds(1000));
    CHECK(reply.outcome() == wire::unknown);
    CHECK(reply.reason() == "target_lost");
    fixture.io.run_for(milliseconds(50));
    CHECK(fixture.closed_by_client == 1);
}

// Guards against a limit on interim responses that cuts off the final response after a few of them.
TEST_CASE("The final response may follow a few interim ones") {
    const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
    target_fixture fixture(interim + interim + interim + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                           false);
    CHECK(fixture.call(false).body() == "ok");
}

// Guards against an invalid status that is taken for that of an interim response: the call would wait for the
// final one until its deadline, or take what follows for it.
TEST_CASE("A response with a status below 100 is abandoned at once") {
    dm::http_protocol protocol;
    protocol.accepts_close_delimited_responses = true;
    for (const std::string_view status : {"000 ", "000 OK", "001 OK", "099 Continue"}) {
        const std::string start = "HTTP/1.1 " + std::string(status) + "\r\n";
        const std::string framed = start + "Content-Length: 2\r\n\r\nno";
        const std::string final = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        for (const std::string& text : {framed, framed + final, start + "\r\nno", start + "\r\n" + final}) {
            CAPTURE(text);
            target_fixture fixture(text, false, protocol);
            const auto reply = fixture.call(false, milliseconds(1000));
            CHECK(reply.outcome() == wire::unknown);
            CHECK(reply.reason() == "target_lost");
            fixture.io.run_for(milliseconds(50));
            CHECK(fixture.closed_by_client == 1);
        }
    }
}

// Guards against a line of the head that is passed on in a damaged form, or hides the end of the response.
TEST_CASE("A response with a blank or a control character in a field name is abandoned at once") {
    dm::http_protocol protocol;
    protocol.accepts_close_delimited_responses = true;
    const auto check_abandoned = [&protocol](const std::string& head) {
        CAPTURE(head);
        target_fixture fixture(head + "ok and more", false, protocol);
        const auto reply = fixture.call(false, milliseconds(1000));
        CHECK(reply.outcome() == wire::unknown);
        CHECK(reply.reason() == "target_lost");
    };
    std::string bad_characters(1, '\x7f');
    for (char character = 0; character <= ' '; ++character) {
        bad_characters.push_back(character);
    }
    const std::string start = "HTTP/1.1 200 OK\r\n";
    for (const char bad : bad_characters) {
        CAPTURE(static_cast<int>(bad));
        const std::string length = "Content-Length";
        for (const std::size_t at : {std::size_t{0}, std::size_t{7}, length.size()}) {
            std::string name = length;
            name.insert(at, 1, bad);
            check_abandoned(start + name + ": 2\r\nX-Other: 1\r\n\r\n");
            check_abandoned(start + "X-Other: 1\r\n" + name + ": 2\r\n\r\n");
        }
    }
    check_abandoned(start + "X-Other:\r\n Content-Length: 2\r\n\r\n");
    check_abandoned(start + "X-Other: 1\r\n Transfer-Encoding: chunked\r\n\r\n");
    check_abandoned(start + " \r\n\r\n");
    check_abandoned(start + "X-Other: 1\r\n \r\n\r\n");
    const std::string chunks = start + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
    check_abandoned(chunks + " X-Other: 1\r\n\r\n");
    check_abandoned(chunks + "X-Other : 1\r\n\r\n");
    check_abandoned(chunks + "X-Other: 1\r\n X-More: 2\r\n\r\n");
    check_abandoned("HTTP/1.1 102 Processing\r\n\r\n" + start + "X-Other: 1\r\n X-More: 2\r\n\r\n");
}

// Guards against a check of the head that reads the body, or misses a line that arrives in pieces.
TEST_CASE("Lines of the body may start with a blank, lines of the head may not") {
    const std::string body = " blank\r\n and\r\n\ttab";
    const std::string head =
        "HTTP/1.1 200 OK\r\nX-Other:  1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    target_fixture fixture(head + body, false);
    CHECK(fixture.call(false).body() == body);
    fixture.sends_bytewise = true;
    CHECK(fixture.call(false, milliseconds(1000)).body() == body);
    fixture.response = "HTTP/1.1 200 OK\r\nX-Other: 1\r\n Content-Length: 0\r\n\r\n";
    CHECK(fixture.call(false, milliseconds(1000)).reason() == "target_lost");
    for (const std::string_view trailer : {"", "X-More:  2\r\n"}) {
        fixture.response =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n\r\n a\r\n0;part=last\r\n" +
            std::string(trailer) + "\r\n";
        fixture.sends_bytewise = !fixture.sends_bytewise;
        CHECK(fixture.call(false, milliseconds(1000)).body() == "\r\n a");
    }
    // The last byte of the head arrives with the body.
    target_fixture split(head.substr(0, head.size() - 1), false);
    split.repeated = "\n" + body;
    split.max_sent_bytes = split.repeated.size();
    split.pause = milliseconds(20);
    CHECK(split.call(false).body() == body);
}

// Guards against a parser that waits for more bytes although the first ones can't start a response.
TEST_CASE("Bytes that can't start a response are abandoned at once") {
    for (const std::string_view text : {"g", "garbage", "HTTP/2", "\r\nHTTP/1.1 200 OK\r\n"}) {
        CAPTURE(text);
        target_fixture fixture(std::string(text), false);
        const auto reply = fixture.call(false, milliseconds(500));
        CHECK(reply.outcome() == wire::unknown);
        CHECK(reply.reason() == "target_lost");
        fixture.io.run_for(milliseconds(50));
        CHECK(fixture.closed_by_client == 1);
    }
    target_fixture endless("", false);
    endless.repeated = std::string(4096, '\xa5');
    CHECK(endless.call(false, milliseconds(1000)).reason() == "target_lost");
    endless.io.run_for(milliseconds(50));
    CHECK(endless.closed_by_client == 1);
}

// Guards against a response whose start arrives in pieces and is not recognised as a response.
TEST_CASE("A response may arrive byte by byte") {
    const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    target_fixture fixture(text, false);
    fixture.sends_bytewise = true;
    CHECK(fixture.call(false, milliseconds(1000)).body() == "ok");
}

// Guards against a buffer that grows until the deadline, as bytes stay in it until they can be parsed.
TEST_CASE("Endless header sections, chunk headers and trailers are abandoned at once") {
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto check_endless = [](const std::string& start, const std::string& repeated) {
        CAPTURE(start);
        CAPTURE(repeated);
        target_fixture fixture(start, false);
        fixture.repeated = repeated;
        const auto reply = fixture.call(false, milliseconds(1000));
        CHECK(reply.outcome() == wire::unknown);
        CHECK(reply.reason() == "target_answer_too_large");
        fixture.io.run_for(milliseconds(50));
        CHECK(fixture.closed_by_client == 1);
    };
    check_endless("HTTP/1.1 200 OK\r\n", "X-More: and more\r\n");
    check_endless("HTTP/1.1 200 OK\r\nX-Long: ", "and more ");
    check_endless("HTTP/1.1 200 ", "and more ");
    check_endless(chunked + "1;", "extension");
    check_endless(chunked + "0\r\n", "X-More: and more\r\n");
}

// Guards against a body limit that applies only where the length is announced.
TEST_CASE("An endless body is abandoned at the body limit") {
    const auto check_endless = [](const std::string& start, const std::string& repeated) {
        CAPTURE(start);
        dm::http_protocol protocol;
        protocol.accepts_close_delimited_responses = true;
        target_fixture fixture(start, false, protocol);
        fixture.repeated = repeated;
        CHECK(fixture.call(false, milliseconds(1000)).reason() == "target_answer_too_large");
        fixture.io.run_for(milliseconds(50));
        CHECK(fixture.closed_by_client == 1);
    };
    check_endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nmore\r\n");
    check_endless("HTTP/1.1 200 OK\r\n\r\n", "more");
}

// Guards against responses that are each small enough but together exhaust the host's memory.
TEST_CASE("Responses received concurrently share a memory budget") {
    for (const std::string_view start :
         {"Content-Length: 900\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n384\r\n"}) {
        CAPTURE(start);
        target_fixture fixture("HTTP/1.1 200 OK\r\n" + std::string(start) + std::string(800, 'x'), false);
        constexpr std::size_t calls = 6;
        std::vector<std::shared_ptr<std::optional<wire::forward_reply>>> replies;
        std::generate_n(std::back_inserter(replies), calls,
                        [&] { return fixture.start(milliseconds(1000)); });
        fixture.io.run_for(milliseconds(200));
        const auto given_up = std::count_if(replies.begin(), replies.end(), [](const auto& reply) {
            return *reply && (*reply)->reason() == "target_answer_too_large";
        });
        CHECK(given_up == calls - 1);
        CHECK(fixture.closed_by_client == calls - 1);
        CHECK(fixture.memory->left == 1200);
        fixture.response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        CHECK(fixture.call(false).body() == "ok");
        fixture.io.run_for(milliseconds(1000));
        CHECK(fixture.memory->left == 2000);
    }
}

// Guards against a deadline that is not checked while bytes are always available.
TEST_CASE("An endless response is abandoned at the deadline") {
    // So many one-byte chunks that the body limit is not reached in time.
    constexpr std::size_t max_response_bytes = 1024UL * 1024 * 1024;
    target_fixture fixture("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false, {},
                           max_response_bytes);
    fixture.memory->left = 2 * max_response_bytes;
    fixture.max_sent_bytes = max_response_bytes;
    fixture.repeated = "1\r\nx\r\n";
    const auto began = std::chrono::steady_clock::now();
    CHECK(fixture.call(false, milliseconds(300)).reason() == "deadline");
    CHECK(std::chrono::steady_clock::now() - began < milliseconds(600));
    fixture.io.run_for(milliseconds(50));
    CHECK(fixture.closed_by_client == 1);
}

// Guards against an unused connection that accumulates bytes until it is reused.
TEST_CASE("An idle connection that receives bytes is closed") {
    target_fixture fixture("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false);
    fixture.pause = milliseconds(30);
    fixture.repeated = "more";
    CHECK(fixture.call(true).body() == "ok");
    fixture.connections_to_target.close_unusable();
    CHECK(fixture.closed_by_client == 0);
    fixture.io.run_for(milliseconds(60));
    fixture.connections_to_target.close_unusable();
    fixture.io.run_for(milliseconds(50));
    CHECK(fixture.closed_by_client == 1);
}

// Guards against idle connections that stay open because newer ones are reused first.
TEST_CASE("An idle connection is closed after its idle timeout") {
    target_fixture fixture("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false);
    CHECK(fixture.call(true).body() == "ok");
    fixture.io.run_for(milliseconds(600));
    fixture.connections_to_target.close_unusable();
    fixture.io.run_for(milliseconds(50));
    CHECK(fixture.closed_by_client == 1);
}

// Guards against a connection that is read until the deadline because responses to other requests keep
// arriving.
TEST_CASE("Endless responses to other requests are abandoned at once") {
    dm::http_protocol protocol;
    protocol.request_id_header = "X-Id";
    protocol.caller_sets_request_id = true;
    target_fixture fixture("", false, protocol);
    fixture.repeated = "HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length: 2\r\n\r\nno";
    const auto reply = fixture.call(false, milliseconds(1000));
    CHECK(reply.outcome() == wire::unknown);
    CHECK(reply.reason() == "target_lost");
    fixture.io.run_for(milliseconds(50));
    CHECK(fixture.closed_by_client == 1);
}

TEST_CASE("A target that does not listen has not run the request") {
    target_fixture fixture("", false);
    const auto endpoint = fixture.acceptor.local_endpoint();
    fixture.acceptor.close();
    wire::forward_request request;
    request.set_method("GET");
    request.set_path("/");
    std::optional<wire::forward_reply> reply;
    asio::co_spawn(
        fixture.io,
        [&]() -> asio::awaitable<void> {
            const dm::target_address target{endpoint, {}};
            reply = co_await fixture.connections_to_target.call(target, request,
                                                                fixture.time.now() + milliseconds(200),
                                                                std::make_shared<dm::cancel_token>());
        },
        asio::detached);
    fixture.io.run_for(milliseconds(300));
    REQUIRE(reply);
    CHECK(reply->outcome() == wire::not_run);
}

TEST_CASE("A request that is not idempotent never reuses an idle connection") {
    target_fixture fixture("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false);
    (void)fixture.call(true);
    (void)fixture.call(true);
    CHECK(fixture.connections == 1);
    (void)fixture.call(false);
    CHECK(fixture.connections == 2);
}

TEST_CASE("A call to a silent target ends at the deadline and closes its connection") {
    target_fixture fixture("", false);
    const auto reply = fixture.call(false, milliseconds(50));
    CHECK(reply.outcome() == wire::unknown);
    CHECK(reply.reason() == "deadline");
    fixture.io.run_for(milliseconds(50));
    CHECK(fixture.closed_by_client == 1);
}

TEST_CASE("A cancelled call closes its connection to the target") {
    target_fixture fixture("", false);
    auto cancel = std::make_shared<dm::cancel_token>();
    asio::steady_timer timer(fixture.io, milliseconds(30));
    timer.async_wait([&](const boost::system::error_code&) { cancel->request(); });
    const auto reply = fixture.call(false, milliseconds(2000), cancel);
    CHECK(reply.outcome() == wire::unknown);
    CHECK(reply.reason() == "caller_gone");
    fixture.io.run_for(milliseconds(50));
    CHECK(fixture.closed_by_client == 1);
}

TEST_CASE("Only a response that repeats the request id is accepted") {
    dm::http_protocol protocol;
    protocol.request_id_header = "X-Id";
    protocol.caller_sets_request_id = true;
    protocol.accepts_close_delimited_responses = true;
    protocol.not_run_header = "X-Rejected";
    protocol.response_signature_header = "X-Mark";
    const std::string own = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Mark: m\r\nContent-Length: 2\r\n\r\nok";
    const std::string stray = "HTTP/1.1 200 OK\r\nX-Id: r0\r\nX-Mark: m\r\nContent-Length: 2\r\n\r\nno";
    const auto call = [&](const std::string& response, bool closes) {
        target_fixture fixture(response, closes, protocol);
        return fixture.call(false);
    };
    CHECK(call(own, false).body() == "ok");
    // A response to an earlier request may come first.
    CHECK(call(stray + own, false).body() == "ok");
    CHECK(call(stray, true).outcome() == wire::unknown);
    const auto unframed = call("HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Mark: m\r\n\r\nok", true);
    CHECK(unframed.outcome() == wire::ran);
    CHECK(unframed.body() == "ok");
    const auto rejected =
        call("HTTP/1.1 503 Busy\r\nX-Id: r1\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", false);
    CHECK(rejected.outcome() == wire::not_run);
    // Callers would take these as a guarantee that nothing has run.
    const auto unproved =
        call("HTTP/1.1 503 Busy\r\nX-Id: r1\r\nX-Mark: m\r\nContent-Length: 0\r\n\r\n", false);
    CHECK(unproved.outcome() == wire::unknown);
    const auto unmarked = call("HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok", false);
    CHECK(unmarked.outcome() == wire::unknown);
}

TEST_CASE("An idempotent request succeeds although the target closed the idle connection") {
    target_fixture fixture("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true);
    CHECK(fixture.call(true).outcome() == wire::ran);
    CHECK(fixture.call(true).outcome() == wire::ran);
    CHECK(fixture.connections == 2);
}

// Guards against "not run" for a request under which the target crashed.
TEST_CASE(
    "A request that was lost on an idle connection may have run, though the target refuses the next one") {
    target_fixture fixture("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false);
    CHECK(fixture.call(true).outcome() == wire::ran);
    fixture.response.clear();
    fixture.closes_after_response = true;
    // The endpoint stays known.
    const auto endpoint = fixture.acceptor.local_endpoint();
    fixture.acceptor.close();
    const auto reply = fixture.call(true, milliseconds(200), std::make_shared<dm::cancel_token>(), endpoint);
    CHECK(reply.outcome() == wire::unknown);
    CHECK(reply.reason() == "target_lost");
}

TEST_CASE("A connection with bytes received between requests is not reused") {
    target_fixture fixture("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n", false);
    CHECK(fixture.call(true).body() == "ok");
    CHECK(fixture.call(true).body() == "ok");
    CHECK(fixture.connections == 2);
}

// Guards against a target that responds before it has read a long body, and takes the bytes of the next
// request for the rest of that body.
TEST_CASE("A connection whose request body is not fully written is not reused") {
    target_fixture fixture("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false);
    // More than the buffers of an unread connection hold.
    fixture.body = std::string(16UL * 1024 * 1024, 'x');
    fixture.reads_once = true;
    const auto reply = fixture.call(true, milliseconds(2000));
    CHECK(reply.outcome() == wire::ran);
    (void)fixture.call(true, milliseconds(100));
    CHECK(fixture.connections == 2);
}

// Guards against a truncated response that is taken for a complete one: while a long request is being
// written, the kernel may report a reset to the write only, and an end of stream to the read.
TEST_CASE("A close-delimited response that ends in a reset is not complete") {
    dm::http_protocol protocol;
    protocol.accepts_close_delimited_responses = true;
    const auto check = [&protocol](std::size_t request_bytes, milliseconds pause) {
        CAPTURE(request_bytes);
        CAPTURE(pause.count());
        const auto call = [&](const std::string& response, tests::connection_end end) {
            target_fixture fixture("HTTP/1.1 200 OK\r\n" + response, false, protocol);
            fixture.end_after_response = end;
            fixture.pause = pause;
            fixture.body = std::string(request_bytes, 'x');
            return fixture.call(false, milliseconds(3000));
        };
        using tests::connection_end;
        const auto lost = call("\r\npart", connection_end::reset);
        CHECK(lost.outcome() == wire::unknown);
        CHECK(lost.reason() == "target_lost");
        const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
        CHECK(call("Content-Length: 9\r\n\r\npart", connection_end::reset).outcome() == wire::unknown);
        CHECK(call(chunked + "4\r\npart\r\n", connection_end::reset).outcome() == wire::unknown);
        // Complete before the connection ended.
        CHECK(call("Content-Length: 2\r\n\r\nok", connection_end::reset).body() == "ok");
        CHECK(call(chunked + "2\r\nok\r\n0\r\n\r\n", connection_end::reset).body() == "ok");
        CHECK(call("\r\nok", connection_end::half_close).body() == "ok");
        CHECK(call("\r\nok", connection_end::half_close_and_reset).body() == "ok");
    };
    // More than the buffers of an unread connection hold.
    constexpr std::size_t long_request_bytes = 12UL * 1024 * 1024;
    for (const std::size_t request_bytes : {std::size_t{0}, long_request_bytes}) {
        // The response has or has not been read when the connection ends.
        check(request_bytes, milliseconds(20));
        check(request_bytes, milliseconds(0));
    }
}

TEST_CASE("What a target says of itself is read from whole responses, with the process that said it") {
    dm::http_protocol protocol;
    protocol.rate_limit_header = "X-Rate";
    protocol.leaving_header = "X-Leaving";
    const auto read = [&protocol](const std::string& headers) {
        target_fixture fixture("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + headers + "\r\nok", false,
                               protocol);
        std::vector<dm::target_signals> received;
        fixture.connections_to_target.on_signals(
            [&received](const dm::target_signals& signals) { received.push_back(signals); });
        CHECK(fixture.call(true).outcome() == wire::ran);
        REQUIRE(received.size() == 1);
        return received.front();
    };
    CHECK(read("X-Rate: 28.25\r\n").rate_limit == 28.25);
    CHECK_FALSE(read("X-Rate: 28.25\r\n").is_leaving);
    CHECK(read("X-Leaving: 1\r\n").is_leaving);
    CHECK_FALSE(read("X-Leaving: 1\r\n").rate_limit);
    CHECK_FALSE(read("X-Rate: many\r\n").rate_limit);
    CHECK_FALSE(read("X-Rate: 3 a second\r\n").rate_limit);
}

TEST_SUITE_END();
