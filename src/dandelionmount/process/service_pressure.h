#ifndef DANDELIONMOUNT_PROCESS_SERVICE_PRESSURE_H
#define DANDELIONMOUNT_PROCESS_SERVICE_PRESSURE_H

#include "dandelionmount/process/call_attribution.h"
#include "dandelionmount/process/clock.h"
#include "dandelionmount/process/target_limiter.h"
#include "dandelionmount/request/demand_ratio_table.h"
#include "dandelionmount/wire/peer.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

// Load on a target, and on the services that its requests call, as the ratio of fleet demand to capacity.
// Handles overload deep in a call graph: a refusal there wastes the work already done upstream, so the ratio
// is passed upstream with each response, and the ingress nodes shed requests by it.

namespace dandelionmount {

/// Runs or calls that ended, and how many of them failed.
struct failure_counts {
    double ended{0};
    double failed{0};

    void add(bool has_failed) {
        ended += 1;
        failed += has_failed ? 1 : 0;
    }
};

/// Whether a route's runs fail as often as the calls of a service do. A route that needs the service fails
/// with its calls; one that does not fail needs no protection from its overload.
struct shared_failures {
    /// Runs of the route that would have failed if each made one call. EWMA sum, as the next.
    double expected{0};
    double observed{0};
};

/// Load of one route at this host's target.
struct route_load {
    /// Requests in the current window: all demanded, including those that the ingress nodes shed, and those
    /// that arrived.
    double demanded{0};
    double arrived{0};
    /// EWMA of both, per second.
    double demand_rate{0};
    double arrival_rate{0};
    /// EWMA of the run time of a request, in seconds.
    double run_time{0};
    std::uint32_t running{0};
    /// Expected number of repeats among the running requests.
    double running_repeats{0};
    /// Requests in the current attribution interval, counted half at their start and half at their end, as
    /// their calls lie between.
    double interval_requests{0};
    /// Runs that ended in the interval, without those that were cancelled or timed out.
    failure_counts interval_runs;
};

/// Load of one host's target and of the services downstream.
struct service_pressure {
    std::map<std::string, route_load, std::less<>> routes;
    /// Concurrent requests that the fleet demands of the target, and that the target can take.
    double demanded_concurrency{0};
    double usable_concurrency{1};
    /// Demand ratios received with the responses to the target's calls, by called service and by the service
    /// that has the ratio: the called one or one further downstream.
    demand_ratio_table callee_ratios;
    call_attribution attribution;
    /// By route and called service.
    std::map<std::pair<std::string, std::string>, shared_failures> shared;
    /// Calls that ended in the current attribution interval, by service.
    std::map<std::string, failure_counts, std::less<>> ended_calls;
    /// Calls in the current attribution interval, by service.
    std::map<std::string, double, std::less<>> calls;
    steady_time window_began;
    steady_time interval_began;
};

/// Records an arrival; `weight` is the number of requests that it represents, 0 for a further attempt.
void record_arrival(service_pressure& pressure, std::string_view route, double weight);
/// Records that a request starts to run; `repeat_share` is the probability that it is a repeat.
void record_start(service_pressure& pressure, std::string_view route, double repeat_share);
void record_end(service_pressure& pressure, std::string_view route, double repeat_share, duration elapsed);
/// Records how a run ended that was neither cancelled nor timed out: a run may take too long for other
/// reasons.
void record_run_result(service_pressure& pressure, std::string_view route, bool failed);
/// Records a call made by the target.
void record_call(service_pressure& pressure, std::string_view service);
/// Records how such a call ended that was neither cancelled nor timed out.
void record_call_result(service_pressure& pressure, std::string_view service, bool failed);
/// Records the highest demand ratio received with the response to such a call.
void record_call_pressure(service_pressure& pressure, std::string_view service, const service_demand& demand,
                          steady_time now);
/// Updates the load if the window is over. Must be called several times a second.
void update_pressure(service_pressure& pressure, const target_limiter& limiter, steady_time now);
/// Adds the target's own load to the report sent with a response. Senders sum it over the workers of a
/// service: one worker with little capacity is no overload while others have some left.
void add_load(const service_pressure& pressure, wire::load_report& load);
/// Highest demand ratio of the services downstream that requests of the route call.
[[nodiscard]] service_demand downstream_pressure(const service_pressure& pressure, std::string_view route,
                                                 steady_time now);
/// Probability that a call of the service comes from a run that is a repeat.
[[nodiscard]] double repeat_share_of_calls(const service_pressure& pressure, std::string_view service);
/// Mean number of requests that a call of the service represents, from the weights of the requests that cause
/// such calls.
[[nodiscard]] double call_weight(const service_pressure& pressure, std::string_view service);

} // namespace dandelionmount

#endif
