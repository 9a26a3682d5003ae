#ifndef DANDELIONMOUNT_PROCESS_RETRY_ALLOCATION_H
#define DANDELIONMOUNT_PROCESS_RETRY_ALLOCATION_H

#include "dandelionmount/process/clock.h"
#include "dandelionmount/process/window_history.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

// Retry budget of a service over the fleet, against retry storms: within any window, all hosts together
// repeat at most a share of the requests for the service, and some besides. One host, the allocator, grants
// retry tokens to the hosts whose attempts fail, so that the budget is spent where it is needed.
//
// Hosts report running totals, so a lost report loses nothing, and their totals of the last window, from
// which another allocator takes over after one round of reports. All times include system suspensions.

namespace dandelionmount {

/// Limit of the repeated attempts at one service.
struct fleet_retry_limit {
    /// Repeats as a share of the requests for the service.
    double share{0};
    /// Repeats allowed in addition, over the whole fleet.
    double slack{0};
    /// Hosts in the fleet, reachable or not.
    std::size_t hosts{1};
    /// Window within which requests and repeats are counted.
    duration window{std::chrono::seconds(10)};
};

/// How long a host may use granted retry tokens, counted from the sending of its report.
constexpr duration retry_token_validity = std::chrono::milliseconds(600);

/// Requests, repeats and retry tokens of one service at one host.
struct host_retry_quota {
    explicit host_retry_quota(duration window) : requests(window), repeats(window) {}

    /// First attempts.
    window_history requests;
    /// Repeated attempts: retries made here, and calls that targets made while they ran a request again.
    window_history repeats;
    /// Totals of both since the process started.
    double all_requests{0};
    double all_repeats{0};
    double tokens{0};
    steady_time valid_until;
    /// Since the last report: requests, weighted by the requests that each represents, attempts, attempts
    /// that failed and could be repeated, and those of them that targets rejected.
    double demanded{0};
    double attempts{0};
    double failures{0};
    double rejections{0};
    /// EWMA of the same, per second.
    double demand_rate{0};
    double attempt_rate{0};
    double failure_rate{0};
    double rejection_rate{0};
    steady_time reported_at;
    steady_time last_urgent_request_at;
    /// Whether the latest grant was smaller than requested.
    bool exhausted{false};
    /// Latest retry pressure of the service, and when it was reported; see `retry_pressure`.
    double pressure{0};
    steady_time pressure_as_of;
};

/// Requests and repeats of one service at one host. Repeats include the tokens that the host may still use.
struct retry_totals {
    double requests{0};
    double repeats{0};
};

/// Report of one host on one service.
struct retry_usage {
    /// Since the host's process started, and within the last window.
    retry_totals all;
    retry_totals in_window;
    /// Tokens requested in addition.
    std::uint32_t wanted{0};
    /// Requests per second that the fleet's callers demand through this host, those shed at ingress nodes
    /// included; attempts, and those that targets rejected.
    double demand_rate{0};
    double attempt_rate{0};
    double rejection_rate{0};
};

/// Answer to a report.
struct retry_grant {
    std::uint32_t tokens{0};
    /// Number of tokens that the report requested.
    std::uint32_t wanted{0};
    double pressure{0};
};

/// Records a request for the service. `weight` is the number of requests that it represents; `repeat_share`
/// is the probability that the request itself is a call made by a run that was a repeat.
void record_request(host_retry_quota& quota, double weight, double repeat_share, steady_time now);
/// Records a failed attempt that could be repeated; `rejected` if its target rejected it.
void record_failure(host_retry_quota& quota, bool rejected);
/// Uses one retry: a granted token while the allocator is `reachable`, otherwise one of the host's own share.
[[nodiscard]] bool use_retry(host_retry_quota& quota, const fleet_retry_limit& limit, bool reachable,
                             steady_time now);
/// Whether a failed attempt without a token may cause a report before the next regular one.
[[nodiscard]] bool may_request_retry_urgently(const host_retry_quota& quota, steady_time now);
/// Prepares a report; `urgent` when a failed attempt waits for a token.
[[nodiscard]] retry_usage report_usage(host_retry_quota& quota, bool urgent, steady_time now);
/// Applies the answer to a report; its tokens may be used until `until`.
void apply_grant(host_retry_quota& quota, const retry_grant& grant, steady_time until, steady_time now);
/// Retry pressure of the service as last reported; 0 when the report is too old.
[[nodiscard]] double current_pressure(const host_retry_quota& quota, steady_time now);

/// Latest report of one host, and what the host was granted since.
struct reported_usage {
    retry_totals all;
    double demand_rate{0};
    double attempt_rate{0};
    double rejection_rate{0};
    steady_time received_at;
};

/// Retry budget of a service at its allocator.
struct service_retry_pool {
    explicit service_retry_pool(duration window) : requests(window), repeats(window) {}

    std::map<std::string, reported_usage, std::less<>> hosts;
    /// Of the whole fleet. Repeats include granted tokens.
    window_history requests;
    window_history repeats;
    /// Totals over `hosts`, per second.
    double demand_rate{0};
    double attempt_rate{0};
    double rejection_rate{0};
    steady_time expired_at;
    /// Tokens that may be granted now without using the budget of the window too early.
    double paced_tokens{0};
    steady_time paced_at;
    /// Whether requests are shed for the pressure.
    bool has_pressure{false};
    /// Whether shedding has lowered the budget so far that it no longer serves more; until the service
    /// recovers.
    bool is_budget_worn{false};
};

/// Records a host's report and grants whole tokens, at most those it wants. A part of the budget may be used
/// at once, the rest evenly over the window, so that a failure that lasts does not leave its later requests
/// without retries. Only the `reachable_fraction` of the slack is used, the fraction of the fleet's hosts
/// that report to this allocator. A host's report counts for one window after it was received.
[[nodiscard]] retry_grant grant_retries(service_retry_pool& pool, std::string_view host,
                                        const retry_usage& usage, const fleet_retry_limit& limit,
                                        double reachable_fraction, steady_time now);
/// Ratio of the retries that the demanded requests need to those that the budget allows, while a service
/// rejects so many attempts that it is better to admit fewer requests and to repeat their attempts; otherwise
/// 0.
///
/// Of a request with k calls in a row, of which each attempt fails with probability f, all succeed with
/// probability ((1 - f) (1 + b))^k if b retries a call are spread over all requests. Admitting only the share
/// b (1 - f) / f, whose failed attempts can all be repeated, serves more requests for high f, and can choose
/// the most important ones. It also lowers the requests that the budget is a share of, so it ends after about
/// a window.
[[nodiscard]] double retry_pressure(service_retry_pool& pool, const fleet_retry_limit& limit,
                                    steady_time now);

} // namespace dandelionmount

#endif
