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

// Hosts that admit one account's requests by parts of its rate, in steps of 10 ms.
struct division_fleet {
    division_fleet(std::size_t count, double account_rate, double account_burst, std::uint64_t seed)
        : rate(account_rate), burst(account_burst), held(count), demand(count), side(count), random(seed) {}

    // Lets a host report to the bucket on its side of a cut.
    void report(std::size_t host, bool urgent) {
        auto& heard = heard_hosts.at(side[host]);
        heard[host] = now + dm::touch_validity;
        std::erase_if(heard, [this](const auto& entry) { return entry.second < now; });
        touched[host] = now + dm::touch_validity;
        dm::token_stock& stock = held[host];
        dm::note_report(stock, now);
        stock.pressure =
            dm::note_demand(buckets.at(side[host]), std::to_string(host), stock.demand, rate, now);
        const double part = static_cast<double>(heard.size()) / static_cast<double>(held.size());
        const auto granted = dm::grant_tokens(buckets.at(side[host]), dm::wanted_tokens(stock, urgent, now),
                                              share(), part, now);
        dm::take_tokens(stock, granted, now + dm::token_validity, now);
    }

    dm::fleet_share share() const { return {rate, burst, held.size()}; }

    bool take(std::size_t host) { return dm::spend(held[host], share(), touched[host] > now, now); }

    void arrive(std::size_t host) {
        held[host].arrived += 1;
        bool admitted = take(host);
        if (!admitted && dm::may_ask_out_of_turn(held[host], now) && reaches[host]) {
            held[host].asked_out_of_turn = now;
            report(host, true);
            admitted = take(host);
        }
        // What one bucket of the whole rate and burst would admit.
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
        for (std::size_t host = 0; host < held.size(); ++host) {
            if (step_number % steps_between_reports == host % steps_between_reports && reaches[host]) {
                report(host, false);
            }
            std::poisson_distribution<int> draw(demand[host] * 0.01);
            for (int left = draw(random); left > 0; --left) {
                arrive(host);
            }
        }
        ++step_number;
    }

    void run(double seconds) {
        for (int left = static_cast<int>(std::lround(seconds * 100)); left > 0; --left) {
            step();
        }
    }

    void count_anew() {
        ideal_count = 0;
        admitted_count = 0;
    }

    // The most that was admitted in any five seconds.
    std::size_t most_in_window() const {
        std::size_t most = 0;
        std::deque<dm::steady_time> window;
        for (const auto at : admissions) {
            window.push_back(at);
            while (at - window.front() >= std::chrono::seconds(5)) {
                window.pop_front();
            }
            most = std::max(most, window.size());
        }
        return most;
    }

    double allowed_in_window() const { return (rate * 5 + burst) * 1.1 + 20; }

    double rate;
    double burst;
    std::vector<dm::token_stock> held;
    std::vector<double> demand;
    std::vector<std::size_t> side;
    std::mt19937_64 random;
    std::vector<dm::account_bucket> buckets{2};
    std::vector<std::map<std::size_t, dm::steady_time>> heard_hosts{2};
    std::map<std::size_t, dm::steady_time> touched;
    std::vector<bool> reaches = std::vector<bool>(held.size(), true);
    std::vector<dm::steady_time> admissions;
    dm::steady_time now{start};
    std::size_t step_number{0};
    double ideal_tokens{burst};
    std::size_t ideal_count{0};
    std::size_t admitted_count{0};
};

void spread_demand(division_fleet& fleet, double total, bool skewed) {
    double sum = 0;
    std::exponential_distribution<double> draw(1);
    for (auto& one : fleet.demand) {
        one = skewed ? std::pow(draw(fleet.random), 2) : 1;
        sum += one;
    }
    for (auto& one : fleet.demand) {
        one *= total / sum;
    }
}

} // namespace

TEST_SUITE_BEGIN("process");

TEST_CASE("An account below its rate is refused next to nothing, evenly spread or not") {
    const auto range = tests::seeds(5);
    for (std::uint64_t seed = range.first; seed < range.first + range.count; ++seed) {
        for (const double rate : {20.0, 200.0}) {
            for (const bool skewed : {false, true}) {
                CAPTURE(seed);
                CAPTURE(rate);
                CAPTURE(skewed);
                division_fleet fleet(14, rate, rate, seed);
                spread_demand(fleet, rate * 0.7, skewed);
                // A bucket starts nearly empty.
                fleet.run(3);
                fleet.count_anew();
                fleet.run(20);
                CHECK(static_cast<double>(fleet.admitted_count) >=
                      0.97 * static_cast<double>(fleet.ideal_count));
            }
        }
    }
}

TEST_CASE("An account above its rate gets most of it, and never more than its rate and burst") {
    const auto range = tests::seeds(5);
    for (std::uint64_t seed = range.first; seed < range.first + range.count; ++seed) {
        for (const double rate : {20.0, 200.0}) {
            for (const double over : {1.15, 7.0}) {
                CAPTURE(seed);
                CAPTURE(rate);
                CAPTURE(over);
                division_fleet fleet(14, rate, rate, seed);
                spread_demand(fleet, rate * 0.6, true);
                fleet.run(5);
                for (auto& one : fleet.demand) {
                    one *= over / 0.6;
                }
                fleet.run(15);
                CHECK(static_cast<double>(fleet.most_in_window()) <= fleet.allowed_in_window());
                CHECK(static_cast<double>(fleet.admitted_count) >=
                      0.95 * static_cast<double>(fleet.ideal_count));
            }
        }
    }
}

TEST_CASE("Two sides of a cut stay within the rate together, and a host that is cut off alone, too") {
    const auto range = tests::seeds(5);
    for (std::uint64_t seed = range.first; seed < range.first + range.count; ++seed) {
        CAPTURE(seed);
        division_fleet fleet(15, 100, 100, seed);
        spread_demand(fleet, 400, true);
        fleet.run(6);
        for (std::size_t host = 0; host < 5; ++host) {
            fleet.side[host] = 1;
        }
        fleet.reaches[14] = false;
        fleet.run(10);
        std::fill(fleet.side.begin(), fleet.side.end(), 0);
        fleet.reaches[14] = true;
        fleet.run(10);
        CHECK(static_cast<double>(fleet.most_in_window()) <= fleet.allowed_in_window());
    }
}

TEST_CASE("A token that was not used goes back to where it came from") {
    const dm::fleet_share share{100, 10, 2};
    const dm::steady_time now{std::chrono::seconds(10)};
    dm::token_stock stock;
    stock.own_tokens = 1;
    stock.own_filled = now;
    CHECK(dm::spend(stock, share, false, now));
    dm::return_token(stock, false);
    CHECK(stock.tokens == 0);
    CHECK(dm::spend(stock, share, false, now));
    CHECK_FALSE(dm::spend(stock, share, false, now));
    dm::return_token(stock, true);
    CHECK(stock.tokens == 1);
    CHECK_FALSE(dm::spend(stock, share, false, now));
}

TEST_SUITE_END();
