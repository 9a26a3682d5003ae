#ifndef DANDELIONMOUNT_PROCESS_REJECTION_TRIAL_H
#define DANDELIONMOUNT_PROCESS_REJECTION_TRIAL_H

#include "dandelionmount/process/clock.h"
#include "dandelionmount/process/limit_decision.h"

// Whether rejections are a reason to give a target fewer requests at once. They are where the target has too
// many. One that rejects a part of everything only does less with fewer. So a lower limit is tried, and taken
// back when fewer requests are answered under it.

namespace dandelionmount {

struct rejection_trial {
    /// The limit before the trial; 0 when there is none.
    double limit_before{0};
    /// Requests answered a second under that limit; negative while they are being counted.
    double rate_before{-1};
    /// When the limit had fallen as far as a trial goes.
    steady_time reached;
    /// Since when answers are counted, and how many there were.
    steady_time counted_since;
    double answered{0};
    /// While it holds, rejections are no reason.
    held_limit held;
};

/// Counts a request that was answered in time.
void record_answered(rejection_trial& trial);
/// Decides on a rejection.
[[nodiscard]] limit_decision decide_on_rejection(rejection_trial& trial, double limit, steady_time now);

} // namespace dandelionmount

#endif
