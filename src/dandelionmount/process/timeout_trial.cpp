#include "dandelionmount/process/timeout_trial.h"

#include <algorithm>

namespace dandelionmount {

namespace {

// Requests started under the previous limit have ended after this delay, or count as slow anyway.
constexpr duration effect_delay = std::chrono::seconds(1);
// An overloaded target speeds up in proportion to the lower limit. A run time ratio above this counts as no
// effect.
constexpr double max_effective_ratio = 0.85;
// Time until a new trial after one that had no effect.
constexpr duration hold_time = std::chrono::seconds(10);
// Routes with a higher share of timeouts are left out: runs cut off at the deadline look faster than they
// are.
constexpr double max_timeout_share = 0.05;

// Mean ratio of run times after to before, over the routes with both; 0, which counts as an effect, if there
// are none.
double run_time_ratio(const std::map<std::string, double>& before,
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

std::map<std::string, double> reliable_run_times(const target_speed& speed, steady_time now) {
    std::map<std::string, double> reliable;
    for (const auto& [route, times] : times_of_routes(speed, now)) {
        if (times.run_time && timeout_share(speed, route, now) <= max_timeout_share) {
            reliable[route] = *times.run_time;
        }
    }
    return reliable;
}

} // namespace

limit_decision decide_on_timeout(timeout_trial& trial, double limit, const target_speed& speed,
                                 steady_time now) {
    if (now < trial.hold.until) {
        return {limit_action::keep, std::min(limit, trial.hold.limit)};
    }
    // No trial yet, or the limit has grown since, so that the earlier one is obsolete.
    if (trial.limit_before == 0 || limit > trial.limit_before) {
        trial.limit_before = limit;
        trial.run_times_before = reliable_run_times(speed, now);
        trial.trial_limit_reached_at = steady_time{};
    }
    if (limit > trial.limit_before * trial_limit_factor) {
        return {limit_action::lower, limit};
    }
    if (trial.trial_limit_reached_at == steady_time{}) {
        trial.trial_limit_reached_at = now;
    }
    if (now - trial.trial_limit_reached_at < effect_delay) {
        return {limit_action::keep, limit};
    }
    auto times = reliable_run_times(speed, now);
    if (run_time_ratio(trial.run_times_before, times) > max_effective_ratio) {
        const double before = trial.limit_before;
        trial = timeout_trial{};
        return restore_limit(trial.hold, before, now, hold_time);
    }
    trial.limit_before = limit;
    trial.run_times_before = std::move(times);
    trial.trial_limit_reached_at = steady_time{};
    return {limit_action::lower, limit};
}

} // namespace dandelionmount
