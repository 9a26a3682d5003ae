#include "dandelionmount/connection/target_connection.h"

#include "dandelionmount/connection/peer_link.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace dandelionmount {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

// Targets close idle connections after seconds; one used within this time is very likely still open.
constexpr duration idle_life = std::chrono::milliseconds(500);
constexpr std::size_t most_idle = 64;

http_request make_target_request(const wire::forward_request& request, duration left) {
    http_request made{http::string_to_verb(request.method()), request.path(), 11};
    if (made.method() == http::verb::unknown) {
        made.method_string(request.method());
    }
    for (const auto& header : request.headers()) {
        made.insert(header.name(), header.value());
    }
    made.set(http::field::host, request.service());
    if (!request.account().empty()) {
        made.set(std::string(account_header), request.account());
    }
    made.set(std::string(request_header), request.id());
    made.set(std::string(timeout_header), std::to_string(std::max(1U, to_milliseconds(left))));
    made.body() = request.body();
    made.prepare_payload();
    return made;
}

wire::forward_reply take_answer(const wire::forward_request& request, http_response answer) {
    wire::forward_reply reply = make_reply(request, wire::ran, reason::none);
    reply.set_status(answer.result_int());
    copy_answer_headers(answer, reply);
    reply.set_body(std::move(answer.body()));
    return reply;
}

reason read_failure(const boost::system::error_code& error, bool cancelled) {
    if (cancelled) {
        return reason::caller_gone;
    }
    if (error == beast::error::timeout) {
        return reason::deadline;
    }
    return error == http::error::body_limit ? reason::target_answer_too_large : reason::target_lost;
}

} // namespace

target_connections::target_connections(asio::any_io_executor executor, const time_source& time,
                                       std::size_t most_answer_bytes)
    : executor_(std::move(executor)), time_(time), most_answer_bytes_(most_answer_bytes) {}

target_connections::connection_pointer target_connections::take_idle() {
    while (!idle_.empty()) {
        connection_pointer conn = std::move(idle_.back());
        idle_.pop_back();
        if (time_.now() - conn->last_used < idle_life) {
            return conn;
        }
    }
    return nullptr;
}

asio::awaitable<wire::forward_reply> target_connections::call(tcp::endpoint target,
                                                              const wire::forward_request& request,
                                                              steady_time deadline,
                                                              std::shared_ptr<cancel_token> cancel) {
    // A target may close an idle connection just as a request is sent on it, and nobody could tell whether
    // the request ran: only requests that may run twice take that risk.
    connection_pointer conn = request.idempotent() ? take_idle() : nullptr;
    const bool fresh = conn == nullptr;
    if (fresh) {
        conn = std::make_shared<connection>(executor_);
        conn->stream.expires_at(deadline);
        auto [error] = co_await conn->stream.async_connect(target, as_result);
        if (error) {
            co_return make_reply(request, wire::not_run, reason::target_refused);
        }
        boost::system::error_code ignored;
        conn->stream.socket().set_option(tcp::no_delay(true), ignored);
    }
    if (cancel->requested()) {
        co_return make_reply(request, wire::not_run, reason::caller_gone);
    }
    // The connection may serve another request later: only while this call lasts may the token close it.
    auto active = std::make_shared<bool>(true);
    cancel->on_request([weak = std::weak_ptr<connection>(conn), active] {
        const auto open = weak.lock();
        if (open && *active) {
            open->stream.close();
        }
    });
    conn->stream.expires_at(deadline);
    auto reply = co_await exchange(conn, request, deadline - time_.now());
    *active = false;
    if (reply.outcome() == wire::unknown && cancel->requested()) {
        reply.set_reason(std::string(reason_token(reason::caller_gone)));
    }
    co_return reply;
}

asio::awaitable<wire::forward_reply>
target_connections::exchange(connection_pointer conn, const wire::forward_request& request, duration left) {
    const http_request made = make_target_request(request, left);
    auto [write_error, written] = co_await http::async_write(conn->stream, made, as_result);
    if (write_error) {
        co_return make_reply(request, wire::unknown, read_failure(write_error, false));
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(most_answer_bytes_);
    parser.skip(made.method() == http::verb::head);
    auto [read_error, count] = co_await http::async_read(conn->stream, buffer, parser, as_result);
    if (read_error) {
        co_return make_reply(request, wire::unknown, read_failure(read_error, false));
    }
    // An answer that ends with the connection can't be told from one that was cut short.
    if (parser.need_eof()) {
        co_return make_reply(request, wire::unknown, reason::target_lost);
    }
    const bool reusable = parser.keep_alive() && buffer.size() == 0 && idle_.size() < most_idle;
    if (reusable) {
        conn->stream.expires_never();
        conn->last_used = time_.now();
        idle_.push_back(conn);
    }
    co_return take_answer(request, parser.release());
}

} // namespace dandelionmount
