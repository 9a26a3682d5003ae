#ifndef DANDELIONMOUNT_PROCESS_TARGET_SPEED_H
#define DANDELIONMOUNT_PROCESS_TARGET_SPEED_H

#include "dandelionmount/process/clock.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

// Run times and failures of this host's target, measured from its requests.

namespace dandelionmount {

/// Measurements of one route.
struct route_speed {
    /// EWMA of the run time, in seconds.
    double run_time{0};
    /// EWMA of the distance between a run time and their mean, in seconds.
    double run_time_deviation{0};
    /// Number of run times measured.
    std::uint64_t runs{0};
    /// EWMA of the share of the runs that missed their deadline, 0 to 1.
    double timeout_ratio{0};
    steady_time timeout_ratio_updated_at;
    steady_time run_time_updated_at;
    std::uint32_t running{0};
    /// Sum of the start times of the running requests, in seconds since `target_speed::origin`.
    double start_time_sum{0};
};

struct target_speed {
    steady_time origin;
    std::map<std::string, route_speed, std::less<>> routes;
    /// EWMA of the share of the requests that the target failed or rejected, 0 to 1.
    double failing{0};
};

/// Result of a run. A cancelled run is not counted, as it does not show how the target would have answered.
enum class run_result { answered, failed, timed_out, cancelled };

/// Discards the measurements after the target's process was replaced. Running requests still count.
void reset_speed(target_speed& speed);
void record_run_start(target_speed& speed, std::string_view route, steady_time now);
void record_run_end(target_speed& speed, std::string_view route, duration elapsed, run_result result,
                    steady_time now);

/// Times of one route, in seconds.
struct route_times {
    /// Mean run time; nothing while there are too few runs.
    std::optional<double> run_time;
    /// Mean age of the running requests, which shows hanging requests before they end.
    double running_for{0};

    /// Lower bound of the expected run time.
    [[nodiscard]] double min_expected_time() const { return std::max(run_time.value_or(0), running_for); }
};

/// Times of the routes with running requests or recent run times.
[[nodiscard]] std::map<std::string, route_times> times_of_routes(const target_speed& speed, steady_time now);

/// Time that hardly any run of the route exceeds, from the runs measured so far; nothing before the first.
[[nodiscard]] std::optional<duration> run_time_bound(const target_speed& speed, std::string_view route,
                                                     steady_time now);

/// Share of the route's runs expected to miss their deadline; 0 without recent results.
[[nodiscard]] double timeout_share(const target_speed& speed, std::string_view route, steady_time now);

} // namespace dandelionmount

#endif
