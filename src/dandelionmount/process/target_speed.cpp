#include "dandelionmount/process/target_speed.h"

#include <algorithm>

namespace dandelionmount {

namespace {

// Weight of a new run time: of frequent ones each weighs little, one after a silence of a second more, so
// that a target that gets few requests is soon known to have recovered.
constexpr double least_weight = 0.1;
constexpr double most_weight = 0.3;
constexpr double full_weight_seconds = 1;
// Weight of a new success or failure: single failures happen at any target.
constexpr double result_weight = 0.05;
// Fewer runs than these tell nothing of a route.
constexpr std::uint64_t least_runs = 5;
// A deadline below this part of the run time is too short for the route.
constexpr double short_deadline = 0.8;
// What was measured longer ago tells nothing of now.
constexpr duration speed_life = std::chrono::seconds(10);

double weight_after(steady_time last, steady_time now) {
    const double silence = last == steady_time{} ? full_weight_seconds : to_seconds(now - last);
    return std::clamp(silence / full_weight_seconds, least_weight, most_weight);
}

} // namespace

void forget_speed(target_speed& speed) {
    speed.failing = 0;
    for (auto& [name, route] : speed.routes) {
        route.run_time = 0;
        route.runs = 0;
        route.timed_out = 0;
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
    found->second.started_sum += to_seconds(now - speed.origin);
}

void record_run_end(target_speed& speed, std::string_view route, duration took, run_result result,
                    steady_time now) {
    const auto found = speed.routes.find(route);
    if (found == speed.routes.end() || found->second.running == 0) {
        return;
    }
    route_speed& one = found->second;
    --one.running;
    one.started_sum = one.running == 0 ? 0 : one.started_sum - to_seconds(now - took - speed.origin);
    const double seconds = to_seconds(took);
    // A deadline that was short from the start says nothing about the target.
    const bool was_short = result == run_result::timed_out && seconds < short_deadline * one.run_time;
    if (result == run_result::cancelled || was_short) {
        return;
    }
    const double timed_out = result == run_result::timed_out ? 1 : 0;
    one.timed_out += weight_after(one.last_result, now) * (timed_out - one.timed_out);
    one.last_result = now;
    const double failed = result == run_result::failed ? 1 : 0;
    speed.failing += result_weight * (failed - speed.failing);
    // A failure may come fast, and an overdue request would have taken longer still.
    if (result == run_result::failed || (result == run_result::timed_out && seconds < one.run_time)) {
        return;
    }
    one.run_time =
        one.runs == 0 ? seconds : one.run_time + weight_after(one.last_end, now) * (seconds - one.run_time);
    one.last_end = now;
    ++one.runs;
}

std::map<std::string, route_times> times_of_routes(const target_speed& speed, steady_time now) {
    std::map<std::string, route_times> times;
    for (const auto& [name, route] : speed.routes) {
        if (route.running == 0 && now - route.last_end >= speed_life) {
            continue;
        }
        route_times one;
        if (route.runs >= least_runs) {
            one.run_time = route.run_time;
        }
        if (route.running > 0) {
            one.running_for =
                to_seconds(now - speed.origin) - route.started_sum / static_cast<double>(route.running);
        }
        if (one.run_time || one.running_for > 0) {
            times[name] = one;
        }
    }
    return times;
}

double timeout_share(const target_speed& speed, std::string_view route, steady_time now) {
    const auto found = speed.routes.find(route);
    const bool known = found != speed.routes.end() && now - found->second.last_result < speed_life;
    return known ? found->second.timed_out : 0;
}

} // namespace dandelionmount
