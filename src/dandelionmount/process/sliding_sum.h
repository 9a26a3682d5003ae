#ifndef DANDELIONMOUNT_PROCESS_SLIDING_SUM_H
#define DANDELIONMOUNT_PROCESS_SLIDING_SUM_H

#include "dandelionmount/process/clock.h"

#include <array>
#include <cstddef>

namespace dandelionmount {

/// Sum of the amounts recorded within the last window of time. Memory and cost do not depend on how many
/// amounts are recorded: the window consists of bins, and its oldest bin leaves it as a whole.
class sliding_sum {
public:
    explicit sliding_sum(duration window) : bin_length_(window / (bin_count - 1)) {}

    void add(double amount, steady_time now);
    /// The amounts of at least the window before `now`, and of at most one bin more.
    [[nodiscard]] double total(steady_time now);

private:
    // One bin more than the window has, as the newest one is incomplete.
    static constexpr std::size_t bin_count = 41;

    void remove_old_bins(steady_time now);

    duration bin_length_;
    std::array<double, bin_count> bins_{};
    std::size_t newest_{0};
    /// Start of the newest bin.
    steady_time newest_began_;
    double total_{0};
};

} // namespace dandelionmount

#endif
