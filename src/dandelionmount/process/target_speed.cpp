#include "dandelionmount/process/target_speed.h"

#include <algorithm>
#include <cmath>

namespace dandelionmount {

namespace {

// EWMA weight of a run time or of a timeout result: the time since the previous one in multiples of
// `full_weight_seconds`, within these bounds. Frequent runs weigh little, and the recovery of a target that
// gets few requests is detected soon.
constexpr double min_weight = 0.1;
constexpr double max_weight = 0.3;
constexpr double full_weight_seconds = 1;
// EWMA weight of a run in the failure ratio; low, since single failures happen at any target.
constexpr double failure_weight = 0.05;
// Runs needed before a route's run time is used.
constexpr std::uint64_t min_runs = 5;
// Deadlines below this part of the run time are too short for the route.
constexpr double short_deadline_ratio = 0.8;
// Mean deviations above the mean that bound a run time, and the first deviation as a part of the first run
// time, both as for the retransmission timeout of TCP (RFC 6298).
constexpr double bound_deviations = 4;
constexpr double first_deviation_ratio = 0.5;
// Age from which measurements are ignored.
constexpr duration measurement_ttl = std::chrono::seconds(10);

double ewma_weight(steady_time last, steady_time now) {
    const double idle_seconds = last == steady_time{} ? full_weight_seconds : to_seconds(now - last);
    return std::clamp(idle_seconds / full_weight_seconds, min_weight, max_weight);
}

// Mean age of the running requests of a route, in seconds; 0 if there are none.
double mean_age(const target_speed& speed, const route_speed& route, steady_time now) {
    return route.running == 0
               ? 0
               : to_seconds(now - speed.origin) - route.start_time_sum / static_cast<double>(route.running);
}

} // namespace

void reset_speed(target_speed& speed) {
    speed.failing = 0;
    for (auto& [name, route] : speed.routes) {
        route.run_time = 0;
        route.run_time_deviation = 0;
        route.runs = 0;
        route.timeout_ratio = 0;
    }
}

void record_run_start(target_speed& speed, std::string_view route, steady_time now) {
    if (speed.origin == steady_time{}) {
        speed.origin = now;
    }
    auto found = speed.routes.find(route);
    if (found == speed.routes.end()) {
        found = speed.routes.emplace(std::string(route), route_speed{}).first;
    }
    ++found->second.running;
    found->second.start_time_sum += to_seconds(now - speed.origin);
}

void record_run_end(target_speed& speed, std::string_view route, duration elapsed, run_result result,
                    steady_time now) {
    const auto found = speed.routes.find(route);
    if (found == speed.routes.end() || found->second.running == 0) {
        return;
    }
    route_speed& measured = found->second;
    --measured.running;
    measured.start_time_sum =
        measured.running == 0 ? 0 : measured.start_time_sum - to_seconds(now - elapsed - speed.origin);
    const double seconds = to_seconds(elapsed);
    // A deadline that was too short for the route is no sign of a slow target.
    const bool had_short_deadline =
        result == run_result::timed_out && seconds < short_deadline_ratio * measured.run_time;
    if (result == run_result::cancelled || had_short_deadline) {
        return;
    }
    const double timed_out = result == run_result::timed_out ? 1 : 0;
    measured.timeout_ratio +=
        ewma_weight(measured.timeout_ratio_updated_at, now) * (timed_out - measured.timeout_ratio);
    measured.timeout_ratio_updated_at = now;
    const double failed = result == run_result::failed ? 1 : 0;
    speed.failing += failure_weight * (failed - speed.failing);
    // Not a run time: a failure can be fast, and a request that timed out below the mean would have taken
    // longer.
    if (result == run_result::failed || (result == run_result::timed_out && seconds < measured.run_time)) {
        return;
    }
    if (measured.runs == 0) {
        measured.run_time = seconds;
        measured.run_time_deviation = first_deviation_ratio * seconds;
    } else {
        const double weight = ewma_weight(measured.run_time_updated_at, now);
        const double deviation = std::abs(seconds - measured.run_time);
        measured.run_time_deviation += weight * (deviation - measured.run_time_deviation);
        measured.run_time += weight * (seconds - measured.run_time);
    }
    measured.run_time_updated_at = now;
    ++measured.runs;
}

std::map<std::string, route_times> times_of_routes(const target_speed& speed, steady_time now) {
    std::map<std::string, route_times> times;
    for (const auto& [name, route] : speed.routes) {
        if (route.running == 0 && now - route.run_time_updated_at >= measurement_ttl) {
            continue;
        }
        route_times current;
        if (route.runs >= min_runs) {
            current.run_time = route.run_time;
        }
        current.running_for = mean_age(speed, route, now);
        if (current.run_time || current.running_for > 0) {
            times[name] = current;
        }
    }
    return times;
}

std::optional<duration> run_time_bound(const target_speed& speed, std::string_view route, steady_time now) {
    const auto found = speed.routes.find(route);
    if (found == speed.routes.end() || found->second.runs == 0) {
        return std::nullopt;
    }
    const route_speed& measured = found->second;
    const double bound = measured.run_time + bound_deviations * measured.run_time_deviation;
    // Requests that hang show in their age before they end.
    return from_seconds(std::max(bound, mean_age(speed, measured, now)));
}

double timeout_share(const target_speed& speed, std::string_view route, steady_time now) {
    const auto found = speed.routes.find(route);
    const bool known =
        found != speed.routes.end() && now - found->second.timeout_ratio_updated_at < measurement_ttl;
    return known ? found->second.timeout_ratio : 0;
}

} // namespace dandelionmount
