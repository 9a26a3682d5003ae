#include "dandelionmount/process/sliding_sum.h"

#include <algorithm>
#include <numeric>

namespace dandelionmount {

void sliding_sum::remove_old_bins(steady_time now) {
    if (now - newest_began_ < bin_length_) {
        return;
    }
    const auto passed = static_cast<std::size_t>((now - newest_began_) / bin_length_);
    for (std::size_t bin = 0; bin < std::min(passed, bin_count); ++bin) {
        newest_ = (newest_ + 1) % bin_count;
        bins_.at(newest_) = 0;
    }
    newest_began_ += bin_length_ * passed;
    // Computed anew instead of subtracted from, so that rounding errors do not add up.
    total_ = std::accumulate(bins_.begin(), bins_.end(), 0.0);
}

void sliding_sum::add(double amount, steady_time now) {
    remove_old_bins(now);
    bins_.at(newest_) += amount;
    total_ += amount;
}

double sliding_sum::total(steady_time now) {
    remove_old_bins(now);
    return total_;
}

} // namespace dandelionmount
