#include "dandelionmount/process/rejection_trial.h"

#include <algorithm>

namespace dandelionmount {

namespace {

// A limit that has grown by so much without a rejection shows that the target takes more now.
constexpr double recovered = 1.25;
// How long answers are counted before and after; shorter counts are chance.
constexpr duration count_time = std::chrono::milliseconds(500);
// Requests that started under the higher limit have mostly ended after this time.
constexpr duration settle_time = std::chrono::milliseconds(400);
// A target that has too many requests answers as many with fewer; one that has not, `trial_depth` of them.
constexpr double least_kept = 0.8;
// How long a trial without effect counts.
constexpr duration hold_time = std::chrono::seconds(5);

void start_count(rejection_trial& trial, steady_time now) {
    trial.counted_since = now;
    trial.answered = 0;
}

double counted_rate(const rejection_trial& trial, steady_time now) {
    return trial.answered / to_seconds(now - trial.counted_since);
}

} // namespace

void record_answered(rejection_trial& trial) {
    trial.answered += 1;
}

limit_decision decide_on_rejection(rejection_trial& trial, double limit, steady_time now) {
    if (now < trial.held.until) {
        return {limit_action::keep, std::min(limit, trial.held.limit)};
    }
    // A limit that has recovered since makes the earlier trial meaningless.
    if (trial.limit_before == 0 || limit > trial.limit_before * recovered) {
        trial = rejection_trial{};
        trial.limit_before = limit;
        start_count(trial, now);
        return {limit_action::keep, limit};
    }
    if (trial.rate_before < 0) {
        if (now - trial.counted_since < count_time) {
            return {limit_action::keep, std::min(limit, trial.limit_before)};
        }
        trial.rate_before = counted_rate(trial, now);
    }
    if (limit > trial.limit_before * trial_depth) {
        return {limit_action::lower, limit};
    }
    if (trial.reached == steady_time{}) {
        trial.reached = now;
    }
    if (now - trial.reached < settle_time) {
        start_count(trial, now);
        return {limit_action::keep, limit};
    }
    if (now - trial.counted_since < count_time) {
        return {limit_action::keep, limit};
    }
    const double rate = counted_rate(trial, now);
    const double before = trial.limit_before;
    const bool helped = rate >= trial.rate_before * least_kept;
    trial = rejection_trial{};
    if (!helped) {
        return restore_limit(trial.held, before, now, hold_time);
    }
    trial.limit_before = limit;
    trial.rate_before = rate;
    return {limit_action::lower, limit};
}

} // namespace dandelionmount
