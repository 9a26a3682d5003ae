#include "dandelionmount/request/dispatcher.h"

#include <algorithm>

namespace dandelionmount {

namespace asio = boost::asio;

namespace {

// Redirects of attempts that did not run because the worker is unavailable; they use no retry. The bound ends
// them when the whole fleet stops.
constexpr std::uint32_t max_redirects = 3;
// Redirects of attempts that were refused for load; in an overload, more would add work at all hosts.
constexpr std::uint32_t max_load_redirects = 1;
// Attempts of a call that its targets reject. More would take the budget from calls that were rejected less
// often.
constexpr std::uint32_t max_rejected_attempts = 5;
// Remaining time below which another attempt is not worth its cost.
constexpr duration min_attempt_time = std::chrono::milliseconds(5);
constexpr duration service_pressure_ratio_interval = std::chrono::milliseconds(100);
constexpr duration overload_retry_after = std::chrono::seconds(1);
// Attempts per hop when no allowance limits them.
constexpr std::uint32_t max_attempts_per_hop = 4;
constexpr std::uint32_t first_server_error = 500;
constexpr std::uint32_t gateway_timeout = 504;

// The worker is stopping, gone or unreachable; the failure is unrelated to the request.
bool is_worker_unavailable(reason why) {
    return why == reason::host_stopping || why == reason::target_draining || why == reason::no_target ||
           why == reason::target_refused || why == reason::peer_unreachable;
}

// The worker's host had no room for the request, or not in time, so the request never reached the worker.
bool is_load_refusal(reason why) {
    return why == reason::queue_full || why == reason::cannot_finish || why == reason::overload ||
           why == reason::sender_stopping;
}

bool is_final(reason why) {
    return why == reason::withdrawn_key || why == reason::caller_gone || why == reason::expired_in_queue ||
           why == reason::already_running || why == reason::crashes_targets;
}

bool ran_well(const wire::forward_reply& reply) {
    return reply.outcome() == wire::ran && reply.status() < first_server_error;
}

// Whether the caller had left, or the time was over.
bool ended_by_time(const wire::forward_reply& reply) {
    const reason why = reason_from_token(reply.reason());
    const bool timed_out_at_target = reply.outcome() == wire::ran && reply.status() == gateway_timeout;
    return why == reason::caller_gone || why == reason::deadline || why == reason::expired_in_queue ||
           timed_out_at_target;
}

// For the ejection of workers: refusals for load, timeouts and cancellations do not count as failures.
bool counts_as_success(const wire::forward_reply& reply) {
    const reason why = reason_from_token(reply.reason());
    const bool shed =
        reply.outcome() == wire::not_run && !is_worker_unavailable(why) && why != reason::peer_lost;
    return ran_well(reply) || shed || why == reason::caller_gone || why == reason::deadline;
}

// A reply that proves only that the last attempt did not run.
void correct_outcome(wire::forward_reply& reply, bool earlier_attempt_may_have_run) {
    if (earlier_attempt_may_have_run && reply.outcome() == wire::not_run) {
        reply.set_outcome(wire::unknown);
    }
}

request_class class_of(const dispatch_order& order) {
    return {order.route, order.request.priority(), order.request.account(), {}};
}

double uniform_draw(std::mt19937_64& random) {
    return std::uniform_real_distribution<double>(0, 1)(random);
}

} // namespace

dispatcher::dispatcher(dispatcher_context context) : context_(context) {}

double dispatcher::ingress_admitted_share(const dispatch_order& order) {
    const auto now = context_.time.now();
    if (context_.pressure != nullptr) {
        return record_arrival_at_ingress(shedder_, order.route, order.request.priority(), now);
    }
    return admitted_share(ratios_, class_of(order), now);
}

// Cached, as it visits all workers of the service.
double dispatcher::service_pressure_ratio(const std::string& service) {
    const auto now = context_.time.now();
    auto& [ratio, computed_at] = service_pressure_ratios_[service];
    if (now - computed_at >= service_pressure_ratio_interval) {
        computed_at = now;
        ratio = pressure_at_workers(service, context_.members, workers_, now);
    }
    return ratio;
}

void dispatcher::record_demand(const dispatch_order& order, const wire::forward_reply& reply) {
    const auto now = context_.time.now();
    if (context_.pressure == nullptr) {
        if (order.at_ingress) {
            record_ratio(ratios_, class_of(order), reply.demand_ratio(), now);
        }
        return;
    }
    const std::string& service = order.request.service();
    service_demand own{service, service_pressure_ratio(service)};
    if (order.request.is_call()) {
        // Work is wasted where a call fails, so only requests that lead to calls are shed for want of
        // retries.
        own.ratio = std::max(own.ratio, context_.retries.pressure(service));
    }
    const bool is_own_highest = own.ratio >= reply.demand_ratio();
    const service_demand highest =
        is_own_highest ? own : service_demand{reply.bottleneck(), reply.demand_ratio()};
    if (order.at_ingress) {
        record_pressure(shedder_, order.route, highest, now);
    } else {
        record_call_pressure(*context_.pressure, service, highest, now);
    }
}

// An admitted request is weighted to also represent the shed requests of its class, so that downstream
// services can measure the whole demand.
bool dispatcher::admit_at_ingress(dispatch_order& order) {
    const double share = ingress_admitted_share(order);
    if (share < 1 && uniform_draw(context_.random) >= share) {
        return false;
    }
    order.request.set_weight(1 / share);
    return true;
}

// Refuses before any work is done; a refusal by a downstream service would waste the work done upstream.
wire::forward_reply dispatcher::make_shed_reply(const dispatch_order& order) {
    auto reply = make_reply(order.request, wire::not_run, reason::overload);
    double share = 1;
    if (context_.pressure != nullptr) {
        const auto demand = highest_ratio(shedder_.ratios, order.route, context_.time.now());
        reply.set_demand_ratio(demand.ratio);
        reply.set_bottleneck(demand.service);
        share = 1 / std::max(1.0, demand.ratio);
    } else {
        share = admitted_share(ratios_, class_of(order), context_.time.now());
    }
    reply.set_retry_after_ms(to_milliseconds(shed_retry_after(share, uniform_draw(context_.random))));
    return reply;
}

void dispatcher::record_worker_comparison(const std::string& host, const target_health& health) {
    const auto found = workers_.find(host);
    if (found != workers_.end()) {
        record_comparison(found->second, health, context_.time.now());
    }
}

asio::awaitable<wire::forward_reply> dispatcher::dispatch(dispatch_order order) {
    if (order.at_ingress && !admit_at_ingress(order)) {
        co_return make_shed_reply(order);
    }
    if (!order.at_ingress && context_.pressure != nullptr) {
        record_call(*context_.pressure, order.request.service());
        order.request.set_weight(call_weight(*context_.pressure, order.request.service()));
        order.request.set_repeat_share(repeat_share_of_calls(*context_.pressure, order.request.service()));
    }
    const bool is_call = !order.at_ingress;
    const std::string service = order.request.service();
    auto reply = co_await make_attempts(std::move(order));
    if (is_call && context_.pressure != nullptr && !ended_by_time(reply)) {
        record_call_result(*context_.pressure, service, !ran_well(reply));
    }
    co_return reply;
}

asio::awaitable<wire::forward_reply> dispatcher::make_attempts(dispatch_order order) {
    const std::string service = order.request.service();
    context_.retries.record_request(service, std::max(1.0, order.request.weight()),
                                    order.request.repeat_share());
    std::vector<std::string> tried;
    std::uint32_t redirects = 0;
    bool may_have_run = false;
    retry_decision retry;
    std::string host;
    attempt_result last{make_reply(order.request, wire::not_run, reason::no_target), std::nullopt};
    for (std::uint32_t number = 1;; ++number) {
        if (!retry.at_same_worker) {
            const choice_context context{service, context_.members.self.zone(), tried, context_.time.now()};
            const auto choice = choose_worker(context, context_.members, workers_, context_.random);
            // A second attempt as a last resort would be refused again.
            const bool is_exhausted = choice.is_last_resort && order.request.last_resort();
            if (choice.host.empty() || is_exhausted) {
                // After an attempt, its outcome is more informative than the lack of another worker.
                if (number == 1) {
                    last.reply = make_reply(order.request, wire::not_run, choice.why);
                    last.reply.set_retry_after_ms(to_milliseconds(overload_retry_after));
                }
                break;
            }
            host = choice.host;
            order.request.set_last_resort(choice.is_last_resort);
            tried.push_back(host);
        }
        if (last.reply.outcome() == wire::unknown) {
            may_have_run = true;
            order.request.set_repeat_share(1);
        }
        if (last.lost) {
            last.lost->link->abandon(last.lost->attempt, order.deadline);
        }
        order.request.set_attempt(number);
        auto result = co_await attempt(order, host);
        last = std::move(result);
        retry = co_await decide_retry(order, last.reply, redirects);
        if (retry.cause == reason::none) {
            break;
        }
        if (last.reply.crash() != 0) {
            order.request.add_crashes(last.reply.crash());
        }
        context_.counters.count_retry(retry.cause);
    }
    auto reply = co_await conclude(order, std::move(last), may_have_run);
    co_return reply;
}

// The final reply to a request that is not sent again. An attempt whose connection was lost is waited for, as
// its target may be at work.
asio::awaitable<wire::forward_reply> dispatcher::conclude(const dispatch_order& order, attempt_result last,
                                                          bool earlier_attempt_may_have_run) {
    if (last.lost && has_ended(order)) {
        last.lost->link->abandon(last.lost->attempt, order.deadline);
    } else if (last.lost) {
        ++workers_[last.lost->host].in_flight;
        auto reply = co_await last.lost->link->resume(last.lost->attempt, order.deadline, order.cancel);
        last.reply = std::move(reply);
        record_reply(order, last.lost->host, last.lost->allowance, last.reply);
    }
    correct_outcome(last.reply, earlier_attempt_may_have_run);
    co_return std::move(last.reply);
}

asio::awaitable<dispatcher::attempt_result> dispatcher::attempt(const dispatch_order& order,
                                                                std::string host) {
    wire::forward_request request = order.request;
    request.set_remaining_ms(to_milliseconds(order.deadline - context_.time.now()));
    request.set_objective_ms(
        to_milliseconds(std::max<duration>(duration{0}, order.due - context_.time.now())));
    const std::uint32_t slice = context_.shares_allowance ? order.allowance->take_slice() : 0;
    request.set_allowance(slice);
    context_.counters.count(event::attempts);
    worker_record& chosen = workers_[host];
    ++chosen.in_flight;
    request.set_target_rate_limit(chosen.load.rate_limit());
    attempt_result result;
    const bool is_self = host == context_.members.self.host();
    const auto link = is_self ? nullptr : context_.peers.find(host);
    if (is_self) {
        auto reply = co_await context_.local.run_local(std::move(request), order.deadline, order.cancel);
        result.reply = std::move(reply);
    } else if (link != nullptr) {
        auto forwarded = co_await link->forward(std::move(request), order.deadline, order.cancel);
        result.reply = std::move(forwarded.reply);
        if (forwarded.unsettled) {
            result.lost = lost_attempt{host, link, std::move(*forwarded.unsettled), slice};
        }
    } else {
        result.reply = make_reply(request, wire::not_run, reason::peer_unreachable);
    }
    record_reply(order, host, slice, result.reply);
    co_return result;
}

void dispatcher::record_reply(const dispatch_order& order, const std::string& host, std::uint32_t allowance,
                              const wire::forward_reply& reply) {
    const auto now = context_.time.now();
    worker_record& record = workers_[host];
    record.in_flight -= record.in_flight > 0 ? 1 : 0;
    record_attempt_end(record, counts_as_success(reply), now);
    if (reason_from_token(reply.reason()) == reason::host_stopping) {
        record_host_stopping(record, now);
    }
    if (reply.has_load()) {
        record_load(record, reply.load(), now);
        order.allowance->refund(std::min(allowance, reply.allowance_left()));
    } else if (reply.outcome() == wire::not_run) {
        order.allowance->refund(allowance);
    }
    if (reply.has_demand_ratio()) {
        record_demand(order, reply);
    }
}

// Returns the cause of a retry, or none when the reply is final.
asio::awaitable<retry_decision> dispatcher::decide_retry(const dispatch_order& order,
                                                         const wire::forward_reply& reply,
                                                         std::uint32_t& redirects) {
    const retry_decision no_retry;
    const reason why = reason_from_token(reply.reason());
    const bool proved_not_run = reply.outcome() == wire::not_run;
    const bool repeatable =
        proved_not_run || (reply.outcome() == wire::unknown && order.request.idempotent());
    if (!repeatable || is_final(why) || has_ended(order) || !is_attempt_in_time()) {
        co_return no_retry;
    }
    if (!context_.uses_allowance) {
        const retry_decision retry{order.request.attempt() < max_attempts_per_hop ? why : reason::none};
        co_return retry;
    }
    if (proved_not_run && is_worker_unavailable(why) && redirects < max_redirects) {
        ++redirects;
        const retry_decision retry{why};
        co_return retry;
    }
    if (proved_not_run && context_.redirects_refused_attempts && is_load_refusal(why)) {
        const bool once_more = redirects < max_load_redirects;
        ++redirects;
        const retry_decision retry{once_more ? why : reason::none};
        co_return retry;
    }
    const bool rejected = proved_not_run && why == reason::target_shed;
    context_.retries.record_failure(order.request.service(), rejected);
    // A call that its target rejects has not run, so it may be sent to the same worker again, which the limit
    // on the number of workers does not count.
    const bool at_same_worker = order.allowance->left() == 0 && order.request.is_call() && rejected &&
                                order.request.attempt() < max_rejected_attempts;
    if (order.allowance->left() == 0 && !at_same_worker) {
        context_.counters.count_refusal(reason::allowance_spent);
        co_return no_retry;
    }
    const bool within_budget = co_await context_.retries.use_one(order.request.service());
    if (!within_budget) {
        context_.counters.count_refusal(reason::retry_budget);
        co_return no_retry;
    }
    // The budget may have been waited for.
    if (has_ended(order) || !is_attempt_in_time()) {
        co_return no_retry;
    }
    if (!at_same_worker) {
        const bool used = order.allowance->use_one();
        DANDELIONMOUNT_INVARIANT(used);
    }
    const retry_decision retry{why, at_same_worker};
    co_return retry;
}

bool dispatcher::is_attempt_in_time() const {
    return context_.stop == nullptr ||
           context_.time.now() + min_attempt_time < latest_run_end(*context_.stop);
}

bool dispatcher::has_ended(const dispatch_order& order) const {
    return context_.time.now() + min_attempt_time >= order.deadline || order.cancel->requested();
}

} // namespace dandelionmount
