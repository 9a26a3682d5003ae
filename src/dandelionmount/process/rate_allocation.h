#ifndef DANDELIONMOUNT_PROCESS_RATE_ALLOCATION_H
#define DANDELIONMOUNT_PROCESS_RATE_ALLOCATION_H

#include "dandelionmount/process/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

// Allocation of an account's rate over the fleet. One host, the rate allocator, holds the account's token
// bucket and grants tokens in answer to reports. Hosts keep a small quota of tokens; a host without a
// reachable allocator falls back to an equal share of the rate. All times include system suspensions.

namespace dandelionmount {

/// How long a host may spend granted tokens, counted from the sending of its report, so that transit time
/// does not extend it.
constexpr duration token_validity = std::chrono::milliseconds(600);
/// How long host and allocator count as reachable for each other after a report; the host counts from
/// the sending and does not use its fallback share during this time.
constexpr duration reachability_validity = std::chrono::milliseconds(1000);

/// Rate limit of an account, and the size of the fleet as seen by one host.
struct fleet_rate_limit {
    /// Requests per second over the whole fleet.
    double rate{0};
    /// Burst size in requests over the whole fleet.
    double burst{0};
    /// Hosts in the fleet, reachable or not.
    std::size_t hosts{1};
};

/// Tokens and demand of one account at one host.
struct host_quota {
    double tokens{0};
    steady_time valid_until;
    /// Bucket for the host's equal share of the rate, used only while no allocator is reachable.
    double fallback_tokens{0};
    steady_time fallback_refilled_at;
    /// Requests received from callers since the last report.
    double arrivals{0};
    /// EWMA of the requests per second.
    double demand{0};
    steady_time reported_at;
    /// Ratio of the fleet's demand to the rate, as of the allocator's latest answer.
    double pressure{0};
    /// When tokens were last requested between the regular reports.
    steady_time last_urgent_request_at;
};

/// Spends a token for one request: a granted one while the allocator is `reachable`, else one of the fallback
/// share.
[[nodiscard]] bool spend(host_quota& quota, const fleet_rate_limit& rate_limit, bool reachable,
                         steady_time now);
/// Refunds the token of a request that has not run to the bucket that spend() would use now.
void return_token(host_quota& quota, bool reachable);
/// Updates the demand with the arrivals since the last report and starts the next interval.
void update_demand(host_quota& quota, steady_time now);
/// Number of tokens to request; `urgent` when a request waits for one.
[[nodiscard]] std::uint32_t wanted_tokens(const host_quota& quota, bool urgent, steady_time now);
/// Whether a request without a token may cause a report before the next regular one: always for an account
/// below its rate, at limited frequency for one above it, so that it costs no more than other accounts.
[[nodiscard]] bool may_request_urgently(const host_quota& quota, steady_time now);
/// Adds granted tokens that may be spent until `until`.
void add_tokens(host_quota& quota, double tokens, steady_time until, steady_time now);

/// An account's token bucket at its rate allocator.
struct account_bucket {
    double tokens{0};
    steady_time refilled_at;
    /// Largest fraction of the fleet's hosts that has been reachable so far. A new bucket starts nearly
    /// empty, because an earlier bucket on another host may just have been emptied.
    double max_reachable_fraction{0};
    /// Last reported demand of each host, with the time of the report.
    std::map<std::string, std::pair<double, steady_time>, std::less<>> demands;
};

/// Grants whole tokens, at most `wanted`. The bucket uses only the `reachable_fraction` of rate and burst,
/// the fraction of the fleet's hosts that are reachable, because every other host may admit its equal share.
/// Buckets on both sides of a network partition therefore stay within the rate together.
[[nodiscard]] std::uint32_t grant_tokens(account_bucket& bucket, std::uint32_t wanted,
                                         const fleet_rate_limit& rate_limit, double reachable_fraction,
                                         steady_time now);
/// Records the demand of one host and returns the ratio of the fleet's demand to the rate.
double record_demand(account_bucket& bucket, std::string_view host, double demand, double rate,
                     steady_time now);

} // namespace dandelionmount

#endif
