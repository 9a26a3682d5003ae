#include "dandelionmount/connection/target_connection.h"

#include "dandelionmount/connection/response_receiver.h"
#include "dandelionmount/connection/peer_link.h"
#include "dandelionmount/connection/socket_options.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>

namespace dandelionmount {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

// Targets close idle connections after seconds; one used within this time is very likely still open.
constexpr duration idle_life = std::chrono::milliseconds(500);
// The same where the target says for how long it keeps a connection: that long but for this, and not longer
// than the limit, as targets may forget idle connections sooner.
constexpr duration keep_alive_margin = std::chrono::seconds(1);
constexpr duration most_keep_alive = std::chrono::seconds(4);
constexpr std::size_t most_idle = 64;
// Answers to earlier requests that are read over before a connection is given up.
constexpr int most_stray_answers = 2;
// A target that acknowledges nothing for this long is gone, though its connection looks open.
constexpr duration silence_limit = std::chrono::milliseconds(2500);
constexpr unsigned success = 200;
constexpr unsigned redirection = 300;

// Statuses by which callers are promised that a request has not run.
bool promises_not_run(unsigned status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

reason read_failure(const boost::system::error_code& error) {
    if (error == beast::error::timeout) {
        return reason::deadline;
    }
    return is_too_large(error) ? reason::target_answer_too_large : reason::target_lost;
}

bool has_header(const http_response& answer, const std::string& name) {
    return !name.empty() && answer.count(name) > 0;
}

// How long the connection may stay idle, by the answer that came on it.
duration idle_time(const http_response& answer) {
    const auto value = answer[http::field::keep_alive];
    const std::string_view text(value.data(), value.size());
    constexpr std::string_view name = "timeout=";
    const auto at = text.find(name);
    int seconds = 0;
    if (at == std::string_view::npos ||
        std::from_chars(text.data() + at + name.size(), text.data() + text.size(), seconds).ec !=
            std::errc()) {
        return idle_life;
    }
    return std::clamp<duration>(std::chrono::seconds(seconds) - keep_alive_margin, duration{0},
                                most_keep_alive);
}

} // namespace

target_connections::target_connections(asio::any_io_executor executor, const time_source& time,
                                       std::size_t most_answer_bytes, std::shared_ptr<byte_budget> memory,
                                       http_protocol protocol)
    : executor_(std::move(executor)), time_(time), most_answer_bytes_(most_answer_bytes),
      memory_(std::move(memory)), protocol_(std::move(protocol)) {}

http_request target_connections::make_target_request(const wire::forward_request& request,
                                                     std::string_view instance, duration left) const {
    http_request made{http::string_to_verb(request.method()), request.path(), 11};
    if (made.method() == http::verb::unknown) {
        made.method_string(request.method());
    }
    if (!protocol_.routes_by_host) {
        made.set(http::field::host, request.service());
    }
    for (const auto& header : request.headers()) {
        made.insert(header.name(), header.value());
    }
    if (!request.account().empty()) {
        made.set(protocol_.account_header, request.account());
    }
    if (!protocol_.caller_names_request) {
        made.set(protocol_.request_header, request.id());
    }
    if (!protocol_.instance_header.empty() && !instance.empty()) {
        made.set(protocol_.instance_header, beast::string_view(instance.data(), instance.size()));
    }
    made.set(protocol_.timeout_header, std::to_string(std::max(1U, to_milliseconds(left))));
    made.body() = request.body();
    made.prepare_payload();
    return made;
}

bool target_connections::belongs_to(const http_response& answer, const wire::forward_request& request) const {
    if (!protocol_.caller_names_request) {
        return true;
    }
    const auto named = answer[protocol_.request_header];
    return std::string_view(named.data(), named.size()) ==
           forwarded_header(request, protocol_.request_header);
}

wire::forward_reply target_connections::take_answer(const wire::forward_request& request,
                                                    http_response answer) const {
    const unsigned status = answer.result_int();
    if (has_header(answer, protocol_.not_run_header)) {
        return make_reply(request, wire::not_run, reason::target_shed);
    }
    if (!protocol_.instance_header.empty() && answer.result() == http::status::misdirected_request) {
        return make_reply(request, wire::not_run, reason::target_replaced);
    }
    const bool marks_answers = !protocol_.answer_mark_header.empty();
    const bool good = status >= success && status < redirection;
    const bool lacks_mark = marks_answers && !has_header(answer, protocol_.answer_mark_header);
    const bool encoded = marks_answers && answer.count(http::field::content_encoding) > 0;
    if (good && (lacks_mark || encoded)) {
        return make_reply(request, wire::unknown, reason::answer_not_whole);
    }
    // The caller would take such a status for the promise that nothing has run, which the target did not
    // give.
    if (!protocol_.not_run_header.empty() && promises_not_run(status)) {
        return make_reply(request, wire::unknown, reason::target_failed);
    }
    wire::forward_reply reply = make_reply(request, wire::ran, reason::none);
    reply.set_status(status);
    copy_response_headers(answer, reply, protocol_);
    reply.set_body(std::move(answer.body()));
    return reply;
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
    // Bytes or an end that came while nothing was asked belong to no request.
    return time_.now() < idle.usable_until && is_quiet(idle.stream.socket());
}

void target_connections::close_unusable() {
    std::erase_if(idle_, [this](const connection_pointer& idle) { return !is_usable(*idle); });
}

void target_connections::keep(const connection_pointer& conn, const http_response& answer) {
    if (idle_.size() >= most_idle) {
        return;
    }
    conn->stream.expires_never();
    conn->usable_until = time_.now() + idle_time(answer);
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
    detect_silence(conn->stream.socket(), silence_limit);
    co_return conn;
}

asio::awaitable<wire::forward_reply> target_connections::call(target_address target,
                                                              const wire::forward_request& request,
                                                              steady_time deadline,
                                                              std::shared_ptr<cancel_token> cancel) {
    // A target may close an idle connection just as a request is sent on it, and nobody could tell whether
    // the request ran: only requests that may run twice take that risk.
    connection_pointer conn = request.idempotent() ? take_idle() : nullptr;
    if (conn != nullptr) {
        const auto outcome = co_await run(conn, request, target.instance, deadline, cancel);
        if (!outcome.lost_unanswered || cancel->requested()) {
            co_return outcome.reply;
        }
        // The target had closed the idle connection.
    }
    conn = co_await connect(target.endpoint, deadline);
    if (conn == nullptr) {
        const bool late = time_.now() >= deadline;
        co_return make_reply(request, wire::not_run, late ? reason::deadline : reason::target_refused);
    }
    auto outcome = co_await run(conn, request, target.instance, deadline, cancel);
    co_return std::move(outcome.reply);
}

asio::awaitable<target_connections::exchange_outcome>
target_connections::run(connection_pointer conn, const wire::forward_request& request, std::string instance,
                        steady_time deadline, std::shared_ptr<cancel_token> cancel) {
    exchange_outcome outcome;
    if (cancel->requested()) {
        outcome.reply = make_reply(request, wire::not_run, reason::caller_gone);
        co_return outcome;
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
    auto sent = std::make_shared<sent_request>();
    sent->message = make_target_request(request, instance, deadline - time_.now());
    // Written beside the reading: a target may answer before it has read a long body, and reads on later.
    http::async_write(
        conn->stream, sent->message,
        [conn, sent](const boost::system::error_code& error, std::size_t) { sent->written = !error; });
    outcome = co_await exchange(conn, request, sent, deadline);
    *active = false;
    if (outcome.reply.outcome() == wire::unknown && cancel->requested()) {
        outcome.reply.set_reason(std::string(reason_token(reason::caller_gone)));
    }
    co_return outcome;
}

asio::awaitable<target_connections::exchange_outcome>
target_connections::exchange(connection_pointer conn, const wire::forward_request& request,
                             std::shared_ptr<sent_request> sent, steady_time deadline) {
    exchange_outcome outcome;
    beast::flat_buffer buffer(most_unparsed_bytes);
    byte_reservation memory(memory_);
    const response_limits limits{most_answer_bytes_, deadline, &memory};
    const bool answers_head = sent->message.method() == http::verb::head;
    int stray_answers = 0;
    while (true) {
        auto answer = co_await receive_response(conn->stream, buffer, answers_head, limits);
        if (answer.error) {
            const reason why = read_failure(answer.error);
            outcome.reply = make_reply(request, wire::unknown, why);
            outcome.lost_unanswered = why == reason::target_lost && !answer.began && stray_answers == 0;
            conn->stream.close();
            co_return outcome;
        }
        if (!belongs_to(answer.message, request)) {
            ++stray_answers;
            if (stray_answers <= most_stray_answers && !answer.unframed) {
                continue;
            }
        }
        const bool usable = stray_answers <= most_stray_answers && belongs_to(answer.message, request) &&
                            (!answer.unframed || protocol_.accepts_unframed_answers);
        if (usable && answer.keep_alive && sent->written) {
            keep(conn, answer.message);
        } else {
            conn->stream.close();
        }
        // An answer that ends with the connection can't be told from one that was cut short, unless the
        // target's answers always say so by a reset.
        outcome.reply = usable ? take_answer(request, std::move(answer.message))
                               : make_reply(request, wire::unknown, reason::target_lost);
        co_return outcome;
    }
}

} // namespace dandelionmount
