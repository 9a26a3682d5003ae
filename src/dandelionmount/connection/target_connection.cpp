#include "dandelionmount/connection/target_connection.h"

#include "dandelionmount/connection/response_receiver.h"
#include "dandelionmount/connection/peer_link.h"
#include "dandelionmount/connection/socket_options.h"
#include "dandelionmount/process/logging.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>

namespace dandelionmount {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

// Targets close idle connections after some seconds; one used within this time is very likely still open.
constexpr duration default_idle_timeout = std::chrono::milliseconds(500);
// Where the target announces its keep-alive timeout, the connection is kept for that time less this margin,
// up to the maximum, as targets may drop idle connections sooner.
constexpr duration keep_alive_margin = std::chrono::seconds(1);
constexpr duration max_idle_timeout = std::chrono::seconds(4);
constexpr std::size_t max_idle_connections = 64;
// Responses to earlier requests that are skipped before a connection is abandoned.
constexpr int max_stray_responses = 2;
// A target that acknowledges nothing for this long counts as gone, though its connection looks open.
constexpr duration unacknowledged_timeout = std::chrono::milliseconds(2500);
// The target is on this host, so its system refuses a connection at once.
constexpr duration refusal_timeout = std::chrono::milliseconds(100);
constexpr unsigned success = 200;
constexpr unsigned redirection = 300;

// Statuses that callers take as a guarantee that the request has not run.
bool guarantees_not_run(unsigned status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

reason receive_failure(const boost::system::error_code& error) {
    if (error == beast::error::timeout) {
        return reason::deadline;
    }
    return is_too_large(error) ? reason::target_answer_too_large : reason::target_lost;
}

// Whether a failed write means that the connection was lost before the target closed it. The kernel reports a
// loss once: if the write gets it, reads after it see an end of stream. After the target has closed the
// connection, the write gets a broken pipe instead.
bool was_lost_before_close(const boost::system::error_code& write_error) {
    return write_error && write_error != asio::error::broken_pipe;
}

bool has_header(const http_response& response, const std::string& name) {
    return !name.empty() && response.count(name) > 0;
}

// How long the connection may stay idle, according to the response.
duration idle_timeout(const http_response& response) {
    const auto value = response[http::field::keep_alive];
    const std::string_view text(value.data(), value.size());
    constexpr std::string_view name = "timeout=";
    const auto at = text.find(name);
    int seconds = 0;
    if (at == std::string_view::npos ||
        std::from_chars(text.data() + at + name.size(), text.data() + text.size(), seconds).ec !=
            std::errc()) {
        return default_idle_timeout;
    }
    return std::clamp<duration>(std::chrono::seconds(seconds) - keep_alive_margin, duration{0},
                                max_idle_timeout);
}

} // namespace

target_connections::target_connections(asio::any_io_executor executor, const time_source& time,
                                       std::size_t max_response_bytes, std::shared_ptr<byte_budget> memory,
                                       http_protocol protocol)
    : executor_(std::move(executor)), time_(time), max_response_bytes_(max_response_bytes),
      memory_(std::move(memory)), protocol_(std::move(protocol)) {}

http_request target_connections::make_target_request(const wire::forward_request& request,
                                                     std::string_view instance, duration remaining) const {
    http_request target_request{http::string_to_verb(request.method()), request.path(), 11};
    if (target_request.method() == http::verb::unknown) {
        target_request.method_string(request.method());
    }
    if (!protocol_.routes_by_host) {
        target_request.set(http::field::host, request.service());
    }
    for (const auto& header : request.headers()) {
        target_request.insert(header.name(), header.value());
    }
    if (!request.account().empty()) {
        target_request.set(protocol_.account_header, request.account());
    }
    if (!protocol_.caller_sets_request_id) {
        target_request.set(protocol_.request_id_header, request.id());
    }
    if (!protocol_.instance_header.empty() && !instance.empty()) {
        target_request.set(protocol_.instance_header, beast::string_view(instance.data(), instance.size()));
    }
    target_request.set(protocol_.timeout_header, std::to_string(std::max(1U, to_milliseconds(remaining))));
    target_request.body() = request.body();
    target_request.prepare_payload();
    return target_request;
}

bool target_connections::belongs_to(const http_response& response,
                                    const wire::forward_request& request) const {
    if (!protocol_.caller_sets_request_id) {
        return true;
    }
    const auto repeated_id = response[protocol_.request_id_header];
    return std::string_view(repeated_id.data(), repeated_id.size()) ==
           forwarded_header(request, protocol_.request_id_header);
}

wire::forward_reply target_connections::convert_response(const wire::forward_request& request,
                                                         http_response response) const {
    const unsigned status = response.result_int();
    if (has_header(response, protocol_.not_run_header)) {
        return make_reply(request, wire::not_run, reason::target_shed);
    }
    if (!protocol_.instance_header.empty() && response.result() == http::status::misdirected_request) {
        return make_reply(request, wire::not_run, reason::target_replaced);
    }
    const bool expects_signature = !protocol_.response_signature_header.empty();
    const bool is_success = status >= success && status < redirection;
    const bool lacks_signature =
        expects_signature && !has_header(response, protocol_.response_signature_header);
    const bool encoded = expects_signature && response.count(http::field::content_encoding) > 0;
    if (is_success && (lacks_signature || encoded)) {
        return make_reply(request, wire::unknown, reason::answer_not_whole);
    }
    // The caller would take such a status as a guarantee that nothing has run, which the target did not give.
    if (!protocol_.not_run_header.empty() && guarantees_not_run(status)) {
        return make_reply(request, wire::unknown, reason::target_failed);
    }
    wire::forward_reply reply = make_reply(request, wire::ran, reason::none);
    reply.set_status(status);
    copy_response_headers(response, reply, protocol_);
    reply.set_body(std::move(response.body()));
    return reply;
}

target_signals target_connections::read_signals(const http_response& response) const {
    target_signals signals;
    signals.is_leaving =
        has_header(response, protocol_.leaving_header) && response[protocol_.leaving_header] != "0";
    if (has_header(response, protocol_.rate_limit_header)) {
        const auto text = response[protocol_.rate_limit_header];
        double value = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
        if (parsed.ec == std::errc() && parsed.ptr == text.data() + text.size()) {
            signals.rate_limit = value;
        } else {
            log_event(log_level::warning, "rate limit of the target is not a number",
                      {{"value", std::string(text)}});
        }
    }
    return signals;
}

target_connections::connection_pointer target_connections::take_idle() {
    while (!idle_.empty()) {
        connection_pointer conn = std::move(idle_.back());
        idle_.pop_back();
        if (is_usable(*conn)) {
            return conn;
        }
    }
    return nullptr;
}

bool target_connections::is_usable(connection& idle) const {
    // Bytes or an end of stream that arrive between requests belong to no request.
    return time_.now() < idle.usable_until && is_idle(idle.stream.socket());
}

void target_connections::close_unusable() {
    std::erase_if(idle_, [this](const connection_pointer& idle) { return !is_usable(*idle); });
}

void target_connections::keep_idle(const connection_pointer& conn, const http_response& response) {
    if (idle_.size() >= max_idle_connections) {
        return;
    }
    conn->stream.expires_never();
    conn->usable_until = time_.now() + idle_timeout(response);
    idle_.push_back(conn);
}

asio::awaitable<target_connections::connection_pointer> target_connections::connect(tcp::endpoint target,
                                                                                    steady_time deadline) {
    auto conn = std::make_shared<connection>(executor_);
    conn->stream.expires_at(deadline);
    auto [error] = co_await conn->stream.async_connect(target, as_result);
    if (error) {
        co_return nullptr;
    }
    boost::system::error_code ignored;
    conn->stream.socket().set_option(tcp::no_delay(true), ignored);
    set_unacknowledged_timeout(conn->stream.socket(), unacknowledged_timeout);
    co_return conn;
}

asio::awaitable<bool> target_connections::refuses_connections(tcp::endpoint target) {
    beast::tcp_stream stream(executor_);
    stream.expires_after(refusal_timeout);
    const auto [error] = co_await stream.async_connect(target, as_result);
    co_return error == asio::error::connection_refused;
}

asio::awaitable<wire::forward_reply>
target_connections::call(target_address target, const wire::forward_request& request, steady_time deadline,
                         std::shared_ptr<cancel_token> cancel, steady_time finish_by) {
    const exchange_deadlines deadlines{deadline, std::min(deadline, finish_by)};
    // A target may close an idle connection just as a request is sent on it, and whether the request ran is
    // then unknown: only idempotent requests reuse one, as they can be sent again.
    connection_pointer conn = request.idempotent() ? take_idle() : nullptr;
    std::optional<wire::forward_reply> lost;
    if (conn != nullptr) {
        auto outcome = co_await exchange(conn, request, target.instance, deadlines, cancel);
        if (!outcome.lost_without_response || cancel->requested()) {
            co_return std::move(outcome.reply);
        }
        // The idle connection was lost before any response: a new one is opened.
        lost = std::move(outcome.reply);
    }
    conn = co_await connect(target.endpoint, deadlines.finish_by);
    if (conn == nullptr && lost) {
        // The target may have got the request and ended while it ran it.
        co_return std::move(*lost);
    }
    if (conn == nullptr) {
        const bool deadline_passed = time_.now() >= deadlines.finish_by;
        co_return make_reply(request, wire::not_run,
                             deadline_passed ? reason::deadline : reason::target_refused);
    }
    auto outcome = co_await exchange(conn, request, target.instance, deadlines, cancel);
    co_return std::move(outcome.reply);
}

asio::awaitable<target_connections::exchange_outcome>
target_connections::exchange(connection_pointer conn, const wire::forward_request& request,
                             std::string instance, exchange_deadlines deadlines,
                             std::shared_ptr<cancel_token> cancel) {
    exchange_outcome outcome;
    if (cancel->requested()) {
        outcome.reply = make_reply(request, wire::not_run, reason::caller_gone);
        co_return outcome;
    }
    // The connection may serve another request later, so cancellation may close it only during this call.
    auto active = std::make_shared<bool>(true);
    cancel->on_cancel([weak = std::weak_ptr<connection>(conn), active] {
        const auto open = weak.lock();
        if (open && *active) {
            open->stream.close();
        }
    });
    conn->stream.expires_at(deadlines.deadline);
    auto outgoing = std::make_shared<outgoing_request>();
    outgoing->message = make_target_request(request, instance, deadlines.finish_by - time_.now());
    outgoing->instance = instance;
    outgoing->sent_at = time_.now();
    // Written concurrently with reading: a target may respond before it has read a long body, and continue
    // reading later.
    http::async_write(conn->stream, outgoing->message,
                      [conn, outgoing](const boost::system::error_code& error, std::size_t) {
                          outgoing->written = !error;
                          outgoing->write_error = error;
                      });
    outcome = co_await await_response(conn, request, outgoing, deadlines.deadline);
    *active = false;
    if (outcome.reply.outcome() == wire::unknown && cancel->requested()) {
        outcome.reply.set_reason(std::string(reason_token(reason::caller_gone)));
    }
    co_return outcome;
}

asio::awaitable<target_connections::exchange_outcome>
target_connections::await_response(connection_pointer conn, const wire::forward_request& request,
                                   std::shared_ptr<outgoing_request> outgoing, steady_time deadline) {
    exchange_outcome outcome;
    beast::flat_buffer buffer(max_unparsed_bytes);
    byte_reservation memory(memory_);
    const response_limits limits{max_response_bytes_, deadline, &memory};
    const bool is_head_response = outgoing->message.method() == http::verb::head;
    int stray_responses = 0;
    while (true) {
        auto response = co_await receive_response(conn->stream, buffer, is_head_response, limits);
        if (response.error) {
            const reason why = receive_failure(response.error);
            outcome.reply = make_reply(request, wire::unknown, why);
            outcome.lost_without_response =
                why == reason::target_lost && !response.has_started && stray_responses == 0;
            conn->stream.close();
            co_return outcome;
        }
        if (!belongs_to(response.message, request)) {
            ++stray_responses;
            if (stray_responses <= max_stray_responses && !response.close_delimited) {
                continue;
            }
        }
        // A close-delimited response can't be told from a truncated one, unless the target always signals
        // truncation by a reset.
        const bool is_complete = !response.close_delimited || (protocol_.accepts_close_delimited_responses &&
                                                               !was_lost_before_close(outgoing->write_error));
        const bool usable =
            stray_responses <= max_stray_responses && belongs_to(response.message, request) && is_complete;
        if (usable && signal_action_) {
            auto signals = read_signals(response.message);
            signals.instance = outgoing->instance;
            signals.sent_at = outgoing->sent_at;
            signal_action_(signals);
        }
        if (usable && response.keep_alive && outgoing->written) {
            keep_idle(conn, response.message);
        } else {
            conn->stream.close();
        }
        outcome.reply = usable ? convert_response(request, std::move(response.message))
                               : make_reply(request, wire::unknown, reason::target_lost);
        co_return outcome;
    }
}

} // namespace dandelionmount
