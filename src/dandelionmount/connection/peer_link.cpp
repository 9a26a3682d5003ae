#include "dandelionmount/connection/peer_link.h"

#include "dandelionmount/connection/address.h"
#include "dandelionmount/process/logging.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace dandelionmount {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr duration connect_timeout = std::chrono::milliseconds(500);
// How long to try to settle the outcome of a request after its connection was lost.
constexpr duration settle_timeout = std::chrono::milliseconds(2500);
constexpr duration settle_reply_timeout = std::chrono::milliseconds(700);
// How long the reply to an attempt that was cancelled at its deadline is waited for.
constexpr duration cancel_reply_timeout = std::chrono::milliseconds(50);
constexpr duration reconnect_delay = std::chrono::milliseconds(20);
// Backoff between attempts to connect in the background; it doubles from the minimum to the maximum.
constexpr duration min_reconnect_backoff = std::chrono::milliseconds(100);
constexpr duration max_reconnect_backoff = std::chrono::seconds(2);

std::string reply_key_of(const wire::peer_frame& frame) {
    switch (frame.body_case()) {
    case wire::peer_frame::kForwardReply:
        return forward_key(frame.forward_reply().id(), frame.forward_reply().attempt());
    case wire::peer_frame::kSettleReply:
        return settle_key(frame.settle_reply().id(), frame.settle_reply().attempt());
    case wire::peer_frame::kTokenReply:
        return token_key(frame.token_reply().grant_id());
    case wire::peer_frame::kClaimReply:
        return call_key(frame.claim_reply().call());
    case wire::peer_frame::kClaimCopyReply:
        return call_key(frame.claim_copy_reply().call());
    case wire::peer_frame::kStateReply:
        return call_key(frame.state_reply().call());
    case wire::peer_frame::kRateGrants:
        return call_key(frame.rate_grants().call());
    case wire::peer_frame::kTopicReply:
        return call_key(frame.topic_reply().call());
    default:
        return {};
    }
}

unsettled_attempt identify(const wire::forward_request& request, std::uint64_t incarnation) {
    unsettled_attempt attempt;
    attempt.request.set_id(request.id());
    attempt.request.set_attempt(request.attempt());
    attempt.incarnation = incarnation;
    return attempt;
}

} // namespace

std::string forward_key(std::string_view id, std::uint32_t attempt) {
    return "f" + std::string(id) + "." + std::to_string(attempt);
}

std::string settle_key(std::string_view id, std::uint32_t attempt) {
    return "s" + std::string(id) + "." + std::to_string(attempt);
}

std::string token_key(std::uint64_t grant_id) {
    return "t" + std::to_string(grant_id);
}

std::string call_key(std::uint64_t call) {
    return "c" + std::to_string(call);
}

wire::forward_reply make_reply(const wire::forward_request& request, wire::forward_outcome outcome,
                               reason why) {
    wire::forward_reply reply;
    reply.set_id(request.id());
    reply.set_attempt(request.attempt());
    reply.set_outcome(outcome);
    reply.set_reason(std::string(reason_token(why)));
    return reply;
}

peer_link::peer_link(peer_link_context context, std::string host, std::string address)
    : context_(std::move(context)), host_(std::move(host)), address_(std::move(address)),
      connect_done_(context_.executor) {}

void peer_link::send_crash_report(const wire::crash_report& report) {
    if (is_connected()) {
        wire::peer_frame frame = make_heartbeat(0);
        *frame.mutable_heartbeat()->mutable_crashes() = report;
        connection_->stream().send(frame);
    }
}

// Until when callers can be answered.
steady_time peer_link::latest_answer_time() const {
    return context_.stop == nullptr ? steady_time::max() : latest_run_end(*context_.stop);
}

void peer_link::announce_stop() {
    if (is_connected() && context_.stop != nullptr && is_stopping(*context_.stop)) {
        connection_->stream().send(make_stop_notice(context_.stop->process_end - context_.time.now()));
    }
}

void peer_link::keep_connected() {
    const auto now = context_.time.now();
    if (stopped_ || connecting_ || is_connected() || now < next_connect_at_) {
        return;
    }
    reconnect_backoff_ = std::clamp(reconnect_backoff_ * 2, min_reconnect_backoff, max_reconnect_backoff);
    next_connect_at_ = now + reconnect_backoff_;
    start_connecting();
}

void peer_link::stop() {
    stopped_ = true;
    if (connection_) {
        connection_->close();
    }
}

void peer_link::retire() {
    stopped_ = true;
    if (context_.on_reachability) {
        context_.on_reachability(host_, false);
    }
    close_if_retired();
}

void peer_link::close_if_retired() {
    if (stopped_ && pending_.empty() && connection_) {
        connection_->close();
    }
}

