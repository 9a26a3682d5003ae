#include "dandelionmount/process/retry_allocation.h"

#include <algorithm>
#include <cmath>

namespace dandelionmount {

namespace {

// Part of the limit that is granted. The rest covers repeats that are known late or not at all: tokens whose
// grant crossed a report, and the calls of repeated runs that were attributed to other runs.
constexpr double granted_part = 0.8;
// Time constant of the EWMA of the failures.
constexpr duration demand_window = std::chrono::milliseconds(500);
// Tokens cover the demand of this time: the interval between reports and a margin.
constexpr duration token_horizon = std::chrono::milliseconds(350);
// Minimum interval between urgent requests while the budget is exhausted.
constexpr duration urgent_request_interval = std::chrono::milliseconds(100);
// Interval at which reports of hosts that are gone are removed.
constexpr duration expiry_interval = std::chrono::seconds(1);

double usable_tokens(const host_retry_quota& quota, steady_time now) {
    return quota.valid_until > now ? quota.tokens : 0;
}

void remove_expired(service_retry_pool& pool, duration window, steady_time now) {
    if (now - pool.expired_at < expiry_interval) {
        return;
    }
    pool.expired_at = now;
    pool.requests = 0;
    pool.repeats = 0;
    std::erase_if(pool.hosts, [&](const auto& entry) { return now - entry.second.received_at > window; });
    for (const auto& [host, reported] : pool.hosts) {
        pool.requests += reported.requests;
        pool.repeats += reported.repeats;
    }
}

} // namespace

void record_request(host_retry_quota& quota, double repeat_share, steady_time now) {
    quota.requests.add(1, now);
    quota.repeats.add(repeat_share, now);
}

void record_failure(host_retry_quota& quota) {
    quota.failures += 1;
}

bool use_retry(host_retry_quota& quota, const fleet_retry_limit& limit, bool reachable, steady_time now) {
    if (reachable) {
        if (usable_tokens(quota, now) < 1) {
            return false;
        }
        quota.tokens -= 1;
    } else {
        const double own_slack = limit.slack / static_cast<double>(std::max<std::size_t>(1, limit.hosts));
        const double allowed = granted_part * (limit.share * quota.requests.total(now) + own_slack);
        if (quota.repeats.total(now) + 1 > allowed) {
            return false;
        }
    }
    quota.repeats.add(1, now);
    return true;
}

bool may_request_retry_urgently(const host_retry_quota& quota, steady_time now) {
    return !quota.exhausted || now - quota.last_urgent_request_at >= urgent_request_interval;
}

retry_usage report_usage(host_retry_quota& quota, bool urgent, steady_time now) {
    const double elapsed = quota.reported_at == steady_time{} ? 1 : to_seconds(now - quota.reported_at);
    if (elapsed > 0) {
        const double weight = std::min(1.0, elapsed / to_seconds(demand_window));
        quota.demand += weight * (quota.failures / elapsed - quota.demand);
        quota.failures = 0;
        quota.reported_at = now;
    }
    const double held = usable_tokens(quota, now);
    const double wanted = quota.demand * to_seconds(token_horizon) + (urgent ? 1 : 0) - held;
    retry_usage usage;
    usage.requests = quota.requests.total(now);
    usage.repeats = quota.repeats.total(now) + held;
    usage.wanted = static_cast<std::uint32_t>(std::max(wanted, 0.0));
    return usage;
}

void add_retry_tokens(host_retry_quota& quota, std::uint32_t wanted, std::uint32_t granted, steady_time until,
                      steady_time now) {
    quota.tokens = usable_tokens(quota, now) + granted;
    quota.valid_until = std::max(quota.valid_until, until);
    quota.exhausted = granted < wanted;
}

std::uint32_t grant_retries(service_retry_pool& pool, std::string_view host, const retry_usage& usage,
                            const fleet_retry_limit& limit, double reachable_fraction, duration window,
                            steady_time now) {
    remove_expired(pool, window, now);
    reported_usage& reported = pool.hosts[std::string(host)];
    pool.requests += usage.requests - reported.requests;
    pool.repeats += usage.repeats - reported.repeats;
    const double allowed =
        granted_part * (limit.share * pool.requests + limit.slack * reachable_fraction) - pool.repeats;
    const double granted = std::floor(std::clamp(allowed, 0.0, static_cast<double>(usage.wanted)));
    pool.repeats += granted;
    reported = {usage.requests, usage.repeats + granted, now};
    return static_cast<std::uint32_t>(granted);
}

} // namespace dandelionmount
