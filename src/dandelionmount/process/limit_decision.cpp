#include "dandelionmount/process/limit_decision.h"

namespace dandelionmount {

limit_decision restore_limit(limit_hold& hold, double limit, steady_time now, duration hold_time) {
    hold = {now + hold_time, limit};
    return {limit_action::restore, limit};
}

void record_end_with_decision(target_limiter& limiter, const limit_decision& decision, duration elapsed,
                              steady_time now) {
    if (decision.what == limit_action::lower) {
        record_end(limiter, call_end::overloaded, elapsed, now);
        return;
    }
    cancel_start(limiter);
    set_limit(limiter, decision.limit);
}

} // namespace dandelionmount
