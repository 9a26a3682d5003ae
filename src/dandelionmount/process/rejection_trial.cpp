#include "dandelionmount/process/rejection_trial.h"

#include <algorithm>

namespace dandelionmount {

namespace {

// If the limit grows by this factor without a rejection, the target counts as having more capacity than
// before.
constexpr double recovery_factor = 1.25;
// Duration of each throughput measurement; shorter ones are too noisy.
constexpr duration measurement_time = std::chrono::milliseconds(500);
// Most requests started under the previous limit have ended after this delay.
constexpr duration effect_delay = std::chrono::milliseconds(400);
// Lowest share of the throughput that counts as kept. An overloaded target keeps all of it under a lower
// limit; another target keeps only `trial_limit_factor` of it.
constexpr double min_kept_share = 0.8;
// Time until a new trial after one that lowered the throughput.
constexpr duration hold_time = std::chrono::seconds(5);

void start_measurement(rejection_trial& trial, steady_time now) {
    trial.measurement_started_at = now;
    trial.answered = 0;
}

double measured_throughput(const rejection_trial& trial, steady_time now) {
    return trial.answered / to_seconds(now - trial.measurement_started_at);
}

} // namespace

void record_answered(rejection_trial& trial) {
    trial.answered += 1;
}

limit_decision decide_on_rejection(rejection_trial& trial, double limit, steady_time now) {
    if (now < trial.hold.until) {
        return {limit_action::keep, std::min(limit, trial.hold.limit)};
    }
    // No trial yet, or the limit has grown so far since that the earlier one is obsolete.
    if (trial.limit_before == 0 || limit > trial.limit_before * recovery_factor) {
        trial = rejection_trial{};
        trial.limit_before = limit;
        start_measurement(trial, now);
        return {limit_action::keep, limit};
    }
    if (trial.throughput_before < 0) {
        if (now - trial.measurement_started_at < measurement_time) {
            return {limit_action::keep, std::min(limit, trial.limit_before)};
        }
        trial.throughput_before = measured_throughput(trial, now);
    }
    if (limit > trial.limit_before * trial_limit_factor) {
        return {limit_action::lower, limit};
    }
    if (trial.trial_limit_reached_at == steady_time{}) {
        trial.trial_limit_reached_at = now;
    }
    if (now - trial.trial_limit_reached_at < effect_delay) {
        start_measurement(trial, now);
        return {limit_action::keep, limit};
    }
    if (now - trial.measurement_started_at < measurement_time) {
        return {limit_action::keep, limit};
    }
    const double throughput = measured_throughput(trial, now);
    const double before = trial.limit_before;
    const bool is_effective = throughput >= trial.throughput_before * min_kept_share;
    trial = rejection_trial{};
    if (!is_effective) {
        return restore_limit(trial.hold, before, now, hold_time);
    }
    trial.limit_before = limit;
    trial.throughput_before = throughput;
    return {limit_action::lower, limit};
}

} // namespace dandelionmount
