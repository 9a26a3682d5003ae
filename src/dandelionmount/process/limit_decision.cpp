#include "dandelionmount/process/limit_decision.h"

namespace dandelionmount {

limit_decision restore_limit(held_limit& held, double limit, steady_time now, duration hold_time) {
    held = {now + hold_time, limit};
    return {limit_action::restore, limit};
}

void end_pushed_back(target_guard& guard, const limit_decision& decision, duration took, steady_time now) {
    if (decision.what == limit_action::lower) {
        note_end(guard, call_end::overloaded, took, now);
        return;
    }
    cancel_start(guard);
    set_limit(guard, decision.limit);
}

} // namespace dandelionmount
