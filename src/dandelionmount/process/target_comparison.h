#ifndef DANDELIONMOUNT_PROCESS_TARGET_COMPARISON_H
#define DANDELIONMOUNT_PROCESS_TARGET_COMPARISON_H

#include "dandelionmount/process/clock.h"
#include "dandelionmount/process/target_speed.h"

#include <map>
#include <string>
#include <vector>

// Finds the targets that are slow or failing compared with the others of their service, or heavily loaded.
// Handles single targets that turn slow or fail some of their requests: in a large fleet each sender has too
// few requests in flight at one target to see that, and a slow target, which answers rarely, looks idle.

namespace dandelionmount {

/// Measurements that a host reports of its target.
struct target_measurements {
    std::string service;
    std::map<std::string, route_times> routes;
    /// Requests at the target and in its queue, divided by its concurrency limit.
    double load{0};
    /// Share of the requests that fail or are rejected.
    double failing{0};
};

/// Result of the comparison for one target.
struct target_health {
    double load{0};
    /// Run time relative to the lower quartile of the service; 1 if not notably slower.
    double slowness{1};
    /// Share of failing requests above the lower quartile of the service.
    double failing{0};
};

/// Latest report on a host's target.
struct measurement_report {
    target_measurements measurements;
    steady_time received_at;
};
using measurement_reports = std::map<std::string, measurement_report, std::less<>>;
using target_outliers = std::map<std::string, target_health, std::less<>>;

/// Returns the outliers by host; only the worst if there are many. Reports older than a second are ignored.
[[nodiscard]] target_outliers find_outliers(const measurement_reports& targets, steady_time now);
/// Expected cost of a request relative to a normal target, with failures counted as lost time.
[[nodiscard]] double cost_factor(const target_health& health);

} // namespace dandelionmount

#endif
