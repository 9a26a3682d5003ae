#include "dandelionmount/request/executor.h"

#include "dandelionmount/connection/peer_link.h"
#include "dandelionmount/process/logging.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <vector>

namespace dandelionmount {

namespace asio = boost::asio;

namespace {

// A sender that lost its connection fetches the reply over another one within seconds.
constexpr duration reply_ttl = std::chrono::seconds(10);
// A frame of a lost connection can't arrive later than this.
constexpr duration tombstone_ttl = std::chrono::seconds(60);
// A queued request is refused, and a call at the target ended, this long before the deadline, so that the
// reply arrives in time.
constexpr duration reply_margin = std::chrono::milliseconds(3);
constexpr duration min_retry_after = std::chrono::milliseconds(500);
// A call that missed its deadline was delayed by the target if it took more than this multiple of the
// baseline time.
constexpr int min_timeout_multiple = 2;
// How long the run of an idempotent request goes on after the connection that brought it is lost: its sender
// connects again in that time if it can.
constexpr duration orphan_grace = std::chrono::seconds(1);
constexpr std::uint32_t service_unavailable = 503;
constexpr std::uint32_t gateway_timeout = 504;
constexpr std::uint32_t too_many_requests = 429;
constexpr std::uint32_t first_server_error = 500;

bool has_idempotency_key(const wire::forward_request& request) {
    return std::any_of(request.headers().begin(), request.headers().end(), [](const auto& header) {
        return boost::beast::iequals(
            header.name(), boost::beast::string_view(idempotency_header.data(), idempotency_header.size()));
    });
}

// A request that runs once for all repeats of its idempotency key continues when its first caller is gone.
bool outlives_caller(const wire::forward_request& request) {
    return !request.idempotent() && has_idempotency_key(request);
}

// Each request counts as demand once: further attempts have weight 0.
double demand_weight(const wire::forward_request& request) {
    if (request.attempt() > 1) {
        return 0;
    }
    return request.weight() > 0 ? request.weight() : 1;
}

void send_reply(const execution& attempt) {
    const auto stream = attempt.stream.lock();
    if (stream && attempt.reply) {
        wire::peer_frame frame;
        *frame.mutable_forward_reply() = *attempt.reply;
        stream->send(frame);
    }
}

// Share of timed-out runs from which a route's circuit breaker is open: well above the share in an overload,
// and below 1, as some requests end in time by chance.
constexpr double open_circuit_timeout_share = 0.7;
// While a route's circuit breaker is open, one in this many requests runs: a few a second at usual rates,
// enough to detect recovery.
constexpr std::uint64_t requests_per_probe = 10;

// Classifies the end of a call for the target's speed statistics.
run_result run_result_of(const wire::forward_reply& reply) {
    const reason why = reason_from_token(reply.reason());
    const bool ran = reply.outcome() == wire::ran;
    if (why == reason::deadline || (ran && reply.status() == gateway_timeout)) {
        return run_result::timed_out;
    }
    if (ran) {
        return reply.status() < first_server_error ? run_result::answered : run_result::failed;
    }
    return why == reason::caller_gone ? run_result::cancelled : run_result::failed;
}

} // namespace

executor::executor(executor_context context) : context_(std::move(context)), next_token_(context_.executor) {}

void executor::accept(const wire::forward_request& request, std::shared_ptr<frame_stream> stream) {
    const std::string key = forward_key(request.id(), request.attempt());
    const auto deadline = context_.time.now() + std::chrono::milliseconds(request.remaining_ms());
    if (executions_.contains(key)) {
        return;
    }
    auto attempt = std::make_shared<execution>(context_.executor, request, deadline);
    attempt->stream = stream;
    executions_[key] = attempt;
    if (tombstones_.contains(key) || active_.contains(request.id())) {
        const reason why = tombstones_.contains(key) ? reason::peer_lost : reason::already_running;
        attempt->current_phase = execution::phase::finished;
        attempt->finished_at = context_.time.now();
        attempt->reply = make_refusal(*attempt, why);
        send_reply(*attempt);
        return;
    }
    active_[request.id()] = attempt;
    // Frames that were received together may hold a cancellation of this request, so they are handled first.
    asio::post(context_.executor, [this, attempt] {
        asio::co_spawn(context_.executor, run_and_reply(attempt), asio::detached);
    });
}

asio::awaitable<wire::forward_reply> executor::run_local(wire::forward_request request, steady_time deadline,
                                                         std::shared_ptr<cancel_token> cancel) {
    auto attempt = std::make_shared<execution>(context_.executor, std::move(request), deadline);
    if (active_.contains(attempt->request.id())) {
        co_return make_refusal(*attempt, reason::already_running);
    }
    if (cancel->requested()) {
        co_return make_refusal(*attempt, reason::caller_gone);
    }
    active_[attempt->request.id()] = attempt;
    executions_[forward_key(attempt->request.id(), attempt->request.attempt())] = attempt;
    cancel->on_cancel([this, id = attempt->request.id(), number = attempt->request.attempt()] {
        wire::cancel_request message;
        message.set_id(id);
        message.set_attempt(number);
        this->cancel(message);
    });
    auto reply = co_await run_and_reply(attempt);
    executions_.erase(forward_key(attempt->request.id(), attempt->request.attempt()));
    co_return reply;
}

asio::awaitable<wire::forward_reply> executor::run_and_reply(execution_pointer attempt) {
    auto outcome = co_await run(attempt);
    auto reply = finish(attempt, std::move(outcome));
    send_reply(*attempt);
    co_return reply;
}

wire::forward_reply executor::finish(const execution_pointer& attempt, wire::forward_reply reply) {
    reply.set_allowance_left(attempt->allowance.left());
    *reply.mutable_load() = context_.target.load();
    if (context_.pressure != nullptr) {
        add_load(*context_.pressure, *reply.mutable_load());
        const auto demand =
            downstream_pressure(*context_.pressure, attempt->request.route(), context_.time.now());
        reply.set_demand_ratio(demand.ratio);
        reply.set_bottleneck(demand.service);
    } else {
        const double ratio =
            context_.target.demand_ratio(attempt->request.priority(), attempt->request.account());
        reply.set_demand_ratio(std::max(ratio, attempt->downstream_ratio));
    }
    attempt->reply = reply;
    attempt->current_phase = execution::phase::finished;
    attempt->finished_at = context_.time.now();
    active_.erase(attempt->request.id());
    return reply;
}

// Costs a hash of the request, so it is called only while some request is suspected.
const std::string& executor::fingerprint_of(execution& attempt) const {
    if (attempt.fingerprint.empty()) {
        attempt.fingerprint = request_fingerprint(attempt.request);
        for (const auto crash : attempt.request.crashes()) {
            context_.crashes->record_earlier_crash(attempt.fingerprint, crash);
        }
    }
    return attempt.fingerprint;
}

crash_verdict executor::assess(execution& attempt) const {
    if (context_.crashes == nullptr || (context_.crashes->is_empty() && attempt.request.crashes().empty())) {
        return {};
    }
    return context_.crashes->assess(fingerprint_of(attempt));
}

// When a run has to end so that its reply reaches the caller: this process and the host that sent the request
// may both be stopping.
steady_time executor::latest_end(const execution& attempt) const {
    const auto stream = attempt.stream.lock();
    const auto own_end = context_.stop == nullptr ? steady_time::max() : latest_run_end(*context_.stop);
    return stream ? std::min(own_end, latest_run_end(stream->peer_end())) : own_end;
}

// Where no run of the route has been measured, it may take all of its time.
steady_time executor::latest_start(const execution& attempt) const {
    const auto end = latest_end(attempt);
    if (end == steady_time::max()) {
        return end;
    }
    const auto bound = run_time_bound(context_.target.speed(), attempt.request.route(), context_.time.now());
    if (!bound) {
        return attempt.deadline <= end ? steady_time::max() : steady_time::min();
    }
    return end - *bound;
}

// Whether the attempt is too late to end before this process or that of its sender.
reason executor::check_stop(const execution& attempt) const {
    if (context_.time.now() <= latest_start(attempt)) {
        return reason::none;
    }
    const bool is_own_stop =
        context_.stop != nullptr && latest_end(attempt) == latest_run_end(*context_.stop);
    return is_own_stop ? reason::host_stopping : reason::sender_stopping;
}

// Why an attempt was waiting for too long.
reason executor::expiry_reason(const execution& attempt) const {
    const reason too_late = check_stop(attempt);
    return too_late == reason::none ? reason::expired_in_queue : too_late;
}

reason executor::check_request(execution& attempt) const {
    const reason too_late = check_stop(attempt);
    if (too_late != reason::none) {
        return too_late;
    }
    if (!attempt.request.open() && context_.configuration.is_key_invalidated(
                                       attempt.request.key_id(), attempt.request.configuration_version())) {
        return reason::withdrawn_key;
    }
    if (assess(attempt).quarantined) {
        return reason::crashes_targets;
    }
    if (context_.target.is_ready_for(attempt.request.service())) {
        return reason::none;
    }
    const auto& announced = context_.target.announced();
    const bool draining =
        announced.service == attempt.request.service() && announced.state == wire::target_draining;
    return draining ? reason::target_draining : reason::no_target;
}

wire::forward_reply executor::make_refusal(const execution& attempt, reason why) const {
    auto reply = make_reply(attempt.request, wire::not_run, why);
    duration minimum = min_retry_after;
    if (why == reason::sender_stopping) {
        // Callers that know no other host find the next process of this one after its end.
        minimum = std::max(minimum, latest_end(attempt) + final_reply_time - context_.time.now());
    }
    const duration retry_after = retry_delay(context_.target.limiter(), minimum);
    reply.set_retry_after_ms(to_milliseconds(retry_after));
    return reply;
}

bool executor::accepts(const wire::forward_request& request) const {
    return intake_ == intake::open || (intake_ == intake::last_resort && request.last_resort());
}

asio::awaitable<wire::forward_reply> executor::run(execution_pointer attempt) {
    if (!accepts(attempt->request)) {
        co_return make_refusal(*attempt, reason::host_stopping);
    }
    if (attempt->cancel->requested()) {
        co_return make_refusal(*attempt, reason::caller_gone);
    }
    const reason refused = check_request(*attempt);
    if (refused != reason::none) {
        co_return make_refusal(*attempt, refused);
    }
    const reason held = co_await enter_gate(attempt);
    if (held != reason::none) {
        co_return make_refusal(*attempt, held);
    }
    auto reply = co_await start_and_run(attempt);
    leave_gate(*attempt);
    co_return reply;
}

// Waits until the attempt may start, or until it is too late for that; returns whether it may. The time until
// when it may start moves with the run times, and when a host announces its stop.
asio::awaitable<bool> executor::wait_for_turn(execution_pointer attempt) {
    while (!attempt->changed.is_set()) {
        const auto until = std::min(attempt->deadline - reply_margin, latest_start(*attempt));
        if (context_.time.now() >= until) {
            break;
        }
        co_await attempt->changed.wait_until(until);
    }
    co_return attempt->changed.is_set();
}

// Returns why the request may not run, or none.
asio::awaitable<reason> executor::enter_gate(execution_pointer attempt) {
    attempt->pass = pass_for(assess(*attempt).crashes);
    if (attempt->pass == gate_pass::none || try_enter(gate_, attempt->pass)) {
        co_return reason::none;
    }
    attempt->ticket = next_ticket_++;
    enqueue(gate_, attempt->ticket, attempt->pass);
    waiting_at_gate_[attempt->ticket] = attempt;
    const bool may_enter = co_await wait_for_turn(attempt);
    attempt->changed.reset();
    waiting_at_gate_.erase(attempt->ticket);
    if (!may_enter) {
        dandelionmount::remove_waiting(gate_, attempt->ticket);
        co_return expiry_reason(*attempt);
    }
    co_return attempt->removal_reason;
}

void executor::leave_gate(const execution& attempt) {
    if (attempt.pass == gate_pass::none) {
        return;
    }
    for (const auto ticket : leave(gate_, attempt.pass)) {
        const auto found = waiting_at_gate_.find(ticket);
        DANDELIONMOUNT_INVARIANT(found != waiting_at_gate_.end());
        found->second->changed.set();
    }
}

asio::awaitable<wire::forward_reply> executor::start_and_run(execution_pointer attempt) {
    if (attempt->request.target_rate_limit() > 0) {
        context_.target.adopt_rate_limit(attempt->request.target_rate_limit());
    }
    bool started = false;
    auto reply = co_await wait_for_start(attempt, started);
    if (!started) {
        co_return reply;
    }
    const reason refused_after_wait = check_request(*attempt);
    if (refused_after_wait != reason::none || attempt->cancel->requested()) {
        cancel_start(context_.target.limiter());
        start_waiting();
        const reason why = refused_after_wait == reason::none ? reason::caller_gone : refused_after_wait;
        co_return make_refusal(*attempt, why);
    }
    auto answer = co_await run_at_target(attempt);
    co_return answer;
}

// Circuit breaker: refuses requests of a route while hardly any of them end in time at this target, as
// running them would only take capacity from others. One in ten still runs to detect recovery.
bool executor::circuit_breaker_refuses(std::string_view route, steady_time now) {
    if (timeout_share(context_.target.speed(), route, now) < open_circuit_timeout_share) {
        return false;
    }
    return ++open_circuit_requests_ % requests_per_probe != 0;
}

// Waits until the target's limiter admits the request and sets `started`; otherwise returns the refusal.
asio::awaitable<wire::forward_reply> executor::wait_for_start(execution_pointer attempt, bool& started) {
    auto& limiter = context_.target.limiter();
    const auto now = context_.time.now();
    if (circuit_breaker_refuses(attempt->request.route(), now)) {
        co_return make_refusal(*attempt, reason::cannot_finish);
    }
    attempt->ticket = next_ticket_++;
    queued_request request;
    request.ticket = attempt->ticket;
    request.priority = attempt->request.priority();
    request.account = attempt->request.account();
    request.arrived = now;
    request.start_by = std::min(attempt->deadline - reply_margin, latest_start(*attempt));
    request.due = attempt->request.objective_ms() > 0
                      ? now + std::chrono::milliseconds(attempt->request.objective_ms())
                      : attempt->deadline;
    request.weight = demand_weight(attempt->request);
    request.is_call = attempt->request.is_call();
    const auto decision = decide_arrival(limiter, request, attempt->deadline, now);
    if (context_.pressure != nullptr) {
        record_arrival(*context_.pressure, attempt->request.route(), request.weight);
        update_pressure(*context_.pressure, limiter, now);
    }
    update_demands(limiter, now);
    if (decision.evicted) {
        remove_waiting(decision.evicted->ticket, reason::overload);
    }
    if (decision.what == arrival_decision::action::refuse) {
        co_return make_refusal(*attempt, decision.why);
    }
    if (decision.what == arrival_decision::action::queue) {
        waiting_[attempt->ticket] = attempt;
        start_waiting_at_next_token(now);
        const bool may_start = co_await wait_for_turn(attempt);
        waiting_.erase(attempt->ticket);
        if (!may_start && remove_request(limiter.queue, attempt->ticket)) {
            co_return make_refusal(*attempt, expiry_reason(*attempt));
        }
        if (attempt->removal_reason != reason::none) {
            co_return make_refusal(*attempt, attempt->removal_reason);
        }
    }
    started = true;
    co_return wire::forward_reply{};
}

asio::awaitable<wire::forward_reply> executor::run_at_target(execution_pointer attempt) {
    attempt->current_phase = execution::phase::running;
    context_.counters.count(event::target_calls);
    const auto& announced = context_.target.announced();
    const run_start start{{{context_.target_ip, announced.port}, announced.instance},
                          context_.target.incarnation(),
                          context_.time.now()};
    if (context_.pressure != nullptr) {
        record_start(*context_.pressure, attempt->request.route(), attempt->request.repeat_share());
    }
    record_run_start(context_.target.speed(), attempt->request.route(), start.at);
    // A target that runs for longer than expected ends by itself, as at any deadline.
    auto reply =
        co_await context_.connections.call(start.target, attempt->request, attempt->deadline - reply_margin,
                                           attempt->cancel, latest_end(*attempt));
    const auto elapsed = context_.time.now() - start.at;
    const run_result result = run_result_of(reply);
    context_.counters.target_time().add(elapsed);
    record_call_end(reply, elapsed);
    if (context_.pressure != nullptr) {
        record_end(*context_.pressure, attempt->request.route(), attempt->request.repeat_share(), elapsed);
        if (result == run_result::answered || result == run_result::failed) {
            record_run_result(*context_.pressure, attempt->request.route(), result == run_result::failed);
        }
    }
    record_run_end(context_.target.speed(), attempt->request.route(), elapsed, result, context_.time.now());
    start_waiting();
    if (context_.crashes != nullptr && reply.outcome() == wire::ran && !context_.crashes->is_empty()) {
        context_.crashes->record_response(fingerprint_of(*attempt));
    }
    co_await check_for_crash(attempt, start, reply);
    co_return reply;
}

// A target that lost the connection of a run, does not listen any more and has not said that it is leaving
// has crashed. One that reset a connection, or whose host was suspended or cut off, still listens. Its
// announcement may have expired: after an earlier crash a target runs requests before it announces itself
// again.
asio::awaitable<void> executor::check_for_crash(execution_pointer attempt, run_start start,
                                                wire::forward_reply& reply) {
    const bool was_lost =
        reply.outcome() == wire::unknown && reason_from_token(reply.reason()) == reason::target_lost;
    if (context_.crashes == nullptr || !was_lost) {
        co_return;
    }
    const bool refused = co_await context_.connections.refuses_connections(start.target.endpoint);
    if (refused && !context_.target.has_left_or_was_replaced(start.target.instance, start.incarnation)) {
        reply.set_reason(std::string(reason_token(reason::target_crashed)));
        reply.set_crash(context_.crashes->record_crash(attempt->request, start.at));
    }
}

void executor::record_call_end(const wire::forward_reply& reply, duration elapsed) {
    auto& limiter = context_.target.limiter();
    const auto now = context_.time.now();
    const reason why = reason_from_token(reply.reason());
    const bool ran = reply.outcome() == wire::ran;
    const bool shed = why == reason::target_shed ||
                      (ran && (reply.status() == service_unavailable || reply.status() == too_many_requests));
    // A deadline that was too short for the request is no sign of an overloaded target.
    const bool is_timeout = why == reason::deadline && elapsed > min_timeout_multiple * limiter.baseline_time;
    if (shed) {
        record_end_with_decision(
            decide_on_rejection(context_.target.trial_of_rejections(), limiter.limit, now), elapsed, now);
    } else if (is_timeout) {
        record_end_with_decision(decide_on_timeout(context_.target.trial_of_timeouts(), limiter.limit,
                                                   context_.target.speed(), now),
                                 elapsed, now);
    } else if (ran && reply.status() < first_server_error) {
        record_answered(context_.target.trial_of_rejections());
        record_end(limiter, call_end::answered, elapsed, now);
    } else if (ran || why == reason::deadline || why == reason::caller_gone) {
        // No sign of the target's capacity.
        cancel_start(limiter);
    } else {
        record_end(limiter, call_end::failed, elapsed, now);
    }
}

void executor::record_end_with_decision(const limit_decision& decision, duration elapsed, steady_time now) {
    auto& limiter = context_.target.limiter();
    if (decision.what == limit_action::restore) {
        log_event(log_level::info, "limit restored",
                  {{"limit", std::to_string(limiter.limit)}, {"restored", std::to_string(decision.limit)}});
    }
    dandelionmount::record_end_with_decision(limiter, decision, elapsed, now);
}

void executor::start_waiting() {
    auto& limiter = context_.target.limiter();
    while (true) {
        const auto next = start_next(limiter, context_.time.now());
        if (!next) {
            start_waiting_at_next_token(context_.time.now());
            return;
        }
        const auto found = waiting_.find(next->ticket);
        DANDELIONMOUNT_INVARIANT(found != waiting_.end());
        found->second->current_phase = execution::phase::running;
        found->second->changed.set();
        waiting_.erase(found);
    }
}

// Without a rate limit, the end of a run starts the next one.
void executor::start_waiting_at_next_token(steady_time now) {
    const auto& limiter = context_.target.limiter();
    const auto wait = time_to_next_start(limiter, now);
    if (waits_for_token_ || !wait) {
        return;
    }
    waits_for_token_ = true;
    next_token_.expires_after(*wait);
    // After an error this object may be gone.
    next_token_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            waits_for_token_ = false;
            start_waiting();
        }
    });
}

