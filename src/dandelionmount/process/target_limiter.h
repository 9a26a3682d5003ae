#ifndef DANDELIONMOUNT_PROCESS_TARGET_LIMITER_H
#define DANDELIONMOUNT_PROCESS_TARGET_LIMITER_H

#include "dandelionmount/process/clock.h"
#include "dandelionmount/process/demand_shares.h"
#include "dandelionmount/process/reason.h"
#include "dandelionmount/process/target_queue.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandelionmount {

/// What a host has learnt of its own target, and the requests that wait for it.
struct target_limiter {
    /// Most requests at once that the target announced; a ceiling, for announcements mislead.
    double ceiling{1};
    /// Requests at once that the target is given.
    double limit{1};
    std::uint32_t in_flight{0};
    target_queue queue;
    /// Mean time that the target takes for one request, recent ones weighing most.
    duration service_time{std::chrono::milliseconds(5)};
    bool measured{false};
    /// Least mean time seen in a while; what the target takes when it is not overloaded.
    duration baseline_time{std::chrono::milliseconds(5)};
    /// What the fleet asks of the target, and the part of it that should come.
    demand_table demands;
    /// Most requests that waited at once in the present window of the demand.
    std::size_t most_queued{0};
};

/// What happens to a request that arrives.
struct arrival_decision {
    enum class action { start, queue, refuse };
    action what{action::start};
    reason why{reason::none};
    /// The request in the queue that gives way, when there is one.
    std::optional<queued_request> evicted;
};

/// How full the queue is for the kind of requests that fill it most, 0 to 1.
[[nodiscard]] double queue_filled(const target_limiter& limiter);
/// Takes in what the target announces.
void set_ceiling(target_limiter& limiter, std::uint32_t slots);
/// Forgets what was measured, as another process has taken the target's place. Calls under way still count.
void forget_measurements(target_limiter& limiter);
/// Decides on an arrival; a started request counts as in flight, a queued one is in the queue.
[[nodiscard]] arrival_decision decide_arrival(target_limiter& limiter, const queued_request& request,
                                              steady_time deadline, steady_time now);
/// The next request to start, when the limit allows one; it counts as in flight.
[[nodiscard]] std::optional<queued_request> start_next(target_limiter& limiter);

/// How a call at the target ended, for the limit.
enum class call_end { answered, overloaded, failed };
/// Takes in the end of a call.
void record_end(target_limiter& limiter, call_end end, duration took, steady_time now);
/// Sets the limit, within the ceiling.
void set_limit(target_limiter& limiter, double limit);
/// Gives a place back that was taken for a request which then did not reach the target.
void cancel_start(target_limiter& limiter);
/// Works the shares of the demand out anew when their window is over.
void update_demands(target_limiter& limiter, steady_time now);
/// Requests a second that the target can take; infinite before anything was measured.
[[nodiscard]] double usable_capacity(const target_limiter& limiter);
/// When a refused caller should come back: how long the queue takes to empty, at least `least`.
[[nodiscard]] duration retry_delay(const target_limiter& limiter, duration least);

} // namespace dandelionmount

#endif
