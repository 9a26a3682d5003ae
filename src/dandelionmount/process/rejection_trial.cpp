#include "dandelionmount/process/rejection_trial.h"

#include <algorithm>

namespace dandelionmount {

namespace {

// Growth of the limit without a rejection from which the target is taken to have more capacity than before.
constexpr double recovery_factor = 1.25;
// Duration of each throughput measurement; shorter ones are too noisy.
constexpr duration count_time = std::chrono::milliseconds(500);
// Most requests started under the previous limit have ended after this delay.
constexpr duration effect_delay = std::chrono::milliseconds(400);
// An overloaded target keeps its throughput under a lower limit; another keeps only `trial_depth` of it.
constexpr double min_kept_share = 0.8;
// Time without a new trial after one that had no effect.
constexpr duration hold_time = std::chrono::seconds(5);

void start_count(rejection_trial& trial, steady_time now) {
    trial.count_started_at = now;
    trial.answered = 0;
}

double answered_rate(const rejection_trial& trial, steady_time now) {
    return trial.answered / to_seconds(now - trial.count_started_at);
}

} // namespace

void record_answered(rejection_trial& trial) {
    trial.answered += 1;
}

limit_decision decide_on_rejection(rejection_trial& trial, double limit, steady_time now) {
    if (now < trial.hold.until) {
        return {limit_action::keep, std::min(limit, trial.hold.limit)};
    }
    // The limit has recovered since, so the earlier trial is obsolete.
    if (trial.limit_before == 0 || limit > trial.limit_before * recovery_factor) {
        trial = rejection_trial{};
        trial.limit_before = limit;
        start_count(trial, now);
        return {limit_action::keep, limit};
    }
    if (trial.rate_before < 0) {
        if (now - trial.count_started_at < count_time) {
            return {limit_action::keep, std::min(limit, trial.limit_before)};
        }
        trial.rate_before = answered_rate(trial, now);
    }
    if (limit > trial.limit_before * trial_depth) {
        return {limit_action::lower, limit};
    }
    if (trial.depth_reached_at == steady_time{}) {
        trial.depth_reached_at = now;
    }
    if (now - trial.depth_reached_at < effect_delay) {
        start_count(trial, now);
        return {limit_action::keep, limit};
    }
    if (now - trial.count_started_at < count_time) {
        return {limit_action::keep, limit};
    }
    const double rate = answered_rate(trial, now);
    const double before = trial.limit_before;
    const bool is_effective = rate >= trial.rate_before * min_kept_share;
    trial = rejection_trial{};
    if (!is_effective) {
        return restore_limit(trial.hold, before, now, hold_time);
    }
    trial.limit_before = limit;
    trial.rate_before = rate;
    return {limit_action::lower, limit};
}

} // namespace dandelionmount