asio::awaitable<peer_link::connect_outcome> peer_link::wait_connected(steady_time deadline) {
    auto self = shared_from_this();
    while (!stopped_) {
        if (is_connected()) {
            co_return connect_outcome::connected;
        }
        start_connecting();
        const bool done = co_await connect_done_.wait_until(deadline);
        if (is_connected()) {
            co_return connect_outcome::connected;
        }
        if (done && refused_) {
            co_return connect_outcome::refused;
        }
        if (context_.time.now() + reconnect_delay >= deadline) {
            break;
        }
        co_await sleep_for(context_.executor, reconnect_delay);
    }
    co_return connect_outcome::timed_out;
}

void peer_link::start_connecting() {
    if (connecting_) {
        return;
    }
    connecting_ = true;
    connect_done_.reset();
    asio::co_spawn(
        context_.executor, [self = shared_from_this()] { return self->connect_and_read(); }, asio::detached);
}

// Task of one connection, from opening to end.
asio::awaitable<void> peer_link::connect_and_read() {
    const bool opened = co_await open_connection();
    connecting_ = false;
    connect_done_.set();
    report_reachable(opened);
    if (!opened) {
        co_return;
    }
    announce_stop();
    send_delayed_cancels();
    close_if_retired();
    reconnect_backoff_ = duration{0};
    const auto connection = connection_;
    asio::co_spawn(
        context_.executor,
        [self = shared_from_this(), connection] {
            return connection->send_heartbeats([self] { return !self->pending_.empty(); });
        },
        asio::detached);
    co_await read_frames(connection);
    connection_ended(connection);
}

asio::awaitable<bool> peer_link::open_connection() {
    refused_ = false;
    const auto address = parse_address(address_);
    if (!address) {
        co_return false;
    }
    auto socket = std::make_shared<tcp::socket>(context_.executor);
    asio::steady_timer limit(context_.executor, connect_timeout);
    limit.async_wait([socket](const boost::system::error_code& error) {
        if (!error) {
            boost::system::error_code ignored;
            socket->close(ignored);
        }
    });
    auto [error] = co_await socket->async_connect(tcp::endpoint(address->ip, address->port), as_result);
    limit.cancel();
    if (error) {
        refused_ = error == asio::error::connection_refused;
        co_return false;
    }
    socket->set_option(tcp::no_delay(true), error);
    auto stream = std::make_shared<frame_stream>(std::move(*socket));
    const auto peer = co_await connect_handshake(*stream, context_.self);
    // A link opened by address alone has the address in place of the host's name. It accepts whichever host
    // answers, and does not keep that host's name.
    const bool expected = peer && (host_ == address_ || peer.value().host == host_);
    if (!expected) {
        const std::string cause =
            peer ? "a different host answered: " + peer.value().host : peer.error().message;
        log_event(log_level::warning, "peer handshake failed", {{"host", host_}, {"cause", cause}});
        stream->close();
        co_return false;
    }
    if (connection_) {
        connection_ended(connection_);
    }
    connection_ =
        std::make_shared<peer_connection>(context_.executor, context_.time, stream, peer.value().incarnation);
    co_return true;
}

asio::awaitable<void> peer_link::read_frames(std::shared_ptr<peer_connection> connection) {
    while (true) {
        auto frame = co_await connection->read();
        if (!frame) {
            co_return;
        }
        handle_frame(std::move(frame.value()));
    }
}

void peer_link::handle_frame(wire::peer_frame frame) {
    const auto found = pending_.find(reply_key_of(frame));
    if (found == pending_.end()) {
        return;
    }
    found->second->reply = std::move(frame);
    found->second->changed.set();
}

// Once this link is retired, the host's next link reports its reachability.
void peer_link::report_reachable(bool reachable) const {
    if (context_.on_reachability && !stopped_) {
        context_.on_reachability(host_, reachable);
    }
}

void peer_link::log_loss(const peer_connection& lost) const {
    log_event(log_level::info, "peer connection lost",
              {{"host", host_},
               {"cause", stopped_           ? "stopped"
                         : lost.is_silent() ? "silence"
                                            : "closed"},
               {"heard_ms", std::to_string(to_milliseconds(lost.time_since_received()))},
               {"waiting", std::to_string(pending_.size())}});
}

void peer_link::log_settlement(const wire::forward_request& request, settle_outcome outcome,
                               duration took) const {
    const std::string_view found = outcome == settle_outcome::not_run   ? "not-run"
                                   : outcome == settle_outcome::pending ? "pending"
                                                                        : "unknown";
    log_event(log_level::info, "settling finished",
              {{"id", request.id()},
               {"host", host_},
               {"outcome", std::string(found)},
               {"took_ms", std::to_string(to_milliseconds(took))}});
}

