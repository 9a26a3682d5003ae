#ifndef DANDELIONMOUNT_PROCESS_LIMIT_DECISION_H
#define DANDELIONMOUNT_PROCESS_LIMIT_DECISION_H

#include "dandelionmount/process/clock.h"
#include "dandelionmount/process/target_limiter.h"

namespace dandelionmount {

/// How far a limit falls in a trial before its effect is looked at.
constexpr double trial_depth = 0.6;

/// What a late answer or a rejection does to the limit of a target.
enum class limit_action { lower, keep, restore };

struct limit_decision {
    limit_action what{limit_action::keep};
    /// The limit from now on, for `keep` and `restore`.
    double limit{0};
};

/// A limit that was taken back, and until when it holds whatever happens.
struct held_limit {
    steady_time until;
    double limit{0};
};

/// Takes the limit back and holds it for that long.
[[nodiscard]] limit_decision restore_limit(held_limit& held, double limit, steady_time now,
                                           duration hold_time);
/// Ends a request that the target rejected or did not answer in time, and changes the limit as was decided.
void apply_limit_decision(target_limiter& limiter, const limit_decision& decision, duration took,
                          steady_time now);

} // namespace dandelionmount

#endif
