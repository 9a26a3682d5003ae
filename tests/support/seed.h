#ifndef DANDELIONMOUNT_TESTS_SUPPORT_SEED_H
#define DANDELIONMOUNT_TESTS_SUPPORT_SEED_H

#include <cstdint>
#include <cstdlib>
#include <string>

namespace tests {

/// Seeds of a randomised test: fixed ones, or those from DANDELIONMOUNT_SEED on for a longer run, as many as
/// DANDELIONMOUNT_RUNS says.
struct seed_range {
    std::uint64_t first{1};
    std::uint64_t count{1};
};

inline seed_range seeds(std::uint64_t usual_count) {
    const char* first = std::getenv("DANDELIONMOUNT_SEED");
    const char* count = std::getenv("DANDELIONMOUNT_RUNS");
    return {first == nullptr ? 1 : std::stoull(first), count == nullptr ? usual_count : std::stoull(count)};
}

} // namespace tests

#endif
