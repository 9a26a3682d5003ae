#ifndef DANDELIONMOUNT_PROCESS_RATE_ALLOCATION_H
#define DANDELIONMOUNT_PROCESS_RATE_ALLOCATION_H

#include "dandelionmount/process/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

// A rate over the fleet. One host holds the bucket of an account and hands out tokens in answer to reports;
// hosts keep a small stock, and a host that nobody hands tokens to goes by an equal share of the rate. All
// times count suspensions.

namespace dandelionmount {

/// How long tokens may be spent. The host counts from when it asked, so that they lapse there first.
constexpr duration token_validity = std::chrono::milliseconds(600);
/// How long a host counts as in touch after a report, at both ends; it keeps off its own share for that long.
constexpr duration touch_validity = std::chrono::milliseconds(1000);

/// Where an account's rate stands for one host.
struct fleet_share {
    double rate{0};
    double burst{0};
    /// Hosts of the fleet, reachable or not.
    std::size_t hosts{1};
};

/// What one host may admit of an account.
struct token_stock {
    double tokens{0};
    steady_time valid_until;
    /// The host's own share of the rate, filled only while nobody hands out tokens.
    double own_tokens{0};
    steady_time own_filled;
    /// Requests that callers sent since the last report.
    double arrived{0};
    /// Requests each second, recent reports weighing most.
    double demand{0};
    steady_time reported;
    /// The fleet's demand for each request that the rate admits, as last heard.
    double pressure{0};
    /// When the stock was last asked for out of turn.
    steady_time asked_out_of_turn;
};

/// Spends a token for one request: of the stock while the host is in touch, else of its own share.
[[nodiscard]] bool spend(token_stock& stock, const fleet_share& share, bool in_touch, steady_time now);
/// Puts back the token of a request that was not run, where a request would spend one now. `in_touch` as in
/// spend().
void return_token(token_stock& stock, bool in_touch);
/// Ends the interval since the last report and takes its arrivals into the demand.
void note_report(token_stock& stock, steady_time now);
/// Tokens to ask for; `urgent` when a request waits for one.
[[nodiscard]] std::uint32_t wanted_tokens(const token_stock& stock, bool urgent, steady_time now);
/// Whether a request that found no token may ask for one out of turn. An account below its rate always may;
/// one above it must not cost more than others.
[[nodiscard]] bool may_ask_out_of_turn(const token_stock& stock, steady_time now);
/// Takes tokens in that may be spent until then.
void take_tokens(token_stock& stock, double tokens, steady_time until, steady_time now);

/// An account's bucket, at the host that hands out its tokens.
struct account_bucket {
    double tokens{0};
    steady_time filled;
    /// Largest part of the fleet that was heard so far; a bucket starts nearly empty, as another host may
    /// just have emptied the one before it.
    double most_heard{0};
    /// The demand that each host reported, and when.
    std::map<std::string, std::pair<double, steady_time>, std::less<>> demands;
};

/// Hands out whole tokens, at most `wanted`. `heard` is the part of the fleet's hosts that are in touch: the
/// others may each admit an equal share, and so a second bucket on the other side of a cut, which hears the
/// other hosts, and this one stay within the rate together.
[[nodiscard]] std::uint32_t grant_tokens(account_bucket& bucket, std::uint32_t wanted,
                                         const fleet_share& share, double heard, steady_time now);
/// Takes in the demand of one host, and returns the fleet's demand for each request that the rate admits.
double note_demand(account_bucket& bucket, std::string_view host, double demand, double rate,
                   steady_time now);

} // namespace dandelionmount

#endif
