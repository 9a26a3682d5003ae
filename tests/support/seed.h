#ifndef DANDELIONMOUNT_TESTS_SUPPORT_SEED_H
#define DANDELIONMOUNT_TESTS_SUPPORT_SEED_H

#include <cstdint>
#include <cstdlib>
#include <string>

namespace tests {

/// Consecutive seeds of a randomised test.
struct seed_range {
    std::uint64_t first{1};
    std::uint64_t count{1};
};

/// `default_count` seeds from 1 on; the environment variables DANDELIONMOUNT_SEED and DANDELIONMOUNT_RUNS
/// override the first seed and the count.
inline seed_range seeds(std::uint64_t default_count) {
    const char* first = std::getenv("DANDELIONMOUNT_SEED");
    const char* count = std::getenv("DANDELIONMOUNT_RUNS");
    return {first == nullptr ? 1 : std::stoull(first), count == nullptr ? default_count : std::stoull(count)};
}

} // namespace tests

#endif
