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

/// Policies for limiting one account's rate over a fleet: shares of the rate owned by several hosts, an equal
/// share on every host, or one host that grants all tokens.
enum class rate_policy { shares, static_split, central_owner };

/// Demand, links and faults of one simulation.
struct token_run {
    std::uint64_t seed{1};
    rate_policy policy{rate_policy::shares};
    std::uint32_t zones{3};
    std::uint32_t hosts_per_zone{4};
    /// Requests per second.
    double rate{100};
    double burst{100};
    /// Requests per second that arrive, as a fraction of the rate.
    double demand{0.7};
    /// Fraction of all requests that arrives at the hotspot, one host.
    double skew{0};
    /// Interval after which the hotspot moves, in seconds; 0 for never.
    double hotspot_move_interval{0};
    /// Simulated time.
    double seconds{30};
    /// Fractions of the messages that are lost, and that are sent twice.
    double loss{0};
    double duplicates{0};
    int max_delay_ms{3};
    /// Pauses per second of each host, each of up to 6 s.
    double pause_rate{0};
    /// Interval, in seconds from the start, during which one share owner is dead.
    double dead_from{-1};
    double dead_until{-1};
    /// Interval, in seconds from the start, during which the last zone is partitioned from the others.
    double partition_from{-1};
    double partition_until{-1};
    /// Largest relative deviation of a host's clock speed.
    double drift{0};
};

/// Results of one simulation.
struct token_outcome {
    std::uint64_t requests{0};
    std::uint64_t admitted{0};
    /// Refused requests that an ideal limiter would have admitted.
    std::uint64_t wrongly_refused{0};
    /// Largest number of admissions by which any time window exceeded rate and burst; 0 or less when none
    /// did.
    double excess{0};
    std::uint64_t messages{0};
};

/// Simulates a fleet that limits one account's rate with the real token shares, over links that delay, lose
/// and repeat messages.
class token_fleet {
public:
    explicit token_fleet(const token_run& run);
    [[nodiscard]] token_outcome run();

private:
    struct waiting_request {
        double arrived_at{0};
        bool ideally_admitted{false};
        int rounds_started{0};
    };
    struct host {
        std::string name;
        std::uint32_t zone{0};
        double clock_speed{1};
        bool owns_share{false};
        bool dead{false};
        double paused_until{0};
        dandelionmount::rate_share share;
        dandelionmount::token_balance balance;
        std::deque<waiting_request> waiting;
        std::uint64_t last_grant_id{0};
        double last_report_at{0};
    };

    [[nodiscard]] dandelionmount::steady_time clock_of(const host& node) const;
    [[nodiscard]] bool is_up(const host& node) const;
    [[nodiscard]] bool can_reach(const host& from, const host& to) const;
    void send_message(const host& from, const host& to, std::function<void()> action);
    void generate_arrivals();
    void apply_faults();
    void serve_waiting(host& node);
    [[nodiscard]] bool admit(host& node);
    void request_tokens(host& node);
    void request_from_owner(host& from, host& owner, double wanted);
    void report(host& node);
    void record_outcome(const waiting_request& request, bool admitted);

    token_run run_;
    std::mt19937_64 random_;
    ideal_bucket ideal_;
    std::vector<host> hosts_;
    std::multimap<double, std::function<void()>> events_;
    // Seconds of simulated time.
    double now_{0};
    std::size_t hotspot_{0};
    double next_arrival_{0};
    std::vector<double> admissions_;
    token_outcome outcome_;
};

} // namespace tests

#endif
