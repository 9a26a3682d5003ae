#ifndef DANDELIONMOUNT_PROCESS_CLOCK_H
#define DANDELIONMOUNT_PROCESS_CLOCK_H

#include <chrono>

namespace dandelionmount {

using steady_time = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

/// Source of the current time, which tests replace by one that they control.
class time_source {
public:
    time_source() = default;
    time_source(const time_source&) = delete;
    time_source& operator=(const time_source&) = delete;
    virtual ~time_source() = default;
    /// Monotonic time; never steps.
    [[nodiscard]] virtual steady_time now() const = 0;
    /// Like `now`, but also advances while the host is suspended, for validity periods that must also expire
    /// during a suspension. Its time points are not comparable with those of `now`.
    [[nodiscard]] virtual steady_time now_with_suspension() const = 0;
};

/// The clock of this host.
class system_time_source : public time_source {
public:
    [[nodiscard]] steady_time now() const override;
    [[nodiscard]] steady_time now_with_suspension() const override;
};

/// A clock that tests advance by hand.
class manual_time_source : public time_source {
public:
    [[nodiscard]] steady_time now() const override { return now_; }
    [[nodiscard]] steady_time now_with_suspension() const override { return now_ + suspended_; }
    void advance(duration by) { now_ += by; }
    /// Simulates a suspension of the host.
    void suspend(duration by) { suspended_ += by; }

private:
    // Not zero, as a default steady_time stands for "never".
    steady_time now_{std::chrono::hours{1}};
    duration suspended_{0};
};

/// Seconds as a floating point number.
[[nodiscard]] double to_seconds(duration value);
/// A duration of that many seconds.
[[nodiscard]] duration from_seconds(double seconds);
/// Whole milliseconds, rounded down, never negative; values from 2^32 ms on wrap around.
[[nodiscard]] std::uint32_t to_milliseconds(duration value);

} // namespace dandelionmount

#endif
