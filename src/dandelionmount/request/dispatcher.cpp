#include "dandelionmount/request/dispatcher.h"

#include "dandelionmount/connection/peer_link.h"

#include <algorithm>

namespace dandelionmount {

namespace asio = boost::asio;

namespace {

// Attempts that met a leaving host or target and ran nothing may be repeated elsewhere without using the
// allowance; more than this would only follow a fleet that stops as a whole.
constexpr std::uint32_t most_redirects = 3;
// The same for attempts that were refused for load: more would cost all hosts work in an overload.
constexpr std::uint32_t most_load_redirects = 1;
// With less time than this left another attempt is not worth its cost.
constexpr duration least_attempt_time = std::chrono::milliseconds(5);
constexpr duration service_ratio_interval = std::chrono::milliseconds(100);
constexpr duration overload_return_time = std::chrono::seconds(1);
// Attempts of each hop when no allowance bounds them.
constexpr std::uint32_t most_hop_attempts = 4;
constexpr std::uint32_t server_errors = 500;

// The worker is leaving or gone; the request has nothing to do with it.
bool is_redirect(reason why) {
    return why == reason::host_stopping || why == reason::target_draining || why == reason::no_target ||
           why == reason::target_refused || why == reason::peer_unreachable;
}

// The worker's host had no room for the request, so that it never reached the worker.
bool is_refused_for_load(reason why) {
    return why == reason::queue_full || why == reason::cannot_finish || why == reason::overload;
}

bool is_final(reason why) {
    return why == reason::withdrawn_key || why == reason::caller_gone || why == reason::expired_in_queue ||
           why == reason::already_running;
}

bool is_good(const wire::forward_reply& reply) {
    const bool ran_well = reply.outcome() == wire::ran && reply.status() < server_errors;
    const reason why = reason_from_token(reply.reason());
    const bool shed = reply.outcome() == wire::not_run && !is_redirect(why) && why != reason::peer_lost;
    return ran_well || shed || why == reason::caller_gone || why == reason::deadline;
}

request_class class_of(const dispatch_order& order) {
    return {order.route, order.request.priority(), order.request.account()};
}

double draw_number(std::mt19937_64& random) {
    return std::uniform_real_distribution<double>(0, 1)(random);
}

} // namespace

dispatcher::dispatcher(dispatcher_context context) : context_(context) {}

double dispatcher::budget_share(const std::string& service) const {
    const auto* settings = find_service(context_.configuration.current(), service);
    return settings == nullptr ? 0 : settings->retry_budget;
}

double dispatcher::share_that_passes(const dispatch_order& order) {
    const auto now = context_.time.now();
    if (context_.pressure != nullptr) {
        return note_entering(bands_, order.route, order.request.priority(), now);
    }
    return passing_share(ratios_, class_of(order), now);
}

// Worked out seldom, as it looks at all workers of the service.
double dispatcher::service_ratio(const std::string& service) {
    const auto now = context_.time.now();
    auto& [ratio, worked_out] = service_ratios_[service];
    if (now - worked_out >= service_ratio_interval) {
        worked_out = now;
        ratio = pressure_at_workers(service, context_.members, workers_, now);
    }
    return ratio;
}

void dispatcher::note_demand_ratio(const dispatch_order& order, double ratio) {
    const auto now = context_.time.now();
    if (context_.pressure == nullptr) {
        if (order.at_ingress) {
            record_ratio(ratios_, class_of(order), ratio, now);
        }
        return;
    }
    const double highest = std::max(ratio, service_ratio(order.request.service()));
    if (order.at_ingress) {
        note_pressure(bands_, order.route, highest, now);
    } else {
        record_call_pressure(*context_.pressure, order.request.service(), highest, now);
    }
}

// A request that passes stands for those of its class that were shed, so that the services below know the
// whole demand.
bool dispatcher::passes_entrance(dispatch_order& order) {
    const double share = share_that_passes(order);
    if (share < 1 && draw_number(context_.random) >= share) {
        return false;
    }
    order.request.set_weight(1 / share);
    return true;
}

// Refuses before any work is spent, since services below would refuse after some.
wire::forward_reply dispatcher::shed(const dispatch_order& order) {
    const double share =
        context_.pressure != nullptr
            ? 1 / std::max(1.0, current_ratio(bands_.ratios, {order.route, 0, {}}, context_.time.now()))
            : passing_share(ratios_, class_of(order), context_.time.now());
    auto reply = make_reply(order.request, wire::not_run, reason::overload);
    reply.set_retry_after_ms(to_milliseconds(shed_return_time(share, draw_number(context_.random))));
    return reply;
}

void dispatcher::record_worker_comparison(const std::string& host, const target_health& note) {
    const auto found = workers_.find(host);
    if (found != workers_.end()) {
        note_comparison(found->second, note, context_.time.now());
    }
}

void dispatcher::set_max_saved_retries(double most_saved) {
    context_.max_saved_retries = most_saved;
    for (auto& [service, budget] : budgets_) {
        budget.set_max_saved(most_saved);
    }
}

asio::awaitable<wire::forward_reply> dispatcher::dispatch(dispatch_order order) {
    if (order.at_ingress && !passes_entrance(order)) {
        co_return shed(order);
    }
    if (!order.at_ingress && context_.pressure != nullptr) {
        record_call(*context_.pressure, order.request.service());
        order.request.set_weight(call_weight(*context_.pressure, order.request.service()));
    }
    const std::string service = order.request.service();
    budgets_.try_emplace(service, context_.max_saved_retries)
        .first->second.note_first_attempt(budget_share(service));
    std::vector<std::string> tried;
    std::uint32_t redirects = 0;
    auto reply = make_reply(order.request, wire::not_run, reason::no_target);
    for (std::uint32_t number = 1;; ++number) {
        const choice_context context{service, context_.members.self.zone(), tried, context_.time.now()};
        const auto choice = choose_worker(context, context_.members, workers_, context_.random);
        if (choice.host.empty()) {
            // After an attempt its own outcome says more than that there is no other worker.
            if (number == 1) {
                reply = make_reply(order.request, wire::not_run, choice.why);
                reply.set_retry_after_ms(to_milliseconds(overload_return_time));
            }
            co_return reply;
        }
        order.request.set_attempt(number);
        reply = co_await attempt(order, choice.host);
        const reason retried = may_retry(order, reply, redirects);
        if (retried == reason::none) {
            co_return reply;
        }
        context_.counters.retried(retried);
        tried.push_back(choice.host);
    }
}

asio::awaitable<wire::forward_reply> dispatcher::attempt(const dispatch_order& order, std::string host) {
    wire::forward_request request = order.request;
    request.set_remaining_ms(to_milliseconds(order.deadline - context_.time.now()));
    const std::uint32_t slice = context_.shares_allowance ? order.allowance->take_slice() : 0;
    request.set_allowance(slice);
    context_.counters.count(event::attempts);
    ++workers_[host].in_flight;
    wire::forward_reply reply;
    const bool own = host == context_.members.self.host();
    const auto link = own ? nullptr : context_.peers.find(host);
    if (own) {
        reply = co_await context_.local.run_local(std::move(request), order.deadline, order.cancel);
    } else if (link != nullptr) {
        reply = co_await link->forward(std::move(request), order.deadline, order.cancel);
    } else {
        reply = make_reply(request, wire::not_run, reason::peer_unreachable);
    }
    const auto now = context_.time.now();
    worker_record& record = workers_[host];
    record.in_flight -= record.in_flight > 0 ? 1 : 0;
    note_attempt_end(record, is_good(reply), now);
    if (reply.has_load()) {
        note_load(record, reply.load(), now);
        order.allowance->give_back(std::min(slice, reply.allowance_left()));
    } else if (reply.outcome() == wire::not_run) {
        order.allowance->give_back(slice);
    }
    if (reply.has_demand_ratio()) {
        note_demand_ratio(order, reply.demand_ratio());
    }
    co_return reply;
}

// The reason under which the request is tried again, or none when its reply is final.
reason dispatcher::may_retry(const dispatch_order& order, const wire::forward_reply& reply,
                             std::uint32_t& redirects) {
    const reason why = reason_from_token(reply.reason());
    const bool proved = reply.outcome() == wire::not_run;
    const bool repeatable = proved || (reply.outcome() == wire::unknown && order.request.idempotent());
    const bool time_left = context_.time.now() + least_attempt_time < order.deadline;
    if (!repeatable || is_final(why) || !time_left || order.cancel->requested()) {
        return reason::none;
    }
    if (!context_.uses_allowance) {
        return order.request.attempt() < most_hop_attempts ? why : reason::none;
    }
    if (proved && is_redirect(why) && redirects < most_redirects) {
        ++redirects;
        return why;
    }
    if (proved && context_.redirects_refused_attempts && is_refused_for_load(why)) {
        const bool once_more = redirects < most_load_redirects;
        ++redirects;
        return once_more ? why : reason::none;
    }
    if (order.allowance->left() == 0) {
        context_.counters.refused(reason::allowance_spent);
        return reason::none;
    }
    if (!budgets_.find(order.request.service())->second.use_one()) {
        context_.counters.refused(reason::retry_budget);
        return reason::none;
    }
    const bool used = order.allowance->use_one();
    DANDELIONMOUNT_INVARIANT(used);
    return why;
}

} // namespace dandelionmount
