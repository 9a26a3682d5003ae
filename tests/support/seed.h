#ifndef DANDELIONMOUNT_TESTS_SUPPORT_SEED_H
#define DANDELIONMOUNT_TESTS_SUPPORT_SEED_H

#include <cstdint>
#include <cstdlib>
#include <string>

namespace tests {

/// Seeds of a randomised test: `default_count` fixed ones, or for a longer run DANDELIONMOUNT_RUNS of them
/// from DANDELIONMOUNT_SEED on.
struct seed_range {
    std::uint64_t first{1};
    std::uint64_t count{1};
};

inline seed_range seeds(std::uint64_t default_count) {
    const char* first = std::getenv("DANDELIONMOUNT_SEED");
    const char* count = std::getenv("DANDELIONMOUNT_RUNS");
    return {first == nullptr ? 1 : std::stoull(first), count == nullptr ? default_count : std::stoull(count)};
}

} // namespace tests

#endif