void executor::check_waiting() {
    for (const auto* waiting : {&waiting_, &waiting_at_gate_}) {
        for (const auto& [ticket, attempt] : *waiting) {
            attempt->changed.wake();
        }
    }
}

void executor::remove_waiting(std::uint64_t ticket, reason why) {
    const auto found = waiting_.find(ticket);
    if (found != waiting_.end()) {
        found->second->removal_reason = why;
        found->second->changed.set();
    }
}

void executor::cancel(const wire::cancel_request& cancel) {
    const auto found = executions_.find(forward_key(cancel.id(), cancel.attempt()));
    if (found != executions_.end()) {
        const execution_pointer attempt = found->second;
        cancel_attempt(attempt);
    }
}

void executor::handle_stop_notice(const wire::heartbeat& heartbeat,
                                  const std::shared_ptr<frame_stream>& stream) {
    if (heartbeat.has_sender_ends_in_ms()) {
        stream->set_peer_end(context_.time.now() + std::chrono::milliseconds(heartbeat.sender_ends_in_ms()));
        check_waiting();
    }
}

void executor::handle_stream_end(const std::shared_ptr<frame_stream>& stream) {
    if (!context_.idempotent_requests_are_settled) {
        asio::co_spawn(context_.executor, cancel_orphans(stream), asio::detached);
    }
}

