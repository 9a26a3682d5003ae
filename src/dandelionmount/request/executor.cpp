#include "dandelionmount/request/executor.h"

#include "dandelionmount/connection/peer_link.h"
#include "dandelionmount/process/logging.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace dandelionmount {

namespace asio = boost::asio;

namespace {

// A reply is kept for the sender to fetch on another connection; it asks within seconds.
constexpr duration reply_life = std::chrono::seconds(10);
// A frame of a lost connection can't arrive later than this.
constexpr duration bar_life = std::chrono::seconds(60);
// A waiting request is refused this long before its deadline, so that the refusal arrives in time to be told.
constexpr duration reply_margin = std::chrono::milliseconds(3);
constexpr duration least_return_time = std::chrono::milliseconds(500);
// A call that missed its deadline after this many times the usual time was kept waiting by the target.
constexpr int overdue_factor = 2;
constexpr std::uint32_t service_unavailable = 503;
constexpr std::uint32_t gateway_timeout = 504;
constexpr std::uint32_t too_many_requests = 429;
constexpr std::uint32_t server_errors = 500;

bool has_idempotency_key(const wire::forward_request& request) {
    return std::any_of(request.headers().begin(), request.headers().end(), [](const auto& header) {
        return boost::beast::iequals(
            header.name(), boost::beast::string_view(idempotency_header.data(), idempotency_header.size()));
    });
}

// A request that runs once for all repeats of its key goes on when its first caller is gone.
bool outlives_caller(const wire::forward_request& request) {
    return !request.idempotent() && has_idempotency_key(request);
}

// Each request is demand once, however many attempts it needs.
double demand_weight(const wire::forward_request& request) {
    if (request.attempt() > 1) {
        return 0;
    }
    return request.weight() > 0 ? request.weight() : 1;
}

void send_reply(const execution& one) {
    const auto stream = one.stream.lock();
    if (stream && one.reply) {
        wire::peer_frame frame;
        *frame.mutable_forward_reply() = *one.reply;
        stream->send(frame);
    }
}

// Share of late runs from which a route counts as hopeless: well above what an overload leaves late, and
// below all, as chance lets some requests end.
constexpr double least_overdue = 0.7;
// Of a hopeless route one request in so many runs: a few a second at usual rates, enough to see the end of
// it.
constexpr std::uint64_t attempts_per_probe = 10;

// What the end of a call says of the target's speed.
run_result result_of(const wire::forward_reply& reply) {
    const reason why = reason_from_token(reply.reason());
    const bool ran = reply.outcome() == wire::ran;
    if (why == reason::deadline || (ran && reply.status() == gateway_timeout)) {
        return run_result::timed_out;
    }
    if (ran) {
        return reply.status() < server_errors ? run_result::answered : run_result::failed;
    }
    return why == reason::caller_gone ? run_result::cancelled : run_result::failed;
}

} // namespace

executor::executor(executor_context context) : context_(std::move(context)) {}

void executor::accept(const wire::forward_request& request, std::shared_ptr<frame_stream> stream) {
    const std::string key = forward_key(request.id(), request.attempt());
    const auto deadline = context_.time.now() + std::chrono::milliseconds(request.remaining_ms());
    if (executions_.contains(key)) {
        return;
    }
    auto one = std::make_shared<execution>(context_.executor, request, deadline);
    one->stream = stream;
    executions_[key] = one;
    if (barred_.contains(key) || active_.contains(request.id())) {
        const reason why = barred_.contains(key) ? reason::peer_lost : reason::already_running;
        one->now = execution::phase::finished;
        one->finished = context_.time.now();
        one->reply = refuse(*one, why);
        send_reply(*one);
        return;
    }
    active_[request.id()] = one;
    asio::co_spawn(context_.executor, run_and_reply(one), asio::detached);
}

