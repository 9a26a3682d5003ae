#include "dandelionmount/request/entrance_shedding.h"

#include <doctest/doctest.h>
#include <random>

namespace dm = dandelionmount;

namespace {

constexpr dm::steady_time start{std::chrono::hours(1)};

// Demand of a large and a small account for some seconds at a level; returns what share of each passes.
std::pair<double, double> shares_passed(double level, std::uint32_t priority) {
    dm::route_load load;
    std::mt19937_64 random(1);
    std::uniform_real_distribution<double> draw(0, 1);
    double large = 0;
    double small = 0;
    auto now = start;
    constexpr int rounds = 3000;
    for (int round = 0; round < rounds; ++round) {
        now += std::chrono::milliseconds(2);
        for (int repeat = 0; repeat < 30; ++repeat) {
            dm::note_level(load, level, now);
        }
        large += dm::passes_entrance(load, "large", priority, draw(random), now) ? 1 : 0;
        if (round % 20 == 0) {
            small += dm::passes_entrance(load, "small", priority, draw(random), now) ? 1 : 0;
        }
    }
    return {large / rounds, small / (rounds / 20)};
}

} // namespace

TEST_SUITE_BEGIN("request");

TEST_CASE("Lower priorities are shed whole, the one at the level in part, higher ones not") {
    CHECK(dm::passing_share(4.3, 3) == 0);
    CHECK(dm::passing_share(4.3, 4) == doctest::Approx(0.7));
    CHECK(dm::passing_share(4.3, 5) == 1);
    CHECK(dm::passing_share(9, 9) == 1);
    CHECK(dm::passing_share(0, 0) == 1);
}

TEST_CASE("Accounts that ask for less than their share pass whole") {
    CHECK(dm::fair_threshold({90, 90, 10, 10}, 0.5) == doctest::Approx(40));
    CHECK(dm::fair_threshold({10, 10}, 1) == doctest::Approx(10));
    CHECK(dm::fair_threshold({}, 0.5) == 0);
}

TEST_CASE("Half of the demand is shed, and all of that from the large account") {
    const auto [large, small] = shares_passed(4.5, 4);
    CHECK(large < 0.6);
    CHECK(large > 0.4);
    CHECK(small > 0.95);
}

TEST_CASE("Requests below the level are refused but for a few, important ones go on") {
    const auto [below, small_below] = shares_passed(6, 4);
    CHECK(below > 0);
    CHECK(below < 0.05);
    const auto [important, small_important] = shares_passed(6, 9);
    CHECK(important == 1);
    CHECK(small_important == 1);
}

TEST_CASE("A level that is not heard any more sheds nothing") {
    dm::route_load load;
    dm::note_level(load, 9, start);
    CHECK(dm::current_level(load, start) > 0);
    CHECK(dm::current_level(load, start + std::chrono::seconds(2)) == 0);
}

TEST_SUITE_END();
