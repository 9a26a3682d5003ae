#include "dandelionmount/request/retry_allowance.h"

#include "tests/support/seed.h"

#include <doctest/doctest.h>
#include <random>

namespace dm = dandelionmount;

namespace {

// Simulates a call tree in which every attempt may fail at random, and counts its calls and attempts.
struct call_tree {
    std::mt19937_64 random;
    double failure{0.5};
    bool loses_replies{false};
    std::uint64_t calls{0};
    std::uint64_t attempts{0};

    bool call(dm::retry_allowance& allowance, int depth, int fan_out) {
        ++calls;
        while (true) {
            ++attempts;
            const std::uint32_t slice = allowance.take_slice();
            dm::retry_allowance child_allowance(slice);
            bool succeeded = std::uniform_real_distribution<double>(0, 1)(random) >= failure;
            for (int child = 0; child < fan_out && depth > 0 && succeeded; ++child) {
                succeeded = call(child_allowance, depth - 1, fan_out);
            }
            const bool reply_lost = loses_replies && random() % 3 == 0;
            if (!reply_lost) {
                allowance.refund(child_allowance.left());
            }
            if (succeeded || !allowance.use_one()) {
                return succeeded;
            }
        }
    }
};

} // namespace

TEST_SUITE_BEGIN("request");

TEST_CASE("Returning a whole slice restores the allowance") {
    dm::retry_allowance allowance(5);
    const auto slice = allowance.take_slice();
    CHECK(slice == 3);
    CHECK(allowance.left() == 2);
    allowance.refund(slice);
    CHECK(allowance.left() == 5);
}

TEST_CASE("Retries over a whole call tree never exceed the initial allowance") {
    const auto range = tests::seeds(500);
    for (std::uint64_t seed = range.first; seed < range.first + range.count; ++seed) {
        CAPTURE(seed);
        const auto retries = static_cast<std::uint32_t>(seed % 7);
        call_tree tree{std::mt19937_64(seed), 0.2 + 0.1 * static_cast<double>(seed % 8), seed % 2 == 0};
        dm::retry_allowance allowance(retries);
        tree.call(allowance, static_cast<int>(seed % 6), 1 + static_cast<int>(seed % 3));
        CHECK(tree.attempts - tree.calls <= retries);
    }
}

TEST_CASE("A budget limits retries to a share of first attempts") {
    dm::retry_budget budget;
    int used = 0;
    for (int attempt = 0; attempt < 1000; ++attempt) {
        budget.record_first_attempt(0.1);
        used += budget.use_one() ? 1 : 0;
    }
    CHECK(used <= 100 + 10);
}

TEST_SUITE_END();