asio::awaitable<wire::forward_reply> executor::run_local(wire::forward_request request, steady_time deadline,
                                                         std::shared_ptr<cancel_token> cancel) {
    auto one = std::make_shared<execution>(context_.executor, std::move(request), deadline);
    if (active_.contains(one->request.id())) {
        co_return refuse(*one, reason::already_running);
    }
    if (cancel->requested()) {
        co_return refuse(*one, reason::caller_gone);
    }
    active_[one->request.id()] = one;
    executions_[forward_key(one->request.id(), one->request.attempt())] = one;
    cancel->on_request([this, id = one->request.id(), attempt = one->request.attempt()] {
        wire::cancel_request named;
        named.set_id(id);
        named.set_attempt(attempt);
        this->cancel(named);
    });
    auto reply = co_await run_and_reply(one);
    executions_.erase(forward_key(one->request.id(), one->request.attempt()));
    co_return reply;
}

asio::awaitable<wire::forward_reply> executor::run_and_reply(execution_pointer one) {
    auto outcome = co_await run(one);
    auto reply = finish(one, std::move(outcome));
    send_reply(*one);
    co_return reply;
}

wire::forward_reply executor::finish(const execution_pointer& one, wire::forward_reply reply) {
    reply.set_allowance_left(one->allowance.left());
    *reply.mutable_load() = context_.target.load();
    if (context_.pressure != nullptr) {
        add_load(*context_.pressure, *reply.mutable_load());
        reply.set_demand_ratio(
            downstream_pressure(*context_.pressure, one->request.route(), context_.time.now()));
    } else {
        const double ratio = context_.target.demand_ratio(one->request.priority(), one->request.account());
        reply.set_demand_ratio(std::max(ratio, one->downstream_ratio));
    }
    one->reply = reply;
    one->now = execution::phase::finished;
    one->finished = context_.time.now();
    active_.erase(one->request.id());
    return reply;
}

reason executor::check_request(const execution& one) const {
    if (!one.request.open() &&
        context_.configuration.is_outdated(one.request.key_id(), one.request.configuration_version())) {
        return reason::withdrawn_key;
    }
    if (context_.target.is_ready_for(one.request.service())) {
        return reason::none;
    }
    const auto& announced = context_.target.announced();
    const bool leaving =
        announced.service == one.request.service() && announced.state == wire::target_draining;
    return leaving ? reason::target_draining : reason::no_target;
}

wire::forward_reply executor::refuse(const execution& one, reason why) const {
    auto reply = make_reply(one.request, wire::not_run, why);
    const duration back = retry_delay(context_.target.limiter(), least_return_time);
    reply.set_retry_after_ms(to_milliseconds(back));
    return reply;
}

asio::awaitable<wire::forward_reply> executor::run(execution_pointer one) {
    if (draining_) {
        co_return refuse(*one, reason::host_stopping);
    }
    const reason refused = check_request(*one);
    if (refused != reason::none) {
        co_return refuse(*one, refused);
    }
    bool started = false;
    auto reply = co_await wait_for_start(one, started);
    if (!started) {
        co_return reply;
    }
    const reason late_refusal = check_request(*one);
    if (late_refusal != reason::none || one->cancel->requested()) {
        cancel_start(context_.target.limiter());
        start_waiting();
        const reason why = late_refusal == reason::none ? reason::caller_gone : late_refusal;
        co_return refuse(*one, why);
    }
    auto answer = co_await run_at_target(one);
    co_return answer;
}

// Whether hardly any request of the route ends in time at this target, so that running it would only take a
// place from others. One in ten still runs, which shows when that is over.
bool executor::is_hopeless(std::string_view route, steady_time now) {
    if (timeout_share(context_.target.speed(), route, now) < least_overdue) {
        return false;
    }
    return ++hopeless_attempts_ % attempts_per_probe != 0;
}

