#ifndef DANDELIONMOUNT_REQUEST_RETRY_ALLOWANCE_H
#define DANDELIONMOUNT_REQUEST_RETRY_ALLOWANCE_H

#include <cstdint>

namespace dandelionmount {

/// Remaining retries of one request over its whole call tree.
///
/// A downstream call takes a slice and returns what is left of it; a slice that is not returned counts as
/// spent. So the attempts of a tree are at most its calls plus the initial allowance.
class retry_allowance {
public:
    explicit retry_allowance(std::uint32_t retries) : left_(retries) {}
    /// Uses one retry; returns false when none is left.
    [[nodiscard]] bool use_one();
    /// Takes a slice for a downstream call: half of the allowance, rounded up.
    [[nodiscard]] std::uint32_t take_slice();
    /// Returns the unused part of a slice.
    void refund(std::uint32_t retries) { left_ += retries; }
    [[nodiscard]] std::uint32_t left() const { return left_; }

private:
    std::uint32_t left_;
};

/// Token bucket that limits the retries at one service to a share of first attempts, so that retries stop
/// when the service fails as a whole.
class retry_budget {
public:
    /// The bucket starts half full.
    explicit retry_budget(double capacity = 10) : capacity_(capacity), tokens_(capacity / 2) {}
    /// Adds `share` of a retry to the budget.
    void record_first_attempt(double share);
    /// Uses one retry; returns false when less than one is left.
    [[nodiscard]] bool use_one();

private:
    double capacity_;
    double tokens_;
};

} // namespace dandelionmount

#endif
