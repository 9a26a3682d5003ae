#ifndef DANDELIONMOUNT_PROCESS_TARGET_SPEED_H
#define DANDELIONMOUNT_PROCESS_TARGET_SPEED_H

#include "dandelionmount/process/clock.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

// How fast and how well the target of this host does its work, by what requests meet there.

namespace dandelionmount {

/// One route's requests at the target.
struct route_speed {
    /// Mean time that a request runs, in seconds; recent runs weigh most.
    double run_time{0};
    std::uint64_t runs{0};
    /// Share of the runs that did not end within their deadline, 0 to 1.
    double timed_out{0};
    steady_time last_result;
    steady_time last_end;
    std::uint32_t running{0};
    /// Sum of the times at which the running ones started, in seconds since `target_speed::origin`.
    double started_sum{0};
};

struct target_speed {
    steady_time origin;
    std::map<std::string, route_speed, std::less<>> routes;
    /// Share of the requests that ended in a failure of the target or a rejection, 0 to 1.
    double failing{0};
};

/// How a request ended, for the target's speed. `cut` says nothing of what the target would have answered.
enum class run_result { answered, failed, timed_out, cancelled };

/// Forgets what was measured, as another process has taken the target's place.
void forget_speed(target_speed& speed);
void record_run_start(target_speed& speed, std::string_view route, steady_time now);
void record_run_end(target_speed& speed, std::string_view route, duration took, run_result result,
                    steady_time now);

/// Times of one route in seconds.
struct route_times {
    /// Mean run time; nothing while too little is known.
    std::optional<double> run_time;
    /// Mean time for which those that run have been running: what hangs shows here before it ends.
    double running_for{0};

    /// What a request can be expected to take at least.
    [[nodiscard]] double longest() const { return std::max(run_time.value_or(0), running_for); }
};

/// Times of the routes that were used lately.
[[nodiscard]] std::map<std::string, route_times> times_of_routes(const target_speed& speed, steady_time now);

/// Share of the route's runs that can't be expected to end within their deadline; 0 while little is known.
[[nodiscard]] double timeout_share(const target_speed& speed, std::string_view route, steady_time now);

} // namespace dandelionmount

#endif
