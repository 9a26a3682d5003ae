#ifndef DANDELIONMOUNT_TESTS_SUPPORT_TOKEN_FLEET_H
#define DANDELIONMOUNT_TESTS_SUPPORT_TOKEN_FLEET_H

#include "dandelionmount/process/clock.h"
#include "dandelionmount/process/token_share.h"
#include "tests/support/rate_check.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace tests {

/// Ways to keep one account's rate over a fleet.
enum class rate_policy { shares, static_split, central_owner };

/// Demand, links and faults of one run.
struct token_run {
    std::uint64_t seed{1};
    rate_policy policy{rate_policy::shares};
    std::uint32_t zones{3};
    std::uint32_t hosts_of_zone{4};
    double rate{100};
    double burst{100};
    /// Requests each second, as a share of the rate.
    double demand{0.7};
    /// Share of all requests that enters at one host.
    double skew{0};
    /// How often the busiest host changes, in seconds; 0 for never.
    double move_every{0};
    double seconds{30};
    double loss{0};
    double duplicates{0};
    int most_delay_ms{3};
    /// Chance in each second that a host stops for a while.
    double pauses{0};
    /// From when to when one host is dead; it keeps a share.
    double dead_from{-1};
    double dead_until{-1};
    /// From when to when the last zone is cut off.
    double cut_from{-1};
    double cut_until{-1};
    /// Largest difference in speed between clocks.
    double drift{0};
};

/// What came of one run.
struct token_outcome {
    std::uint64_t requests{0};
    std::uint64_t admitted{0};
    /// Requests that an ideal limiter admits and that were refused.
    std::uint64_t wrongly_refused{0};
    /// By how much some window exceeded rate and burst; not above 0 when none did.
    double excess{0};
    std::uint64_t messages{0};
};

/// Runs the shares' own code for a fleet in one thread, over links that delay, lose and repeat messages.
class token_fleet {
public:
    explicit token_fleet(const token_run& run);
    [[nodiscard]] token_outcome run();

private:
    struct waiting_request {
        double arrived{0};
        bool ideal{false};
        int passes{0};
    };
    struct host {
        std::string name;
        std::uint32_t zone{0};
        double speed{1};
        bool keeper{false};
        bool dead{false};
        double paused_until{0};
        dandelionmount::rate_share share;
        dandelionmount::token_balance wallet;
        std::deque<waiting_request> waiting;
        std::uint64_t next_grant{0};
        double last_report{0};
    };

    [[nodiscard]] dandelionmount::steady_time clock_of(const host& one) const;
    [[nodiscard]] bool is_up(const host& one) const;
    [[nodiscard]] bool is_linked(const host& from, const host& to) const;
    void post(const host& from, const host& to, std::function<void()> action);
    void arrive();
    void apply_faults();
    void serve(host& one);
    [[nodiscard]] bool admit(host& one);
    void ask_keepers(host& one);
    void ask(host& from, host& keeper, double wanted);
    void report(host& one);
    void finish(const waiting_request& request, bool admitted);

    token_run run_;
    std::mt19937_64 random_;
    ideal_bucket ideal_;
    std::vector<host> hosts_;
    std::multimap<double, std::function<void()>> events_;
    double now_{0};
    std::size_t busiest_{0};
    double next_arrival_{0};
    std::vector<double> admissions_;
    token_outcome outcome_;
};

} // namespace tests

#endif