// A living sender cancels its attempts itself once it is connected again. Cancelling them at once would break
// off the runs of all its requests whenever a busy host is taken for lost.
asio::awaitable<void> executor::cancel_orphans(std::shared_ptr<frame_stream> ended) {
    co_await sleep_for(context_.executor, orphan_grace);
    std::vector<execution_pointer> orphans;
    for (const auto& [id, attempt] : active_) {
        if (attempt->request.idempotent() && attempt->stream.lock() == ended) {
            orphans.push_back(attempt);
        }
    }
    for (const auto& attempt : orphans) {
        cancel_attempt(attempt);
    }
    if (!orphans.empty()) {
        log_event(log_level::info, "runs of a lost connection cancelled",
                  {{"runs", std::to_string(orphans.size())}});
    }
}

void executor::cancel_attempt(const execution_pointer& attempt) {
    if (attempt->current_phase == execution::phase::finished) {
        return;
    }
    if (attempt->current_phase == execution::phase::waiting) {
        attempt->cancel->request();
        if (remove_request(context_.target.limiter().queue, attempt->ticket)) {
            remove_waiting(attempt->ticket, reason::caller_gone);
        } else if (dandelionmount::remove_waiting(gate_, attempt->ticket)) {
            attempt->removal_reason = reason::caller_gone;
            attempt->changed.set();
        }
    } else if (!outlives_caller(attempt->request)) {
        attempt->cancel->request();
    }
}

