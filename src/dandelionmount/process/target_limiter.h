#ifndef DANDELIONMOUNT_PROCESS_TARGET_LIMITER_H
#define DANDELIONMOUNT_PROCESS_TARGET_LIMITER_H

#include "dandelionmount/process/clock.h"
#include "dandelionmount/process/demand_shares.h"
#include "dandelionmount/process/reason.h"
#include "dandelionmount/process/target_queue.h"
#include "dandelionmount/process/target_rate.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandelionmount {

/// Concurrency limiter and queue in front of a host's own target.
struct target_limiter {
    /// Upper bound of `limit`, from the slots that the target announced. The limit can be lower, since
    /// announcements can be wrong.
    double ceiling{1};
    /// Concurrent requests that the target may be given.
    double limit{1};
    std::uint32_t in_flight{0};
    target_queue queue;
    /// EWMA of the time that the target takes for a request; a default until `measured` is set.
    duration service_time{std::chrono::milliseconds(5)};
    bool measured{false};
    /// Minimum of `service_time` with a slow upward drift: the time without overload.
    duration baseline_time{std::chrono::milliseconds(5)};
    steady_time baseline_updated_at;
    /// Demand of the fleet for the target, and the admitted part.
    demand_table demands;
    /// EWMA of the time until the responses to requests of callers, and to calls, are due when they arrive.
    std::optional<duration> ingress_time_left;
    std::optional<duration> call_time_left;
    /// Highest number of queued requests in the current demand window.
    std::size_t max_queued{0};
    /// Rate limit that the target names; starts are held back for it besides the limit.
    target_rate rate;
};

/// Decision on an arriving request.
struct arrival_decision {
    enum class action { start, queue, refuse };
    action what{action::start};
    reason why{reason::none};
    /// Queued request that is displaced, if any.
    std::optional<queued_request> evicted;
};

/// Fill ratio of the ingress queue or the call queue, whichever is fuller, 0 to 1: by the number of requests
/// in it, or by the time that they have to wait.
[[nodiscard]] double queue_fill_ratio(const target_limiter& limiter);
/// Sets the ceiling to the target's usable slots. If it changes, the limit is reset to it.
void set_ceiling(target_limiter& limiter, std::uint32_t slots);
/// Discards the measurements and the target's rate, and resets the limit after the target's process was
/// replaced. Calls in flight still count.
void reset_measurements(target_limiter& limiter);
/// Admits, queues or refuses a request. A started one counts as in flight; a queued one is in the queue.
[[nodiscard]] arrival_decision decide_arrival(target_limiter& limiter, const queued_request& request,
                                              steady_time deadline, steady_time now);
/// Removes the next request from the queue if the limit and the target's rate allow; it counts as in flight.
[[nodiscard]] std::optional<queued_request> start_next(target_limiter& limiter, steady_time now);
/// When only the target's rate holds back a queued request, the time until it may start; otherwise nullopt.
[[nodiscard]] std::optional<duration> time_to_next_start(const target_limiter& limiter, steady_time now);
/// The limit, or where the target's rate binds first, the concurrent requests that correspond to the rate.
[[nodiscard]] double effective_limit(const target_limiter& limiter);

/// Result of a call at the target, for the limit.
enum class call_end { answered, overloaded, failed };
/// Records the end of a call and adapts the limit: additive increase, multiplicative decrease.
void record_end(target_limiter& limiter, call_end end, duration elapsed, steady_time now);
/// Sets the limit, capped at the ceiling.
void set_limit(target_limiter& limiter, double limit);
/// Ends a started request without a result for the limit, for instance one that did not reach the target.
void cancel_start(target_limiter& limiter);
/// Recomputes the demand shares if their window is over.
void update_demands(target_limiter& limiter, steady_time now);
/// Admissible requests per second, from the limit, the service time and the queue; infinite before the first
/// measurement.
[[nodiscard]] double admissible_rate(const target_limiter& limiter);
/// Delay before a refused caller should retry: the time to drain the queue, at least `minimum`.
[[nodiscard]] duration retry_delay(const target_limiter& limiter, duration minimum);

} // namespace dandelionmount

#endif
