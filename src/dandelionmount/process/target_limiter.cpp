#include "dandelionmount/process/target_limiter.h"

#include "dandelionmount/process/result.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace dandelionmount {

namespace {

constexpr double decrease_factor = 0.9;
constexpr double min_limit = 1;
constexpr double min_service_seconds = 1e-6;
// EWMA weight of a call.
constexpr double ewma_weight = 0.2;
// Time in which the baseline may double, so that it follows a lasting change. An overload must not become the
// baseline while it lasts.
constexpr duration baseline_doubling_time = std::chrono::seconds(60);
// Headroom over the measured capacity while the queue stays empty, so that spare capacity is found.
constexpr double idle_headroom = 2;
// Headroom while there is a queue, and its reduction when the queue is full: the queue length settles where
// the admitted rate equals the service rate.
constexpr double busy_headroom = 1.15;
constexpr double full_queue_reduction = 0.4;
// Queue length in multiples of the limit: about two service times.
constexpr double queue_factor = 2;
constexpr std::size_t min_queue_limit = 8;
// Calls may wait longer: refusing one wastes the work of all requests upstream.
constexpr double call_queue_factor = 6;
// Share of the time left beside the run that requests wait when their queue counts as full.
constexpr double max_wait_share = 0.5;
// At least the time left divided by this counts as spare, however long runs take.
constexpr int min_spare_divisor = 10;

std::size_t queue_limit(const target_limiter& limiter, bool is_call) {
    const double factor = is_call ? call_queue_factor : queue_factor;
    return std::max(min_queue_limit, static_cast<std::size_t>(effective_limit(limiter) * factor));
}

duration expected_wait(const target_limiter& limiter, std::size_t ahead) {
    const auto by_limit = std::chrono::duration_cast<duration>(
        limiter.service_time * (static_cast<double>(ahead) / std::max(limiter.limit, min_limit)));
    if (!limiter.rate.per_second) {
        return by_limit;
    }
    return std::max(by_limit, from_seconds(static_cast<double>(ahead) / *limiter.rate.per_second));
}

// Late requests start last, so no other request waits for them.
std::size_t in_time(const admission_queue& queue) {
    return queue.size - queue.late_size;
}

// A standing queue in which requests wait for most of the time until their responses are due costs the work
// of those that end too late, and holds all others up. So a queue is full when it takes a part of the time
// left beside the run.
double wait_ratio(const target_limiter& limiter, std::size_t queued, std::optional<duration> time_left) {
    if (queued == 0 || !time_left) {
        return 0;
    }
    const duration spare = std::max(*time_left - limiter.service_time, *time_left / min_spare_divisor);
    const std::size_t ahead = in_time(limiter.queue.ingress) + in_time(limiter.queue.calls);
    const double wait = to_seconds(expected_wait(limiter, ahead));
    return wait / std::max(max_wait_share * to_seconds(spare), min_service_seconds);
}

void record_time_left(std::optional<duration>& mean, duration left) {
    const duration before = mean.value_or(left);
    mean = before + std::chrono::duration_cast<duration>((left - before) * ewma_weight);
}

arrival_decision refuse(reason why) {
    return {arrival_decision::action::refuse, why, std::nullopt};
}

bool is_below_limit(const target_limiter& limiter) {
    return limiter.in_flight < static_cast<std::uint32_t>(limiter.limit);
}

} // namespace

double queue_fill_ratio(const target_limiter& limiter) {
    const std::size_t ingress = in_time(limiter.queue.ingress);
    const std::size_t calls = in_time(limiter.queue.calls);
    return std::min(1.0,
                    std::max({static_cast<double>(ingress) / static_cast<double>(queue_limit(limiter, false)),
                              static_cast<double>(calls) / static_cast<double>(queue_limit(limiter, true)),
                              wait_ratio(limiter, ingress, limiter.ingress_time_left),
                              wait_ratio(limiter, calls, limiter.call_time_left)}));
}

void set_ceiling(target_limiter& limiter, std::uint32_t slots) {
    const double ceiling = std::max<double>(min_limit, slots);
    if (limiter.ceiling != ceiling) {
        limiter.ceiling = ceiling;
        limiter.limit = ceiling;
    }
}

void reset_measurements(target_limiter& limiter) {
    const target_limiter fresh;
    limiter.limit = limiter.ceiling;
    limiter.service_time = fresh.service_time;
    limiter.baseline_time = fresh.baseline_time;
    limiter.measured = false;
    limiter.rate = fresh.rate;
}