// Passes the target's guard: at once, after a wait in the queue, or not at all.
asio::awaitable<wire::forward_reply> executor::wait_for_start(execution_pointer one, bool& started) {
    auto& limiter = context_.target.limiter();
    const auto now = context_.time.now();
    if (is_hopeless(one->request.route(), now)) {
        co_return refuse(*one, reason::cannot_finish);
    }
    one->ticket = next_ticket_++;
    queued_request request;
    request.ticket = one->ticket;
    request.priority = one->request.priority();
    request.account = one->request.account();
    request.arrived = now;
    request.start_by = one->deadline - reply_margin;
    request.weight = demand_weight(one->request);
    request.is_call = one->request.is_call();
    const auto decision = decide_arrival(limiter, request, one->deadline, now);
    if (context_.pressure != nullptr) {
        record_arrival(*context_.pressure, one->request.route(), request.weight);
        update_pressure(*context_.pressure, limiter, now);
    }
    update_demands(limiter, now);
    if (decision.evicted) {
        take_out(decision.evicted->ticket, reason::overload);
    }
    if (decision.what == arrival_decision::action::refuse) {
        co_return refuse(*one, decision.why);
    }
    if (decision.what == arrival_decision::action::queue) {
        waiting_[one->ticket] = one;
        const bool changed = co_await one->changed.wait_until(request.start_by);
        waiting_.erase(one->ticket);
        if (!changed && remove_request(limiter.queue, one->ticket)) {
            co_return refuse(*one, reason::expired_in_queue);
        }
        if (one->taken_out != reason::none) {
            co_return refuse(*one, one->taken_out);
        }
    }
    started = true;
    co_return wire::forward_reply{};
}

asio::awaitable<wire::forward_reply> executor::run_at_target(execution_pointer one) {
    one->now = execution::phase::running;
    context_.counters.count(event::target_calls);
    const auto began = context_.time.now();
    if (context_.pressure != nullptr) {
        record_start(*context_.pressure, one->request.route());
    }
    record_run_start(context_.target.speed(), one->request.route(), began);
    const auto& announced = context_.target.announced();
    const target_address target{{context_.target_ip, announced.port}, announced.instance};
    auto reply =
        co_await context_.connections.call(target, one->request, one->deadline - reply_margin, one->cancel);
    const auto took = context_.time.now() - began;
    context_.counters.target_time().add(took);
    note_call_end(reply, took);
    if (context_.pressure != nullptr) {
        record_end(*context_.pressure, one->request.route(), took);
    }
    record_run_end(context_.target.speed(), one->request.route(), took, result_of(reply),
                   context_.time.now());
    start_waiting();
    co_return reply;
}

void executor::note_call_end(const wire::forward_reply& reply, duration took) {
    auto& limiter = context_.target.limiter();
    const auto now = context_.time.now();
    const reason why = reason_from_token(reply.reason());
    const bool ran = reply.outcome() == wire::ran;
    const bool shed = why == reason::target_shed ||
                      (ran && (reply.status() == service_unavailable || reply.status() == too_many_requests));
    // A deadline that was short from the start says nothing about the target.
    const bool late = why == reason::deadline && took > overdue_factor * limiter.baseline_time;
    if (shed) {
        apply_limit_decision(decide_on_rejection(context_.target.trial_of_rejections(), limiter.limit, now),
                             took, now);
    } else if (late) {
        apply_limit_decision(decide_on_timeout(context_.target.trial_of_timeouts(), limiter.limit,
                                               context_.target.speed(), now),
                             took, now);
    } else if (ran && reply.status() < server_errors) {
        record_answered(context_.target.trial_of_rejections());
        record_end(limiter, call_end::answered, took, now);
    } else if (ran || why == reason::deadline || why == reason::caller_gone) {
        // Says nothing about what the target can do.
        cancel_start(limiter);
    } else {
        record_end(limiter, call_end::failed, took, now);
    }
}

void executor::apply_limit_decision(const limit_decision& decision, duration took, steady_time now) {
    auto& limiter = context_.target.limiter();
    if (decision.what == limit_action::restore) {
        log_event(log_level::info, "limit restored",
                  {{"limit", std::to_string(limiter.limit)}, {"restored", std::to_string(decision.limit)}});
    }
    dandelionmount::apply_limit_decision(limiter, decision, took, now);
}

