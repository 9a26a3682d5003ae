#include "dandelionmount/process/target_guard.h"

#include "dandelionmount/process/result.h"

#include <algorithm>

namespace dandelionmount {

namespace {

constexpr double decrease_factor = 0.9;
constexpr double least_limit = 1;
// Weight of the newest call in the mean time.
constexpr double newest_weight = 0.1;
// Drift of the usual time upwards for each call, so that a lasting change is accepted.
constexpr double usual_drift = 1.002;
// Rise of the level in a window in which all is shed, and its fall in one in which nothing is.
constexpr double level_rise = 0.1;
constexpr double level_fall = 0.1;
constexpr duration level_window = std::chrono::milliseconds(100);
// The queue holds what the target works off in about two service times.
constexpr double queue_factor = 2;
constexpr std::size_t least_queue = 8;

std::size_t queue_limit(const target_guard& guard) {
    return std::max(least_queue, static_cast<std::size_t>(guard.limit * queue_factor));
}

duration expected_wait(const target_guard& guard, std::size_t ahead) {
    return std::chrono::duration_cast<duration>(
        guard.service_time * (static_cast<double>(ahead) / std::max(guard.limit, least_limit)));
}

arrival_decision refuse(target_guard& guard, reason why) {
    ++guard.shed_in_window;
    return {arrival_decision::action::refuse, why, std::nullopt};
}

bool has_free_place(const target_guard& guard) {
    return guard.in_flight < static_cast<std::uint32_t>(guard.limit);
}

} // namespace

void set_ceiling(target_guard& guard, std::uint32_t slots) {
    const double ceiling = std::max<double>(least_limit, slots);
    if (guard.ceiling != ceiling) {
        guard.ceiling = ceiling;
        guard.limit = ceiling;
    }
}

arrival_decision decide_arrival(target_guard& guard, const queued_request& request, steady_time deadline,
                                steady_time now) {
    ++guard.arrived_in_window;
    guard.lowest_in_window = std::min(guard.lowest_in_window, request.priority);
    if (has_free_place(guard) && guard.queue.size == 0) {
        ++guard.in_flight;
        return {};
    }
    const std::size_t ahead = requests_ahead(guard.queue, request.priority) + 1;
    const duration wait = expected_wait(guard, ahead);
    if (now + wait + guard.service_time > deadline) {
        return refuse(guard, reason::cannot_finish);
    }
    arrival_decision decision;
    decision.what = arrival_decision::action::queue;
    if (guard.queue.size >= queue_limit(guard)) {
        ++guard.shed_in_window;
        decision.evicted = evict_for(guard.queue, request.priority, request.account);
        if (!decision.evicted) {
            return refuse(guard, reason::queue_full);
        }
    }
    push_request(guard.queue, request);
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
    if (end != call_end::answered) {
        guard.limit = std::max(least_limit, guard.limit * decrease_factor);
        ++guard.shed_in_window;
        update_level(guard, now);
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
    update_level(guard, now);
}

void cancel_start(target_guard& guard) {
    DANDELIONMOUNT_INVARIANT(guard.in_flight > 0);
    --guard.in_flight;
}

void update_level(target_guard& guard, steady_time now) {
    if (now - guard.window_began < level_window) {
        return;
    }
    guard.window_began = now;
    if (guard.shed_in_window > 0) {
        const double arrived = std::max(guard.arrived_in_window, guard.shed_in_window);
        const double shed = guard.shed_in_window / arrived;
        // Levels below the lowest priority that arrives shed nothing.
        const double floor = guard.lowest_in_window;
        const double raised = std::max(guard.admission_level, floor) + level_rise * shed;
        guard.admission_level = std::min<double>(std::min<double>(highest_priority, floor + 0.9), raised);
    } else {
        guard.admission_level = std::max(0.0, guard.admission_level - level_fall);
    }
    guard.arrived_in_window = 0;
    guard.shed_in_window = 0;
    guard.lowest_in_window = highest_priority;
}

duration return_time(const target_guard& guard, duration least) {
    return std::max(least, expected_wait(guard, guard.queue.size));
}

} // namespace dandelionmount