// Requests on a connection that was replaced have been told when it was.
void peer_link::connection_ended(const std::shared_ptr<peer_connection>& ended) {
    if (connection_ != ended) {
        return;
    }
    log_loss(*ended);
    ended->close();
    connection_.reset();
    report_reachable(false);
    const auto pending = pending_;
    for (const auto& [key, entry] : pending) {
        entry->connection_lost = true;
        entry->changed.set();
    }
}

peer_link::pending_pointer peer_link::add_pending(const std::string& key) {
    auto pending = std::make_shared<pending_reply>(context_.executor);
    pending_[key] = pending;
    if (connection_) {
        connection_->expect_reply();
    }
    return pending;
}

asio::awaitable<std::optional<wire::peer_frame>>
peer_link::call(wire::peer_frame frame, std::string reply_key, steady_time deadline) {
    auto self = shared_from_this();
    const auto connected = co_await wait_connected(deadline);
    if (connected != connect_outcome::connected) {
        co_return std::nullopt;
    }
    const auto pending = add_pending(reply_key);
    connection_->stream().send(frame);
    co_await pending->changed.wait_until(deadline);
    const auto found = pending_.find(reply_key);
    if (found != pending_.end() && found->second == pending) {
        pending_.erase(found);
    }
    close_if_retired();
    co_return std::move(pending->reply);
}

asio::awaitable<forward_result> peer_link::forward(wire::forward_request request, steady_time deadline,
                                                   std::shared_ptr<cancel_token> cancel) {
    auto self = shared_from_this();
    const auto connect_deadline =
        std::min({deadline, context_.time.now() + connect_timeout, latest_answer_time()});
    const auto connected = co_await wait_connected(connect_deadline);
    if (connected != connect_outcome::connected || cancel->requested()) {
        const reason why = cancel->requested() ? reason::caller_gone : reason::peer_unreachable;
        co_return forward_result{make_reply(request, wire::not_run, why), std::nullopt};
    }
    cancel->on_cancel([weak = weak_from_this(), id = request.id(), attempt = request.attempt()] {
        if (const auto link = weak.lock()) {
            wire::forward_request cancelled;
            cancelled.set_id(id);
            cancelled.set_attempt(attempt);
            link->send_cancel(cancelled);
        }
    });
    const std::uint64_t incarnation = connection_->incarnation();
    const auto pending = add_pending(forward_key(request.id(), request.attempt()));
    wire::peer_frame frame;
    *frame.mutable_forward_request() = request;
    connection_->stream().send(frame);
    const bool may_be_retried = request.idempotent() && context_.idempotent_settle_timeout;
    const duration settle_limit = may_be_retried ? *context_.idempotent_settle_timeout : settle_timeout;
    auto result = co_await await_reply(request, incarnation, pending, settle_limit, deadline, cancel);
    if (!may_be_retried) {
        result.unsettled.reset();
    }
    co_return result;
}

asio::awaitable<wire::forward_reply> peer_link::resume(unsettled_attempt attempt, steady_time deadline,
                                                       std::shared_ptr<cancel_token> cancel) {
    auto self = shared_from_this();
    const auto pending = add_pending(forward_key(attempt.request.id(), attempt.request.attempt()));
    pending->connection_lost = true;
    pending->changed.set();
    auto result =
        co_await await_reply(attempt.request, attempt.incarnation, pending, settle_timeout, deadline, cancel);
    if (result.unsettled) {
        abandon(*result.unsettled, deadline);
    }
    co_return std::move(result.reply);
}

// Waits for the reply to an attempt. An attempt whose connection is lost is settled for at most the limit.
asio::awaitable<forward_result> peer_link::await_reply(const wire::forward_request& request,
                                                       std::uint64_t incarnation, pending_pointer pending,
                                                       duration settle_limit, steady_time deadline,
                                                       std::shared_ptr<cancel_token> cancel) {
    const std::string key = forward_key(request.id(), request.attempt());
    forward_result result;
    while (true) {
        const bool changed = co_await pending->changed.wait_until(deadline);
        if (const auto arrived = pending->reply) {
            send_ack(arrived->forward_reply());
            result.reply = arrived->forward_reply();
            break;
        }
        if (!changed) {
            auto last = co_await cancel_at_deadline(request, pending);
            result.reply = std::move(last);
            break;
        }
        if (!context_.settles) {
            result.reply = make_reply(request, wire::unknown, reason::peer_lost);
            break;
        }
        // Registered before settling, as the reply to the request may directly follow the settle reply.
        pending = add_pending(key);
        const auto settle_started_at = context_.time.now();
        const auto settle_deadline =
            std::min({deadline, settle_started_at + settle_limit, latest_answer_time()});
        const auto settled = co_await settle(request, incarnation, settle_deadline);
        log_settlement(request, settled, context_.time.now() - settle_started_at);
        if (settled == settle_outcome::not_run) {
            context_.counters.count(event::settle_proved);
            result.reply = make_reply(request, wire::not_run, reason::peer_lost);
            break;
        }
        // A cancellation that was sent before may have been lost with the connection.
        if (cancel->requested()) {
            send_or_delay_cancel(request, deadline);
        }
        if (settled == settle_outcome::unknown) {
            const bool deadline_passed = context_.time.now() >= deadline;
            result.reply =
                make_reply(request, wire::unknown, deadline_passed ? reason::deadline : reason::peer_lost);
            result.unsettled = identify(request, incarnation);
            break;
        }
    }
    pending_.erase(key);
    close_if_retired();
    co_return result;
}

