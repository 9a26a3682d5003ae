#include "dandelionmount/process/window_history.h"

#include <algorithm>

namespace dandelionmount {

std::size_t window_history::position(std::size_t age) const {
    return (newest_ + bin_count - age) % bin_count;
}

void window_history::advance(steady_time now) {
    if (now - newest_began_ < bin_length_) {
        return;
    }
    const auto passed = static_cast<std::size_t>((now - newest_began_) / bin_length_);
    for (std::size_t bin = 0; bin < std::min(passed, bin_count); ++bin) {
        newest_ = (newest_ + 1) % bin_count;
        bins_.at(newest_) = 0;
    }
    newest_began_ += bin_length_ * passed;
}

void window_history::add(double amount, steady_time now) {
    advance(now);
    bins_.at(newest_) += amount;
}

void window_history::add_evenly(double amount, steady_time now) {
    advance(now);
    for (std::size_t age = 0; age < bins_per_window; ++age) {
        bins_.at(position(age)) += amount / static_cast<double>(bins_per_window);
    }
}

double window_history::window_total(steady_time now) {
    advance(now);
    return newest_sums().at(bins_per_window + 1);
}

window_history::sums window_history::newest_sums() const {
    sums result{};
    for (std::size_t age = 0; age < bin_count; ++age) {
        result.at(age + 1) = result.at(age) + bins_.at(position(age));
    }
    return result;
}

} // namespace dandelionmount