arrival_decision decide_arrival(target_limiter& limiter, const queued_request& request, steady_time deadline,
                                steady_time now) {
    record_demand(limiter.demands, request.priority, request.account, request.weight);
    record_arrival(limiter.queue, request);
    record_time_left(request.is_call ? limiter.call_time_left : limiter.ingress_time_left,
                     std::min(request.due, deadline) - now);
    if (is_below_limit(limiter) && limiter.queue.size() == 0 && take_token(limiter.rate, now)) {
        ++limiter.in_flight;
        return {};
    }
    const std::size_t ahead = requests_ahead(limiter.queue, request) + 1;
    const duration wait = expected_wait(limiter, ahead);
    if (now + wait + limiter.service_time > deadline || now + wait > request.start_by) {
        return refuse(reason::cannot_finish);
    }
    arrival_decision decision;
    decision.what = arrival_decision::action::queue;
    if (size_of_kind(limiter.queue, request) >= queue_limit(limiter, request.is_call)) {
        decision.evicted = evict_for(limiter.queue, request);
        if (!decision.evicted) {
            return refuse(reason::queue_full);
        }
    }
    push_request(limiter.queue, request);
    limiter.max_queued = std::max(limiter.max_queued, limiter.queue.size());
    return decision;
}

std::optional<queued_request> start_next(target_limiter& limiter, steady_time now) {
    if (!is_below_limit(limiter) || limiter.queue.size() == 0 || !take_token(limiter.rate, now)) {
        return std::nullopt;
    }
    auto request = pop_request(limiter.queue, now + limiter.service_time);
    if (request) {
        ++limiter.in_flight;
    }
    return request;
}

void record_end(target_limiter& limiter, call_end end, duration elapsed, steady_time now) {
    cancel_start(limiter);
    if (end == call_end::failed) {
        // A failure is no sign of overload: a lower limit would only waste capacity.
        return;
    }
    if (end != call_end::answered) {
        limiter.limit = std::max(min_limit, limiter.limit * decrease_factor);
        update_demands(limiter, now);
        return;
    }
    const double weight = limiter.measured ? ewma_weight : 1;
    limiter.service_time =
        std::chrono::duration_cast<duration>(limiter.service_time * (1 - weight) + elapsed * weight);
    const double doublings =
        to_seconds(now - limiter.baseline_updated_at) / to_seconds(baseline_doubling_time);
    limiter.baseline_time =
        limiter.measured
            ? std::min(limiter.service_time,
                       std::chrono::duration_cast<duration>(limiter.baseline_time * std::exp2(doublings)))
            : elapsed;
    limiter.baseline_updated_at = now;
    limiter.measured = true;
    limiter.limit = std::min(limiter.ceiling, limiter.limit + 1 / limiter.limit);
    update_demands(limiter, now);
}

void set_limit(target_limiter& limiter, double limit) {
    limiter.limit = std::clamp(limit, min_limit, std::max(min_limit, limiter.ceiling));
}

void cancel_start(target_limiter& limiter) {
    DANDELIONMOUNT_INVARIANT(limiter.in_flight > 0);
    --limiter.in_flight;
}

std::optional<duration> time_to_next_start(const target_limiter& limiter, steady_time now) {
    if (!limiter.rate.per_second || limiter.queue.size() == 0 || !is_below_limit(limiter)) {
        return std::nullopt;
    }
    return time_to_next_token(limiter.rate, now);
}

double effective_limit(const target_limiter& limiter) {
    if (!limiter.rate.per_second || !limiter.measured) {
        return limiter.limit;
    }
    // Little's law: requests in progress are the rate times the service time.
    return std::clamp(*limiter.rate.per_second * to_seconds(limiter.service_time), min_limit,
                      std::max(min_limit, limiter.limit));
}

double admissible_rate(const target_limiter& limiter) {
    if (!limiter.measured) {
        return limiter.rate.per_second.value_or(std::numeric_limits<double>::infinity());
    }
    // Little's law: requests in progress are the rate times the service time.
    const double capacity =
        effective_limit(limiter) / std::max(to_seconds(limiter.service_time), min_service_seconds);
    if (limiter.max_queued == 0) {
        return capacity * idle_headroom;
    }
    return capacity * (busy_headroom - full_queue_reduction * queue_fill_ratio(limiter));
}

void update_demands(target_limiter& limiter, steady_time now) {
    if (is_window_over(limiter.demands, now)) {
        update_shares(limiter.demands, admissible_rate(limiter), now);
        limiter.max_queued = limiter.queue.size();
    }
}

duration retry_delay(const target_limiter& limiter, duration minimum) {
    return std::max(minimum, expected_wait(limiter, limiter.queue.size()));
}

} // namespace dandelionmount
