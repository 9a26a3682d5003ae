#ifndef DANDELIONMOUNT_PROCESS_REJECTION_TRIAL_H
#define DANDELIONMOUNT_PROCESS_REJECTION_TRIAL_H

#include "dandelionmount/process/clock.h"
#include "dandelionmount/process/limit_decision.h"

// Whether rejections are a reason to lower a target's concurrency limit. They are if the target has too many
// requests; a target that rejects a share of all requests regardless of load only does less work under a
// lower limit. So the limit is lowered as a trial, and restored if throughput falls.

namespace dandelionmount {

struct rejection_trial {
    /// Limit before the trial; 0 while there is no trial.
    double limit_before{0};
    /// Throughput under that limit, in requests answered in time per second; negative until it is measured.
    double throughput_before{-1};
    /// When the limit had fallen to `trial_limit_factor` of `limit_before`; unset before.
    steady_time trial_limit_reached_at;
    /// Start of the current throughput measurement, and requests answered in time since.
    steady_time measurement_started_at;
    double answered{0};
    /// During the hold rejections do not lower the limit below the held one.
    limit_hold hold;
};

/// Counts a request that was answered in time.
void record_answered(rejection_trial& trial);
/// Decides how a rejection changes the limit.
[[nodiscard]] limit_decision decide_on_rejection(rejection_trial& trial, double limit, steady_time now);

} // namespace dandelionmount

#endif
