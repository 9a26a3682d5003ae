#ifndef DANDELIONMOUNT_REQUEST_RETRY_ALLOWANCE_H
#define DANDELIONMOUNT_REQUEST_RETRY_ALLOWANCE_H

#include <cstddef>
#include <cstdint>

namespace dandelionmount {

/// Retries that one request may still use over its whole tree of calls.
///
/// A call below takes a slice and hands back what is left of it; a slice that does not come back is spent. So
/// the attempts of a tree are at most its calls and the first allowance together.
class retry_allowance {
public:
    explicit retry_allowance(std::uint32_t retries) : left_(retries) {}
    /// Uses one retry; false when there is none.
    [[nodiscard]] bool use_one();
    /// Takes the part of the allowance that a call below may use: half of it, rounded up.
    [[nodiscard]] std::uint32_t take_slice();
    /// Hands back what a call below did not use.
    void give_back(std::uint32_t retries) { left_ += retries; }
    [[nodiscard]] std::uint32_t left() const { return left_; }

private:
    std::uint32_t left_;
};

/// Retries at one service as a share of first attempts, so that they stop when the service fails as a whole.
class retry_budget {
public:
    /// Retries that may be saved up while none are needed, half of which are there at the start.
    explicit retry_budget(double most_saved = 10) : most_saved_(most_saved), saved_(most_saved / 2) {}
    void note_first_attempt(double share);
    /// Sets how many may be saved up from now on.
    void set_max_saved(double most_saved);
    /// Uses one retry; false when the budget is empty.
    [[nodiscard]] bool use_one();

private:
    double most_saved_;
    double saved_;
};

/// Retries that one host of a fleet may save up for a service, where all hosts together may use `fleet` at
/// once. At least one: a host that may save none could never retry.
[[nodiscard]] double max_saved_retries_per_host(double fleet, std::size_t hosts);

} // namespace dandelionmount

#endif
