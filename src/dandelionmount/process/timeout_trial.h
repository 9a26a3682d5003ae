#ifndef DANDELIONMOUNT_PROCESS_TIMEOUT_TRIAL_H
#define DANDELIONMOUNT_PROCESS_TIMEOUT_TRIAL_H

#include "dandelionmount/process/clock.h"
#include "dandelionmount/process/limit_decision.h"
#include "dandelionmount/process/target_speed.h"

#include <map>
#include <string>

// Whether late answers are a reason to give a target fewer requests at once. They are where the target slows
// down because it has too many; a target that has turned slow by itself only does less with fewer. So a lower
// limit is tried, and taken back when requests do not run faster under it.

namespace dandelionmount {

struct timeout_trial {
    /// The limit before the trial; 0 when there is none.
    double limit_before{0};
    std::map<std::string, double> run_times_before;
    /// When the limit had fallen as far as a trial goes.
    steady_time reached;
    /// While it holds, late answers are no reason.
    held_limit held;
};

/// Decides on a late answer.
[[nodiscard]] limit_decision decide_on_timeout(timeout_trial& trial, double limit, const target_speed& speed,
                                               steady_time now);

} // namespace dandelionmount

#endif
