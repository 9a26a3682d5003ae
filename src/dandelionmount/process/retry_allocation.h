#ifndef DANDELIONMOUNT_PROCESS_RETRY_ALLOCATION_H
#define DANDELIONMOUNT_PROCESS_RETRY_ALLOCATION_H

#include "dandelionmount/process/clock.h"
#include "dandelionmount/process/sliding_sum.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

// Retry budget of a service over the fleet, against retry storms: within any window, all hosts together
// repeat at most a share of the requests for the service, and some besides. One host, the allocator, grants
// retry tokens to the hosts whose attempts fail, so that the budget is spent where it is needed.
//
// Hosts report totals over the window rather than changes, so the allocator keeps nothing that has to survive
// it: a lost report changes nothing, and another allocator knows the fleet's totals after one round of
// reports. All times include system suspensions.

namespace dandelionmount {

/// Limit of the repeated attempts at one service.
struct fleet_retry_limit {
    /// Repeats as a share of the requests for the service.
    double share{0};
    /// Repeats allowed in addition, over the whole fleet.
    double slack{0};
    /// Hosts in the fleet, reachable or not.
    std::size_t hosts{1};
};

/// How long a host may use granted retry tokens, counted from the sending of its report.
constexpr duration retry_token_validity = std::chrono::milliseconds(600);

/// Requests, repeats and retry tokens of one service at one host.
struct host_retry_quota {
    explicit host_retry_quota(duration window) : requests(window), repeats(window) {}

    /// First attempts.
    sliding_sum requests;
    /// Repeated attempts: retries made here, and calls that targets made while they ran a request again.
    sliding_sum repeats;
    double tokens{0};
    steady_time valid_until;
    /// Failed attempts since the last report that could be retried.
    double failures{0};
    /// EWMA of such failures per second.
    double demand{0};
    steady_time reported_at;
    steady_time last_urgent_request_at;
    /// Whether the latest grant was smaller than requested.
    bool exhausted{false};
};

/// Report of one host on one service, for the window that ends now.
struct retry_usage {
    double requests{0};
    /// Repeated attempts, and tokens that the host may still use.
    double repeats{0};
    /// Tokens requested in addition.
    std::uint32_t wanted{0};
};

/// Records a request for the service; `repeat_share` is the probability that the request itself is a call
/// made by a run that was a repeat.
void record_request(host_retry_quota& quota, double repeat_share, steady_time now);
/// Records a failed attempt that could be retried.
void record_failure(host_retry_quota& quota);
/// Uses one retry: a granted token while the allocator is `reachable`, otherwise one of the host's own share.
[[nodiscard]] bool use_retry(host_retry_quota& quota, const fleet_retry_limit& limit, bool reachable,
                             steady_time now);
/// Whether a failed attempt without a token may cause a report before the next regular one.
[[nodiscard]] bool may_request_retry_urgently(const host_retry_quota& quota, steady_time now);
/// Prepares a report; `urgent` when a failed attempt waits for a token.
[[nodiscard]] retry_usage report_usage(host_retry_quota& quota, bool urgent, steady_time now);
/// Adds tokens that may be used until `until`.
void add_retry_tokens(host_retry_quota& quota, std::uint32_t wanted, std::uint32_t granted, steady_time until,
                      steady_time now);

/// Latest report of one host.
struct reported_usage {
    double requests{0};
    /// Includes the tokens granted in answer to the report.
    double repeats{0};
    steady_time received_at;
};

/// Retry budget of a service at its allocator.
struct service_retry_pool {
    std::map<std::string, reported_usage, std::less<>> hosts;
    /// Totals over `hosts`.
    double requests{0};
    double repeats{0};
    steady_time expired_at;
};

/// Records a host's report and grants whole tokens, at most those it wants. Only the `reachable_fraction` of
/// the slack is used, the fraction of the fleet's hosts that report to this allocator. A host's report counts
/// for `window` after it was received.
[[nodiscard]] std::uint32_t grant_retries(service_retry_pool& pool, std::string_view host,
                                          const retry_usage& usage, const fleet_retry_limit& limit,
                                          double reachable_fraction, duration window, steady_time now);

} // namespace dandelionmount

#endif
