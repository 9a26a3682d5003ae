#ifndef DANDELIONMOUNT_PROCESS_STOP_SCHEDULE_H
#define DANDELIONMOUNT_PROCESS_STOP_SCHEDULE_H

#include "dandelionmount/process/clock.h"

namespace dandelionmount {

/// When this process ends. All that accepts, starts, sends or repeats requests asks it.
struct stop_schedule {
    /// Never, until a stop begins.
    steady_time process_end{steady_time::max()};
};

/// Time kept at the end of a process for replies on their way to callers: a reply passes two hosts, each of
/// which may be busy.
constexpr duration final_reply_time = std::chrono::milliseconds(300);

[[nodiscard]] inline bool is_stopping(const stop_schedule& schedule) {
    return schedule.process_end != steady_time::max();
}

/// Latest time at which a run may end whose reply a process sends on, if that process ends at `process_end`.
[[nodiscard]] inline steady_time latest_run_end(steady_time process_end) {
    return process_end == steady_time::max() ? process_end : process_end - final_reply_time;
}

/// Latest time at which a run may end whose reply this process sends on.
[[nodiscard]] inline steady_time latest_run_end(const stop_schedule& schedule) {
    return latest_run_end(schedule.process_end);
}

} // namespace dandelionmount

#endif
