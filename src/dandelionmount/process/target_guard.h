#ifndef DANDELIONMOUNT_PROCESS_TARGET_GUARD_H
#define DANDELIONMOUNT_PROCESS_TARGET_GUARD_H

#include "dandelionmount/process/admission_queue.h"
#include "dandelionmount/process/clock.h"
#include "dandelionmount/process/reason.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandelionmount {

/// Highest priority; requests of it are never shed before they reach the target's host.
constexpr std::uint32_t highest_priority = 9;

/// What a host has learnt of its own target, and the requests that wait for it.
struct target_guard {
    /// Most requests at once that the target announced; a ceiling, for announcements mislead.
    double ceiling{1};
    /// Requests at once that the target is given.
    double limit{1};
    std::uint32_t in_flight{0};
    admission_queue queue;
    /// Mean time that the target takes for one request, recent ones weighing most.
    duration service_time{std::chrono::milliseconds(5)};
    bool measured{false};
    /// Least mean time seen in a while; what the target takes when it is not overloaded.
    duration usual_time{std::chrono::milliseconds(5)};
    /// Requests of lower priority should be shed, those of this one in part: 4.3 sheds 3 of 10 of priority 4.
    double admission_level{0};
    std::uint32_t arrived_in_window{0};
    std::uint32_t shed_in_window{0};
    /// Lowest priority that arrived in the window.
    std::uint32_t lowest_in_window{highest_priority};
    steady_time window_began;
};

/// What happens to a request that arrives.
struct arrival_decision {
    enum class action { start, queue, refuse };
    action what{action::start};
    reason why{reason::none};
    /// The request in the queue that gives way, when there is one.
    std::optional<queued_request> evicted;
};

/// Takes in what the target announces.
void set_ceiling(target_guard& guard, std::uint32_t slots);
/// Decides on an arrival; a started request counts as in flight, a queued one is in the queue.
[[nodiscard]] arrival_decision decide_arrival(target_guard& guard, const queued_request& request,
                                              steady_time deadline, steady_time now);
/// The next request to start, when the limit allows one; it counts as in flight.
[[nodiscard]] std::optional<queued_request> next_start(target_guard& guard);

/// How a call at the target ended, for the limit.
enum class call_end { answered, overloaded, failed };
/// Takes in the end of a call.
void note_end(target_guard& guard, call_end end, duration took, steady_time now);
/// Gives a place back that was taken for a request which then did not reach the target.
void cancel_start(target_guard& guard);
/// Moves the admission level when its window is over.
void update_level(target_guard& guard, steady_time now);
/// When a refused caller should come back: how long the queue takes to empty, at least `least`.
[[nodiscard]] duration return_time(const target_guard& guard, duration least);

} // namespace dandelionmount

#endif
