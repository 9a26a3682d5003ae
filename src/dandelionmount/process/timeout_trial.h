#ifndef DANDELIONMOUNT_PROCESS_TIMEOUT_TRIAL_H
#define DANDELIONMOUNT_PROCESS_TIMEOUT_TRIAL_H

#include "dandelionmount/process/clock.h"
#include "dandelionmount/process/limit_decision.h"
#include "dandelionmount/process/target_speed.h"

#include <map>
#include <string>

// Whether timeouts are a reason to lower a target's concurrency limit. They are if the target is slow because
// of too many requests; a target that is slow for another reason only does less work under a lower limit. So
// the limit is lowered as a trial, and restored if run times do not improve.

namespace dandelionmount {

struct timeout_trial {
    /// Limit before the trial; 0 while there is no trial.
    double limit_before{0};
    /// Run times by route under that limit, in seconds.
    std::map<std::string, double> run_times_before;
    /// When the limit had fallen to `trial_limit_factor` of `limit_before`; unset before.
    steady_time trial_limit_reached_at;
    /// During the hold timeouts do not lower the limit below the held one.
    limit_hold hold;
};

/// Decides how a timeout changes the limit.
[[nodiscard]] limit_decision decide_on_timeout(timeout_trial& trial, double limit, const target_speed& speed,
                                               steady_time now);

} // namespace dandelionmount

#endif
