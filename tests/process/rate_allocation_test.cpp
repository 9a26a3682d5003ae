#include "dandelionmount/process/rate_allocation.h"

#include "tests/support/seed.h"

#include <cmath>
#include <deque>
#include <doctest/doctest.h>
#include <random>
#include <vector>

namespace dm = dandelionmount;
using std::chrono::milliseconds;

namespace {

constexpr dm::steady_time start{std::chrono::hours(1)};
constexpr int steps_between_reports = 25;

// Simulates hosts that admit one account's requests with tokens from a rate allocator, in steps of 10 ms.
struct allocation_fleet {
    allocation_fleet(std::size_t count, double account_rate, double account_burst, std::uint64_t seed)
        : rate(account_rate), burst(account_burst), quotas(count), demand(count), side(count), random(seed) {}

    // Reports from a host to the bucket on its side of a network partition.
    void report(std::size_t host, bool urgent) {
        auto& reporting_hosts = hosts_reachable_until.at(side[host]);
        reporting_hosts[host] = now + dm::reachability_validity;
        std::erase_if(reporting_hosts, [this](const auto& entry) { return entry.second < now; });
        allocator_reachable_until[host] = now + dm::reachability_validity;
        dm::host_quota& quota = quotas[host];
        dm::update_demand(quota, now);
        quota.pressure =
            dm::record_demand(buckets.at(side[host]), std::to_string(host), quota.demand, rate, now);
        const double fraction =
            static_cast<double>(reporting_hosts.size()) / static_cast<double>(quotas.size());
        const auto granted = dm::grant_tokens(buckets.at(side[host]), dm::wanted_tokens(quota, urgent, now),
                                              rate_limit(), fraction, now);
        dm::add_tokens(quota, granted, now + dm::token_validity, now);
    }

    dm::fleet_rate_limit rate_limit() const { return {rate, burst, quotas.size()}; }

    bool spend_token(std::size_t host) {
        return dm::spend(quotas[host], rate_limit(), allocator_reachable_until[host] > now, now);
    }

    void arrive(std::size_t host) {
        quotas[host].arrivals += 1;
        bool admitted = spend_token(host);
        if (!admitted && dm::may_request_urgently(quotas[host], now) && has_allocator[host]) {
            quotas[host].last_urgent_request_at = now;
            report(host, true);
            admitted = spend_token(host);
        }
        // Reference: one bucket with the whole rate and burst.
        const bool ideal = ideal_tokens >= 1;
        ideal_tokens -= ideal ? 1 : 0;
        ideal_count += ideal ? 1 : 0;
        if (admitted) {
            admissions.push_back(now);
            ++admitted_count;
        }
    }

    void step() {
        now += milliseconds(10);
        ideal_tokens = std::min(burst, ideal_tokens + rate * 0.01);
        for (std::size_t host = 0; host < quotas.size(); ++host) {
            if (step_number % steps_between_reports == host % steps_between_reports && has_allocator[host]) {
                report(host, false);
            }
            std::poisson_distribution<int> draw(demand[host] * 0.01);
            for (int remaining = draw(random); remaining > 0; --remaining) {
                arrive(host);
            }
        }
        ++step_number;
    }

    void run(double seconds) {
        for (int remaining = static_cast<int>(std::lround(seconds * 100)); remaining > 0; --remaining) {
            step();
        }
    }

    void reset_counts() {
        ideal_count = 0;
        admitted_count = 0;
    }

    // Largest number of requests admitted in any five seconds.
    std::size_t max_in_window() const {
        std::size_t max_count = 0;
        std::deque<dm::steady_time> window;
        for (const auto at : admissions) {
            window.push_back(at);
            while (at - window.front() >= std::chrono::seconds(5)) {
                window.pop_front();
            }
            max_count = std::max(max_count, window.size());
        }
        return max_count;
    }

    // Rate and burst over five seconds, with a tolerance of 10 % and 20 requests.
    double allowed_in_window() const { return (rate * 5 + burst) * 1.1 + 20; }

