#include "dandelionmount/process/target_guard.h"

#include "dandelionmount/process/result.h"

#include <algorithm>
#include <limits>

namespace dandelionmount {

namespace {

constexpr double decrease_factor = 0.9;
constexpr double least_limit = 1;
constexpr double least_service_seconds = 1e-6;
// Weight of the newest call in the mean time.
constexpr double newest_weight = 0.2;
// Drift of the usual time upwards for each call, so that a lasting change is accepted.
constexpr double usual_drift = 1.002;
// Part of the measured capacity that is asked for while nothing waits, so that spare capacity is found.
constexpr double idle_headroom = 2;
// The same with a queue that has just become empty, and what a full queue takes off it: the queue settles
// where as much is asked for as is worked off.
constexpr double busy_headroom = 1.15;
constexpr double full_queue_reduction = 0.4;
// The queue holds what the target works off in about two service times.
constexpr double queue_factor = 2;
constexpr std::size_t least_queue = 8;
// Calls may wait longer: refusing one wastes the work of all requests above it.
constexpr double call_queue_factor = 6;

std::size_t queue_limit(const target_guard& guard, bool is_call) {
    const double factor = is_call ? call_queue_factor : queue_factor;
    return std::max(least_queue, static_cast<std::size_t>(guard.limit * factor));
}

duration expected_wait(const target_guard& guard, std::size_t ahead) {
    return std::chrono::duration_cast<duration>(
        guard.service_time * (static_cast<double>(ahead) / std::max(guard.limit, least_limit)));
}

arrival_decision refuse(reason why) {
    return {arrival_decision::action::refuse, why, std::nullopt};
}

bool has_free_place(const target_guard& guard) {
    return guard.in_flight < static_cast<std::uint32_t>(guard.limit);
}

} // namespace

double queue_filled(const target_guard& guard) {
    const double entering =
        static_cast<double>(guard.queue.entering.size) / static_cast<double>(queue_limit(guard, false));
    const double calls =
        static_cast<double>(guard.queue.calls.size) / static_cast<double>(queue_limit(guard, true));
    return std::min(1.0, std::max(entering, calls));
}

void set_ceiling(target_guard& guard, std::uint32_t slots) {
    const double ceiling = std::max<double>(least_limit, slots);
    if (guard.ceiling != ceiling) {
        guard.ceiling = ceiling;
        guard.limit = ceiling;
    }
}

void forget_measurements(target_guard& guard) {
    const target_guard fresh;
    guard.limit = guard.ceiling;
    guard.service_time = fresh.service_time;
    guard.usual_time = fresh.usual_time;
    guard.measured = false;
}

arrival_decision decide_arrival(target_guard& guard, const queued_request& request, steady_time deadline,
                                steady_time now) {
    note_demand(guard.demands, request.priority, request.account, request.weight);
    note_arrival(guard.queue, request);
    if (has_free_place(guard) && guard.queue.size() == 0) {
        ++guard.in_flight;
        return {};
    }
    const std::size_t ahead = requests_ahead(guard.queue, request) + 1;
    const duration wait = expected_wait(guard, ahead);
    if (now + wait + guard.service_time > deadline) {
        return refuse(reason::cannot_finish);
    }
    arrival_decision decision;
    decision.what = arrival_decision::action::queue;
    if (size_of_kind(guard.queue, request) >= queue_limit(guard, request.is_call)) {
        decision.evicted = evict_for(guard.queue, request);
        if (!decision.evicted) {
            return refuse(reason::queue_full);
        }
    }
    push_request(guard.queue, request);
    guard.most_queued = std::max(guard.most_queued, guard.queue.size());
    return decision;
}

std::optional<queued_request> next_start(target_guard& guard) {
    if (!has_free_place(guard)) {
        return std::nullopt;
    }
    auto request = pop_request(guard.queue);
    if (request) {
        ++guard.in_flight;
    }
    return request;
}

void note_end(target_guard& guard, call_end end, duration took, steady_time now) {
    cancel_start(guard);
    if (end == call_end::failed) {
        // Broken answers say nothing about load: a lower limit would only waste what the target can do.
        return;
    }
    if (end != call_end::answered) {
        guard.limit = std::max(least_limit, guard.limit * decrease_factor);
        update_demands(guard, now);
        return;
    }
    const double weight = guard.measured ? newest_weight : 1;
    guard.service_time =
        std::chrono::duration_cast<duration>(guard.service_time * (1 - weight) + took * weight);
    guard.usual_time = guard.measured
                           ? std::min(guard.service_time,
                                      std::chrono::duration_cast<duration>(guard.usual_time * usual_drift))
                           : took;
    guard.measured = true;
    guard.limit = std::min(guard.ceiling, guard.limit + 1 / guard.limit);
    update_demands(guard, now);
}

void set_limit(target_guard& guard, double limit) {
    guard.limit = std::clamp(limit, least_limit, std::max(least_limit, guard.ceiling));
}

void cancel_start(target_guard& guard) {
    DANDELIONMOUNT_INVARIANT(guard.in_flight > 0);
    --guard.in_flight;
}

double usable_capacity(const target_guard& guard) {
    if (!guard.measured) {
        return std::numeric_limits<double>::infinity();
    }
    // Little's law: what is under way is the rate times the time that each takes.
    const double capacity = guard.limit / std::max(to_seconds(guard.service_time), least_service_seconds);
    if (guard.most_queued == 0) {
        return capacity * idle_headroom;
    }
    return capacity * (busy_headroom - full_queue_reduction * queue_filled(guard));
}

void update_demands(target_guard& guard, steady_time now) {
    if (is_window_over(guard.demands, now)) {
        update_shares(guard.demands, usable_capacity(guard), now);
        guard.most_queued = guard.queue.size();
    }
}

duration return_time(const target_guard& guard, duration least) {
    return std::max(least, expected_wait(guard, guard.queue.size()));
}

} // namespace dandelionmount