// Cancels an attempt at its deadline and waits briefly for what became of it: one that still waited for its
// target has not run, which lets callers send it again.
asio::awaitable<wire::forward_reply> peer_link::cancel_at_deadline(const wire::forward_request& request,
                                                                   pending_pointer pending) {
    send_cancel(request);
    const bool changed = co_await pending->changed.wait_until(context_.time.now() + cancel_reply_timeout);
    if (!changed || !pending->reply) {
        co_return make_reply(request, wire::unknown, reason::deadline);
    }
    auto reply = pending->reply->forward_reply();
    send_ack(reply);
    if (reason_from_token(reply.reason()) == reason::caller_gone) {
        reply.set_reason(std::string(reason_token(reason::deadline)));
    }
    co_return reply;
}

// Finds out on a new connection whether a request ran whose connection was lost.
asio::awaitable<peer_link::settle_outcome>
peer_link::settle(const wire::forward_request& request, std::uint64_t incarnation, steady_time deadline) {
    while (context_.time.now() < deadline) {
        const auto connected = co_await wait_connected(deadline);
        if (connected != connect_outcome::connected || connection_->incarnation() != incarnation) {
            // No process listens any more, none is reached in time, or another one listens: what the process
            // that received the request did can't be learned.
            co_return settle_outcome::unknown;
        }
        context_.counters.count(event::settle_questions);
        wire::peer_frame frame;
        frame.mutable_settle_request()->set_id(request.id());
        frame.mutable_settle_request()->set_attempt(request.attempt());
        const auto reply_deadline = std::min(deadline, context_.time.now() + settle_reply_timeout);
        const auto reply = co_await call(frame, settle_key(request.id(), request.attempt()), reply_deadline);
        if (!reply) {
            continue;
        }
        switch (reply->settle_reply().state()) {
        case wire::settle_not_seen:
            co_return settle_outcome::not_run;
        case wire::settle_running:
        case wire::settle_finished:
            co_return settle_outcome::pending;
        default:
            co_return settle_outcome::unknown;
        }
    }
    co_return settle_outcome::unknown;
}

void peer_link::send_cancel(const wire::forward_request& request) {
    if (connection_) {
        context_.counters.count(event::cancels);
        wire::peer_frame frame;
        frame.mutable_cancel_request()->set_id(request.id());
        frame.mutable_cancel_request()->set_attempt(request.attempt());
        connection_->stream().send(frame);
    }
}

void peer_link::send_or_delay_cancel(const wire::forward_request& request, steady_time deadline) {
    if (is_connected()) {
        send_cancel(request);
    } else {
        cancel_when_connected(request, deadline);
    }
}

void peer_link::cancel_when_connected(const wire::forward_request& request, steady_time deadline) {
    const auto now = context_.time.now();
    std::erase_if(delayed_cancels_, [now](const delayed_cancel& entry) { return entry.deadline <= now; });
    delayed_cancel entry;
    entry.message.set_id(request.id());
    entry.message.set_attempt(request.attempt());
    entry.deadline = deadline;
    delayed_cancels_.push_back(std::move(entry));
}

void peer_link::send_delayed_cancels() {
    const auto now = context_.time.now();
    for (const auto& entry : delayed_cancels_) {
        if (entry.deadline > now) {
            context_.counters.count(event::cancels);
            wire::peer_frame frame;
            *frame.mutable_cancel_request() = entry.message;
            connection_->stream().send(frame);
        }
    }
    delayed_cancels_.clear();
}

void peer_link::send_ack(const wire::forward_reply& reply) {
    if (connection_) {
        wire::peer_frame frame;
        frame.mutable_reply_ack()->set_id(reply.id());
        frame.mutable_reply_ack()->set_attempt(reply.attempt());
        // Nothing waits for the acknowledgement, so it is sent together with the next frame.
        connection_->stream().send_with_next(frame);
    }
}

} // namespace dandelionmount
