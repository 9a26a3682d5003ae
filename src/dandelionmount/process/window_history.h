#ifndef DANDELIONMOUNT_PROCESS_WINDOW_HISTORY_H
#define DANDELIONMOUNT_PROCESS_WINDOW_HISTORY_H

#include "dandelionmount/process/clock.h"

#include <array>
#include <cstddef>

namespace dandelionmount {

/// Amounts recorded within the last two windows of time, by bins, so that they can be summed over windows
/// that ended in the past.
class window_history {
public:
    static constexpr std::size_t bins_per_window = 40;

    explicit window_history(duration window) : bin_length_(window / bins_per_window) {}

    void add(double amount, steady_time now);
    /// Adds an amount that was recorded elsewhere within the last window.
    void add_evenly(double amount, steady_time now);
    /// Removes the bins that are too old at that time.
    void advance(steady_time now);
    /// Sum over the window that ends at that time, and at most one bin more.
    [[nodiscard]] double window_total(steady_time now);
    /// Element n is the sum over the n newest bins, of which the first is incomplete.
    using sums = std::array<double, 2 * bins_per_window + 2>;
    [[nodiscard]] sums newest_sums() const;

private:
    static constexpr std::size_t bin_count = 2 * bins_per_window + 1;

    /// Position of the bin of that age.
    [[nodiscard]] std::size_t position(std::size_t age) const;

    duration bin_length_;
    std::array<double, bin_count> bins_{};
    std::size_t newest_{0};
    /// Start of the newest bin.
    steady_time newest_began_;
};

} // namespace dandelionmount

#endif
