#ifndef DANDELIONMOUNT_PROCESS_TARGET_RATE_H
#define DANDELIONMOUNT_PROCESS_TARGET_RATE_H

#include "dandelionmount/process/clock.h"

#include <optional>

namespace dandelionmount {

/// Limit on the request rate that a target names in its answers, and the token bucket that enforces it. All
/// requests to a target pass through its own host, so one bucket there is exact for the whole fleet.
struct target_rate {
    /// Requests per second; nullopt while the target names no limit.
    std::optional<double> per_second;
    /// When the target last named the limit.
    steady_time named_at;
    /// Whether the target has answered at all, so that the limit, or its absence, is known at first hand.
    bool answered{false};
    double tokens{0};
    steady_time filled_at;
};

/// Records an answer that names a limit. Negative numbers and those that are not finite are ignored.
void record_named_rate(target_rate& rate, double per_second, steady_time now);
/// Records an answer without a limit to a request sent at `sent_at`: lifts the limit, unless the target named
/// it after that time.
void record_unnamed_rate(target_rate& rate, steady_time sent_at);
/// Adopts the limit that another host has seen, if this target has not answered yet.
void adopt_rate(target_rate& rate, double per_second, steady_time now);
/// Takes a token for one request; false if there is none. Always true without a limit.
[[nodiscard]] bool take_token(target_rate& rate, steady_time now);
/// Time until the next token; zero if there is one, or no limit.
[[nodiscard]] duration time_to_next_token(const target_rate& rate, steady_time now);

} // namespace dandelionmount

#endif
