#include "dandelionmount/process/call_attribution.h"

#include "tests/support/seed.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

namespace dm = dandelionmount;

namespace {

using amounts = std::map<std::string, double, std::less<>>;

// Simulates a target with two routes that run concurrently, of which only "calling" makes calls: `calls` per
// request.
dm::call_attribution observe(double calls, int intervals, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    std::poisson_distribution<int> quiet(9);
    std::poisson_distribution<int> calling(6);
    dm::call_attribution attribution;
    for (int interval = 0; interval < intervals; ++interval) {
        const amounts requests{{"quiet", quiet(random)}, {"calling", calling(random)}};
        std::poisson_distribution<int> made(std::max(1e-9, requests.at("calling") * calls));
        dm::record_interval(attribution, requests, {{"below", made(random)}});
    }
    return attribution;
}

} // namespace

TEST_SUITE_BEGIN("process");

TEST_CASE("Calls are attributed to the route that makes them, not to one that runs concurrently") {
    const auto range = tests::seeds(20);
    for (std::uint64_t seed = range.first; seed < range.first + range.count; ++seed) {
        CAPTURE(seed);
        const auto attribution = observe(40, 60, seed);
        CHECK(dm::calls_per_request(attribution, "calling", "below") > 25);
        CHECK(dm::calls_per_request(attribution, "quiet", "below") < 10);
    }
}

TEST_CASE("With too few intervals every route counts as making the calls") {
    const auto attribution = observe(40, 2, 1);
    CHECK(dm::calls_per_request(attribution, "quiet", "below") > 0);
    CHECK(dm::calls_per_request(attribution, "not seen", "below") > 0);
    CHECK(dm::calls_per_request(attribution, "quiet", "elsewhere") == 0);
}

TEST_SUITE_END();
