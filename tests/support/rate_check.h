#ifndef DANDELIONMOUNT_TESTS_SUPPORT_RATE_CHECK_H
#define DANDELIONMOUNT_TESTS_SUPPORT_RATE_CHECK_H

#include <algorithm>
#include <vector>

namespace tests {

/// Largest number of admissions by which any time window exceeds rate x length + burst; 0 or less when none
/// does. `admissions` are times in seconds, ascending; `rate` is per second.
inline double worst_excess(const std::vector<double>& admissions, double rate, double burst) {
    double lowest_level = 1e300;
    double worst = -burst;
    for (std::size_t index = 0; index < admissions.size(); ++index) {
        // Admissions i..j exceed by (j - i + 1) - rate * (t_j - t_i) - burst.
        const double level = static_cast<double>(index) - rate * admissions[index];
        lowest_level = std::min(lowest_level, level);
        worst = std::max(worst, level - lowest_level + 1 - burst);
    }
    return worst;
}

/// Ideal limiter: one token bucket for all requests of the fleet.
class ideal_bucket {
public:
    ideal_bucket(double rate, double burst) : rate_(rate), burst_(burst), tokens_(burst) {}
    /// Spends a token for a request at `now`, in seconds; false when there is none.
    bool admit(double now) {
        tokens_ = std::min(burst_, tokens_ + rate_ * (now - last_));
        last_ = now;
        if (tokens_ < 1) {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

private:
    double rate_;
    double burst_;
    double tokens_;
    double last_{0};
};

} // namespace tests

#endif
