#ifndef DANDELIONMOUNT_PROCESS_LIMIT_DECISION_H
#define DANDELIONMOUNT_PROCESS_LIMIT_DECISION_H

#include "dandelionmount/process/clock.h"
#include "dandelionmount/process/target_limiter.h"

namespace dandelionmount {

/// Fraction of the limit to which a trial lowers it before the effect is measured.
constexpr double trial_limit_factor = 0.6;

/// Effect of a timeout or a rejection on the limit of a target.
enum class limit_action { lower, keep, restore };

struct limit_decision {
    limit_action what{limit_action::keep};
    /// New limit, for `keep` and `restore`.
    double limit{0};
};

/// A limit restored by a trial, and the time until which this trial does not lower the limit below it.
struct limit_hold {
    steady_time until;
    double limit{0};
};

/// Restores the limit and holds it for `hold_time`.
[[nodiscard]] limit_decision restore_limit(limit_hold& hold, double limit, steady_time now,
                                           duration hold_time);
/// Ends a request that the target rejected or did not answer in time, and applies the decision to the limit.
void record_end_with_decision(target_limiter& limiter, const limit_decision& decision, duration elapsed,
                              steady_time now);

} // namespace dandelionmount

#endif
