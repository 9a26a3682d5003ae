#include "dandelionmount/process/demand_shares.h"

#include <doctest/doctest.h>
#include <random>

#include "tests/support/seed.h"

namespace dm = dandelionmount;

namespace {

constexpr dm::steady_time start{std::chrono::hours(1)};

struct demand_line {
    std::uint32_t priority;
    std::string account;
    double rate;
};

double granted(const dm::demand_table& table, std::uint32_t priority, std::string_view account) {
    return dm::find_demand(table, priority, account)->granted;
}

double ratio(const dm::demand_table& table, std::uint32_t priority, std::string_view account) {
    return dm::find_demand(table, priority, account)->ratio;
}

// A table after 20 s of constant demand.
dm::demand_table steady_table(const std::vector<demand_line>& lines, double capacity) {
    dm::demand_table table;
    table.window_began = start;
    auto now = start;
    for (int window = 0; window < 200; ++window) {
        now += std::chrono::milliseconds(100);
        for (const auto& line : lines) {
            dm::record_demand(table, line.priority, line.account, line.rate / 10);
        }
        dm::update_shares(table, capacity, now);
    }
    return table;
}

double sum_of(const std::map<std::string, double>& rates) {
    double sum = 0;
    for (const auto& [account, rate] : rates) {
        sum += rate;
    }
    return sum;
}

} // namespace

TEST_SUITE_BEGIN("process");

TEST_CASE("Demand within the capacity is admitted in full") {
    const auto table = steady_table({{4, "a", 40}, {4, "b", 50}}, 100);
    CHECK(granted(table, 4, "a") == doctest::Approx(40));
    CHECK(granted(table, 4, "b") == doctest::Approx(50));
    CHECK(ratio(table, 4, "a") == 0);
    CHECK(dm::find_demand(table, 4, "c") == nullptr);
    CHECK(dm::admitted_fraction(table) == 1);
}

TEST_CASE("Shedding affects the accounts with the highest demand") {
    const auto table = steady_table({{4, "large", 300}, {4, "other", 100}, {4, "small", 10}}, 110);
    CHECK(granted(table, 4, "small") == doctest::Approx(10));
    CHECK(granted(table, 4, "large") == doctest::Approx(50));
    CHECK(granted(table, 4, "other") == doctest::Approx(50));
    CHECK(ratio(table, 4, "small") == doctest::Approx(0.2));
    CHECK(ratio(table, 4, "large") == doctest::Approx(6));
}

TEST_CASE("Higher priorities are admitted first and count towards their account's share") {
    const auto table = steady_table({{9, "a", 30}, {4, "a", 100}, {4, "b", 100}, {1, "b", 100}}, 100);
    CHECK(granted(table, 9, "a") == doctest::Approx(30));
    CHECK(granted(table, 4, "a") == doctest::Approx(20));
    CHECK(granted(table, 4, "b") == doctest::Approx(50));
    CHECK(granted(table, 1, "b") < 1e-6);
    CHECK(ratio(table, 9, "a") == 0);
    CHECK(ratio(table, 1, "b") == dm::max_demand_ratio);
}

TEST_CASE("Accounts without demand are dropped") {
    auto table = steady_table({{4, "a", 300}}, 100);
    auto now = start + std::chrono::minutes(1);
    for (int window = 0; window < 200; ++window) {
        now += std::chrono::milliseconds(100);
        dm::update_shares(table, 100, now);
    }
    CHECK(table.by_priority.empty());
}

TEST_CASE("At any demand the capacity is used, and no account gets more at the cost of one that gets less") {
    const auto range = tests::seeds(200);
    for (std::uint64_t seed = range.first; seed < range.first + range.count; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        std::uniform_real_distribution<double> rate(5, 200);
        std::vector<demand_line> lines;
        for (int account = 0; account < 8; ++account) {
            lines.push_back({4, "account-" + std::to_string(account), rate(random)});
            lines.push_back({9, "account-" + std::to_string(account), rate(random) / 20});
        }
        const double capacity = rate(random) * 4;
        const auto table = steady_table(lines, capacity);
        std::map<std::string, double> demanded;
        std::map<std::string, double> served;
        std::map<std::string, double> served_low_priority;
        for (const auto& line : lines) {
            const double served_rate = granted(table, line.priority, line.account);
            demanded[line.account] += line.rate;
            served[line.account] += served_rate;
            served_low_priority[line.account] += line.priority == 4 ? served_rate : 0;
        }
        CHECK(sum_of(served) == doctest::Approx(std::min(capacity, sum_of(demanded))).epsilon(0.01));
        for (const auto& [account, served_rate] : served) {
            const bool is_fully_served = served_rate >= demanded[account] * 0.99;
            for (const auto& [other, other_rate] : served) {
                const bool gains =
                    served_low_priority[other] > 0.01 && other_rate > served_rate * 1.01 + 0.01;
                CHECK((is_fully_served || !gains));
            }
        }
    }
}

TEST_SUITE_END();
