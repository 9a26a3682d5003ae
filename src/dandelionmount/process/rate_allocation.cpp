#include "dandelionmount/process/rate_allocation.h"

#include <algorithm>
#include <cmath>

namespace dandelionmount {

namespace {

// Time constant of the EWMA of the demand.
constexpr duration demand_window = std::chrono::milliseconds(500);
// The quota covers the demand of this time: the interval between reports and a margin.
constexpr duration quota_horizon = std::chrono::milliseconds(350);
// Fraction of the burst in a new bucket. The bucket of an earlier allocator may just have been emptied, so
// both buckets together may exceed rate and burst; operators tolerate an excess of 10 %.
constexpr double initial_burst_fraction = 0.1;
constexpr double min_initial_tokens = 10;
// Minimum interval between urgent requests of an account above its rate.
constexpr duration urgent_request_interval = std::chrono::milliseconds(100);
// A bucket with a capacity below one token would never admit a request.
constexpr double min_burst = 1;

} // namespace

bool spend(host_quota& quota, const fleet_rate_limit& rate_limit, bool reachable, steady_time now) {
    if (reachable) {
        quota.fallback_tokens = 0;
        quota.fallback_refilled_at = now;
        if (quota.valid_until <= now || quota.tokens < 1) {
            return false;
        }
        quota.tokens -= 1;
        return true;
    }
    const double fraction = 1 / static_cast<double>(std::max<std::size_t>(1, rate_limit.hosts));
    const double elapsed =
        quota.fallback_refilled_at == steady_time{} ? 0 : to_seconds(now - quota.fallback_refilled_at);
    quota.fallback_refilled_at = now;
    quota.fallback_tokens = std::min(std::max(min_burst, rate_limit.burst * fraction),
                                     quota.fallback_tokens + elapsed * rate_limit.rate * fraction);
    if (quota.fallback_tokens < 1) {
        return false;
    }
    quota.fallback_tokens -= 1;
    return true;
}

void return_token(host_quota& quota, bool reachable) {
    if (reachable) {
        quota.tokens += 1;
    } else {
        quota.fallback_tokens += 1;
    }
}

void update_demand(host_quota& quota, steady_time now) {
    const double elapsed = quota.reported_at == steady_time{} ? 1 : to_seconds(now - quota.reported_at);
    if (elapsed <= 0) {
        return;
    }
    const double weight = std::min(1.0, elapsed / to_seconds(demand_window));
    quota.demand += weight * (quota.arrivals / elapsed - quota.demand);
    quota.arrivals = 0;
    quota.reported_at = now;
}

std::uint32_t wanted_tokens(const host_quota& quota, bool urgent, steady_time now) {
    const double available = quota.valid_until > now ? quota.tokens : 0;
    const double wanted = quota.demand * to_seconds(quota_horizon) + (urgent ? 1 : 0) - available;
    return static_cast<std::uint32_t>(std::max(wanted, 0.0));
}

bool may_request_urgently(const host_quota& quota, steady_time now) {
    return quota.pressure < 1 || now - quota.last_urgent_request_at >= urgent_request_interval;
}

void add_tokens(host_quota& quota, double tokens, steady_time until, steady_time now) {
    const double available = quota.valid_until > now ? quota.tokens : 0;
    quota.tokens = available + tokens;
    quota.valid_until = std::max(quota.valid_until, until);
}

std::uint32_t grant_tokens(account_bucket& bucket, std::uint32_t wanted, const fleet_rate_limit& rate_limit,
                           double reachable_fraction, steady_time now) {
    if (reachable_fraction > bucket.max_reachable_fraction) {
        const double initial_tokens = rate_limit.burst * initial_burst_fraction + min_initial_tokens;
        bucket.tokens += initial_tokens * (reachable_fraction - bucket.max_reachable_fraction);
        bucket.max_reachable_fraction = reachable_fraction;
    }
    const double elapsed = bucket.refilled_at == steady_time{} ? 0 : to_seconds(now - bucket.refilled_at);
    bucket.refilled_at = now;
    bucket.tokens = std::min(std::max(min_burst, rate_limit.burst * reachable_fraction),
                             bucket.tokens + elapsed * rate_limit.rate * reachable_fraction);
    const double granted = std::floor(std::min(static_cast<double>(wanted), bucket.tokens));
    bucket.tokens -= granted;
    return static_cast<std::uint32_t>(granted);
}

double record_demand(account_bucket& bucket, std::string_view host, double demand, double rate,
                     steady_time now) {
    bucket.demands[std::string(host)] = {demand, now};
    std::erase_if(bucket.demands,
                  [now](const auto& entry) { return now - entry.second.second > reachability_validity; });
    double total = 0;
    for (const auto& [name, reported] : bucket.demands) {
        total += reported.first;
    }
    return rate > 0 ? total / rate : 0;
}

} // namespace dandelionmount