void executor::settle(const wire::settle_request& request, std::shared_ptr<frame_stream> stream) {
    const std::string key = forward_key(request.id(), request.attempt());
    wire::peer_frame frame;
    auto* reply = frame.mutable_settle_reply();
    reply->set_id(request.id());
    reply->set_attempt(request.attempt());
    const auto found = executions_.find(key);
    if (found == executions_.end()) {
        const auto found_tombstone = tombstones_.find(key);
        const bool was_seen = found_tombstone != tombstones_.end() && found_tombstone->second.seen;
        reply->set_state(was_seen ? wire::settle_unknown : wire::settle_not_seen);
        add_tombstone(key, context_.time.now(), was_seen);
        stream->send(frame);
        return;
    }
    const execution_pointer attempt = found->second;
    attempt->stream = stream;
    // The sender may have announced its stop on this stream only.
    attempt->changed.wake();
    const bool finished = attempt->current_phase == execution::phase::finished;
    reply->set_state(finished ? wire::settle_finished : wire::settle_running);
    stream->send(frame);
    if (finished) {
        send_reply(*attempt);
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
    if (found != executions_.end() && found->second->current_phase == execution::phase::finished) {
        // The attempt must not run again if its frame arrives a second time.
        add_tombstone(found->first, found->second->deadline, true);
        executions_.erase(found);
    }
}

executor::execution_pointer executor::find_running(std::string_view id) const {
    const auto found = active_.find(id);
    const bool running = found != active_.end() && found->second->current_phase == execution::phase::running;
    return running ? found->second : nullptr;
}

// Keeps the tombstone until `tombstone_ttl` after the deadline, as senders settle an attempt only before it.
void executor::add_tombstone(const std::string& key, steady_time deadline, bool seen) {
    tombstones_[key] = {std::max(deadline, context_.time.now()) + tombstone_ttl, seen};
}

void executor::remove_expired() {
    const auto now = context_.time.now();
    std::erase_if(executions_, [this, now](const auto& entry) {
        const bool expired = entry.second->current_phase == execution::phase::finished &&
                             now - entry.second->finished_at > reply_ttl;
        if (expired) {
            add_tombstone(entry.first, entry.second->deadline, true);
        }
        return expired;
    });
    std::erase_if(tombstones_, [now](const auto& entry) { return now > entry.second.until; });
}

} // namespace dandelionmount
