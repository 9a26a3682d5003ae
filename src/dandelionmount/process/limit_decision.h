#ifndef DANDELIONMOUNT_PROCESS_LIMIT_DECISION_H
#define DANDELIONMOUNT_PROCESS_LIMIT_DECISION_H

namespace dandelionmount {

/// What a late answer or a rejection does to the limit of a target.
enum class limit_action { lower, keep, restore };

struct limit_decision {
    limit_action what{limit_action::keep};
    /// The limit from now on, for `keep` and `restore`.
    double limit{0};
};

} // namespace dandelionmount

#endif