void executor::start_waiting() {
    auto& limiter = context_.target.limiter();
    while (true) {
        const auto next = start_next(limiter);
        if (!next) {
            return;
        }
        const auto found = waiting_.find(next->ticket);
        DANDELIONMOUNT_INVARIANT(found != waiting_.end());
        found->second->now = execution::phase::running;
        found->second->changed.set();
        waiting_.erase(found);
    }
}

void executor::take_out(std::uint64_t ticket, reason why) {
    const auto found = waiting_.find(ticket);
    if (found != waiting_.end()) {
        found->second->taken_out = why;
        found->second->changed.set();
    }
}

void executor::cancel(const wire::cancel_request& cancel) {
    const auto found = executions_.find(forward_key(cancel.id(), cancel.attempt()));
    if (found == executions_.end() || found->second->now == execution::phase::finished) {
        return;
    }
    const execution_pointer one = found->second;
    if (one->now == execution::phase::waiting) {
        one->cancel->request();
        if (remove_request(context_.target.limiter().queue, one->ticket)) {
            take_out(one->ticket, reason::caller_gone);
        }
    } else if (!outlives_caller(one->request)) {
        one->cancel->request();
    }
}

void executor::settle(const wire::settle_request& question, std::shared_ptr<frame_stream> stream) {
    const std::string key = forward_key(question.id(), question.attempt());
    wire::peer_frame frame;
    auto* reply = frame.mutable_settle_reply();
    reply->set_id(question.id());
    reply->set_attempt(question.attempt());
    const auto found = executions_.find(key);
    if (found == executions_.end()) {
        const auto barred = barred_.find(key);
        const bool was_here = barred != barred_.end() && barred->second.seen;
        reply->set_state(was_here ? wire::settle_unknown : wire::settle_not_seen);
        bar(key, context_.time.now(), was_here);
        stream->send(frame);
        return;
    }
    const execution_pointer one = found->second;
    one->stream = stream;
    const bool finished = one->now == execution::phase::finished;
    reply->set_state(finished ? wire::settle_finished : wire::settle_running);
    stream->send(frame);
    if (finished) {
        send_reply(*one);
    }
}

bool executor::handle_attempt_frame(const wire::peer_frame& frame,
                                    const std::shared_ptr<frame_stream>& stream) {
    switch (frame.body_case()) {
    case wire::peer_frame::kForwardRequest:
        accept(frame.forward_request(), stream);
        return true;
    case wire::peer_frame::kCancelRequest:
        cancel(frame.cancel_request());
        return true;
    case wire::peer_frame::kSettleRequest:
        settle(frame.settle_request(), stream);
        return true;
    case wire::peer_frame::kReplyAck:
        acknowledge(frame.reply_ack());
        return true;
    default:
        return false;
    }
}

void executor::acknowledge(const wire::reply_ack& ack) {
    const auto found = executions_.find(forward_key(ack.id(), ack.attempt()));
    if (found != executions_.end() && found->second->now == execution::phase::finished) {
        // The attempt must not run again should its frame arrive a second time.
        bar(found->first, found->second->deadline, true);
        executions_.erase(found);
    }
}

executor::execution_pointer executor::find_running(std::string_view id) const {
    const auto found = active_.find(id);
    const bool running = found != active_.end() && found->second->now == execution::phase::running;
    return running ? found->second : nullptr;
}

// A sender asks what became of an attempt before the attempt's deadline, and never later.
void executor::bar(const std::string& key, steady_time deadline, bool seen) {
    barred_[key] = {std::max(deadline, context_.time.now()) + bar_life, seen};
}

void executor::remove_expired() {
    const auto now = context_.time.now();
    std::erase_if(executions_, [this, now](const auto& entry) {
        const bool old =
            entry.second->now == execution::phase::finished && now - entry.second->finished > reply_life;
        if (old) {
            bar(entry.first, entry.second->deadline, true);
        }
        return old;
    });
    std::erase_if(barred_, [now](const auto& entry) { return now > entry.second.until; });
}

} // namespace dandelionmount