    double rate;
    double burst;
    std::vector<dm::host_quota> quotas;
    std::vector<double> demand;
    std::vector<std::size_t> side;
    std::mt19937_64 random;
    std::vector<dm::account_bucket> buckets{2};
    std::vector<std::map<std::size_t, dm::steady_time>> hosts_reachable_until{2};
    std::map<std::size_t, dm::steady_time> allocator_reachable_until;
    std::vector<bool> has_allocator = std::vector<bool>(quotas.size(), true);
    std::vector<dm::steady_time> admissions;
    dm::steady_time now{start};
    std::size_t step_number{0};
    double ideal_tokens{burst};
    std::size_t ideal_count{0};
    std::size_t admitted_count{0};
};

void spread_demand(allocation_fleet& fleet, double total, bool skewed) {
    double sum = 0;
    std::exponential_distribution<double> draw(1);
    for (auto& host_demand : fleet.demand) {
        host_demand = skewed ? std::pow(draw(fleet.random), 2) : 1;
        sum += host_demand;
    }
    for (auto& host_demand : fleet.demand) {
        host_demand *= total / sum;
    }
}

} // namespace

TEST_SUITE_BEGIN("process");

TEST_CASE("An account below its rate is rarely refused, with even or skewed demand") {
    const auto range = tests::seeds(5);
    for (std::uint64_t seed = range.first; seed < range.first + range.count; ++seed) {
        for (const double rate : {20.0, 200.0}) {
            for (const bool skewed : {false, true}) {
                CAPTURE(seed);
                CAPTURE(rate);
                CAPTURE(skewed);
                allocation_fleet fleet(14, rate, rate, seed);
                spread_demand(fleet, rate * 0.7, skewed);
                // Lets the bucket fill, which starts nearly empty.
                fleet.run(3);
                fleet.reset_counts();
                fleet.run(20);
                CHECK(static_cast<double>(fleet.admitted_count) >=
                      0.97 * static_cast<double>(fleet.ideal_count));
            }
        }
    }
}

TEST_CASE(
    "An account above its rate gets most of the rate, and exceeds rate and burst only within the tolerance") {
    const auto range = tests::seeds(5);
    for (std::uint64_t seed = range.first; seed < range.first + range.count; ++seed) {
        for (const double rate : {20.0, 200.0}) {
            for (const double demand_factor : {1.15, 7.0}) {
                CAPTURE(seed);
                CAPTURE(rate);
                CAPTURE(demand_factor);
                allocation_fleet fleet(14, rate, rate, seed);
                spread_demand(fleet, rate * 0.6, true);
                fleet.run(5);
                for (auto& host_demand : fleet.demand) {
                    host_demand *= demand_factor / 0.6;
                }
                fleet.run(15);
                CHECK(static_cast<double>(fleet.max_in_window()) <= fleet.allowed_in_window());
                CHECK(static_cast<double>(fleet.admitted_count) >=
                      0.95 * static_cast<double>(fleet.ideal_count));
            }
        }
    }
}

TEST_CASE("Both sides of a partition and an isolated host together exceed rate and burst only within the "
          "tolerance") {
    const auto range = tests::seeds(5);
    for (std::uint64_t seed = range.first; seed < range.first + range.count; ++seed) {
        CAPTURE(seed);
        allocation_fleet fleet(15, 100, 100, seed);
        spread_demand(fleet, 400, true);
        fleet.run(6);
        for (std::size_t host = 0; host < 5; ++host) {
            fleet.side[host] = 1;
        }
        fleet.has_allocator[14] = false;
        fleet.run(10);
        std::fill(fleet.side.begin(), fleet.side.end(), 0);
        fleet.has_allocator[14] = true;
        fleet.run(10);
        CHECK(static_cast<double>(fleet.max_in_window()) <= fleet.allowed_in_window());
    }
}

TEST_CASE("An unused token is refunded to the bucket that spend() uses") {
    const dm::fleet_rate_limit rate_limit{100, 10, 2};
    const dm::steady_time now{std::chrono::seconds(10)};
    dm::host_quota quota;
    quota.fallback_tokens = 1;
    quota.fallback_refilled_at = now;
    CHECK(dm::spend(quota, rate_limit, false, now));
    dm::return_token(quota, false);
    CHECK(quota.tokens == 0);
    CHECK(dm::spend(quota, rate_limit, false, now));
    CHECK_FALSE(dm::spend(quota, rate_limit, false, now));
    dm::return_token(quota, true);
    CHECK(quota.tokens == 1);
    CHECK_FALSE(dm::spend(quota, rate_limit, false, now));
}

TEST_SUITE_END();
