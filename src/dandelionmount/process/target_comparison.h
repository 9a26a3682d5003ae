#ifndef DANDELIONMOUNT_PROCESS_TARGET_COMPARISON_H
#define DANDELIONMOUNT_PROCESS_TARGET_COMPARISON_H

#include "dandelionmount/process/clock.h"
#include "dandelionmount/process/target_speed.h"

#include <map>
#include <string>
#include <vector>

// Which targets of a fleet are slow, failing or loaded beside the others of their service. It answers to
// single targets that turn slow or fail part of their requests: in a large fleet each sender has too few
// requests under way at one target to see that, and a slow target, which answers seldom, looks idle.

namespace dandelionmount {

/// What a host tells of its target.
struct target_state {
    std::string service;
    std::map<std::string, route_times> routes;
    /// Requests at the target and in its queue, for each place.
    double load{0};
    /// Share of the requests that fail or are rejected.
    double failing{0};
};

/// What the fleet should know of a target.
struct target_health {
    double load{0};
    /// Run time as a multiple of that of the service's faster targets; 1 for one of those.
    double slowness{1};
    /// Share of the requests that fail there beyond those that fail at the service's better targets.
    double failing{0};
};

/// What was heard last of a host's target.
struct heard_target {
    target_state state;
    steady_time heard;
};
using heard_targets = std::map<std::string, heard_target, std::less<>>;
using target_outliers = std::map<std::string, target_health, std::less<>>;

/// Notes on the targets that stand out, by host; the worst of them when there are many.
[[nodiscard]] target_outliers compare_targets(const heard_targets& targets, steady_time now);
/// How much longer a request can be expected to take at the target, failures counted as lost time.
[[nodiscard]] double cost_factor(const target_health& note);

} // namespace dandelionmount

#endif
