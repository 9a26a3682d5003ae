#include "dandelionmount/process/timeout_trial.h"

#include <algorithm>

namespace dandelionmount {

namespace {

// Requests that started before have ended after this time, or count as slow anyway.
constexpr duration settle_time = std::chrono::seconds(1);
// A target that is slow because of too many requests runs them faster in proportion; less than this is no
// effect.
constexpr double least_effect = 0.85;
// How long a trial without effect counts.
constexpr duration hold_time = std::chrono::seconds(10);

// A route of which more requests than this miss their deadline tells nothing: runs that are cut look faster
// than they are.
constexpr double most_overdue = 0.05;

// Run times as a multiple of those before, over the routes known at both times; 0 when there are none.
double relative_run_time(const std::map<std::string, double>& before,
                         const std::map<std::string, double>& after) {
    double sum = 0;
    int routes = 0;
    for (const auto& [route, seconds] : after) {
        const auto found = before.find(route);
        if (found != before.end() && found->second > 0) {
            sum += seconds / found->second;
            ++routes;
        }
    }
    return routes == 0 ? 0 : sum / routes;
}

std::map<std::string, double> telling_run_times(const target_speed& speed, steady_time now) {
    std::map<std::string, double> telling;
    for (const auto& [route, times] : times_of_routes(speed, now)) {
        if (times.run_time && timeout_share(speed, route, now) <= most_overdue) {
            telling[route] = *times.run_time;
        }
    }
    return telling;
}

} // namespace

limit_decision decide_on_timeout(timeout_trial& trial, double limit, const target_speed& speed,
                                 steady_time now) {
    if (now < trial.held.until) {
        return {limit_action::keep, std::min(limit, trial.held.limit)};
    }
    // A limit that has recovered since makes the earlier trial meaningless.
    if (trial.limit_before == 0 || limit > trial.limit_before) {
        trial.limit_before = limit;
        trial.run_times_before = telling_run_times(speed, now);
        trial.reached = steady_time{};
    }
    if (limit > trial.limit_before * trial_depth) {
        return {limit_action::lower, limit};
    }
    if (trial.reached == steady_time{}) {
        trial.reached = now;
    }
    if (now - trial.reached < settle_time) {
        return {limit_action::keep, limit};
    }
    auto times = telling_run_times(speed, now);
    if (relative_run_time(trial.run_times_before, times) > least_effect) {
        const double before = trial.limit_before;
        trial = timeout_trial{};
        return restore_limit(trial.held, before, now, hold_time);
    }
    trial.limit_before = limit;
    trial.run_times_before = std::move(times);
    trial.reached = steady_time{};
    return {limit_action::lower, limit};
}

} // namespace dandelionmount
