#include "dandelionmount/process/retry_allocation.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace dandelionmount {

namespace {

// Part of the limit that is granted. The rest covers repeats that are known late or not at all: tokens whose
// grant crossed a report, and the calls of repeated runs that were attributed to other runs.
constexpr double granted_part = 0.8;
// Parts of the window's budget and of the slack that may be used at once.
constexpr double burst_of_budget = 0.15;
constexpr double burst_of_slack = 0.3;
// Time constant of the EWMA of the rates.
constexpr duration averaging_time = std::chrono::milliseconds(500);
// Tokens cover the demand of this time: the interval between reports and a margin.
constexpr duration token_horizon = std::chrono::milliseconds(350);
// Minimum interval between urgent requests while the budget is exhausted.
constexpr duration urgent_request_interval = std::chrono::milliseconds(100);
// Interval at which reports of hosts that are gone are removed.
constexpr duration expiry_interval = std::chrono::seconds(1);

// Calls that a request makes in a row, for the choice between retrying the calls of all requests and those of
// few.
constexpr int assumed_calls = 4;
// How much more the few most important requests are worth than the same number drawn from all: a low estimate
// before requests are shed, and a high one while they are (hysteresis).
constexpr double min_selection_gain = 1.2;
constexpr double max_selection_gain = 2;
// Share of rejected attempts below which the service counts as recovered.
constexpr double recovered_rejection_share = 0.2;
// Higher shares can't be told from a service that is down.
constexpr double max_rejection_share = 0.9;
// A pressure reported longer ago does not count; reports are made several times a second.
constexpr duration pressure_validity = std::chrono::seconds(1);

double usable_tokens(const host_retry_quota& quota, steady_time now) {
    return quota.valid_until > now ? quota.tokens : 0;
}

void add_rates(service_retry_pool& pool, const reported_usage& usage, double sign) {
    pool.demand_rate += sign * usage.demand_rate;
    pool.attempt_rate += sign * usage.attempt_rate;
    pool.rejection_rate += sign * usage.rejection_rate;
}

void remove_expired(service_retry_pool& pool, duration window, steady_time now) {
    if (now - pool.expired_at < expiry_interval) {
        return;
    }
    pool.expired_at = now;
    std::erase_if(pool.hosts, [&](const auto& entry) { return now - entry.second.received_at > window; });
    // Computed anew, so that rounding errors do not add up.
    pool.demand_rate = 0;
    pool.attempt_rate = 0;
    pool.rejection_rate = 0;
    for (const auto& [host, reported] : pool.hosts) {
        add_rates(pool, reported, 1);
    }
}

// A host that reports here for the first time may have reported to another allocator before, so its last
// window is taken over. When its repeats happened is not known; they count as the latest. Totals that are
// lower than before are those of a new process.
void record_totals(service_retry_pool& pool, const reported_usage& before, const retry_usage& usage,
                   bool is_known, steady_time now) {
    if (!is_known) {
        pool.requests.add_evenly(usage.in_window.requests, now);
        pool.repeats.add(usage.in_window.repeats, now);
        return;
    }
    const bool has_restarted = usage.all.requests < before.all.requests;
    const retry_totals since = has_restarted ? retry_totals{} : before.all;
    pool.requests.add(usage.all.requests - since.requests, now);
    pool.repeats.add(usage.all.repeats - since.repeats, now);
}

// Requests that the repeats of the window that starts `ago` bins before the newest one are compared with:
// those of this window, of the one half a window before or of the one before, whichever are most. So the
// budget outlasts the moment at which a failing service lowers the traffic that it is a share of.
double counted_requests(const window_history::sums& requests, std::size_t ago) {
    constexpr std::size_t window = window_history::bins_per_window;
    constexpr std::size_t half = window / 2;
    const std::size_t before_end = std::min(ago + 1 + window, requests.size() - 1);
    const double same = requests.at(ago + 1);
    const double overlapping = requests.at(ago + half + 1) - requests.at(ago >= half ? ago - half + 1 : 0);
    const double before = requests.at(before_end) - requests.at(ago + 1);
    return std::max({same, overlapping, before});
}

// Repeats that may be granted now without exceeding the limit in any window that contains the present.
double remaining_repeats(service_retry_pool& pool, const fleet_retry_limit& limit, double slack,
                         steady_time now) {
    pool.requests.advance(now);
    pool.repeats.advance(now);
    const auto requests = pool.requests.newest_sums();
    const auto repeats = pool.repeats.newest_sums();
    double least = std::numeric_limits<double>::infinity();
    for (std::size_t ago = 0; ago <= window_history::bins_per_window; ++ago) {
        const double allowed = granted_part * (limit.share * counted_requests(requests, ago) + slack);
        least = std::min(least, allowed - repeats.at(ago + 1));
    }
    return least;
}

// Repeats allowed in the window that ends now.
double budget_of_window(const service_retry_pool& pool, const fleet_retry_limit& limit, double slack) {
    const double requests =
        counted_requests(pool.requests.newest_sums(), window_history::bins_per_window - 1);
    return granted_part * (limit.share * requests + slack);
}

void refill_paced_tokens(service_retry_pool& pool, const fleet_retry_limit& limit, double slack,
                         steady_time now) {
    const double budget = budget_of_window(pool, limit, slack);
    const double burst = burst_of_budget * budget + burst_of_slack * slack;
    const double windows =
        pool.paced_at == steady_time{} ? 1 : to_seconds(now - pool.paced_at) / to_seconds(limit.window);
    pool.paced_at = now;
    pool.paced_tokens = std::min(burst, pool.paced_tokens + windows * budget);
}

void update_rates(host_retry_quota& quota, steady_time now) {
    const double elapsed = quota.reported_at == steady_time{} ? 1 : to_seconds(now - quota.reported_at);
    if (elapsed <= 0) {
        return;
    }
    const double weight = std::min(1.0, elapsed / to_seconds(averaging_time));
    quota.demand_rate += weight * (quota.demanded / elapsed - quota.demand_rate);
    quota.attempt_rate += weight * (quota.attempts / elapsed - quota.attempt_rate);
    quota.failure_rate += weight * (quota.failures / elapsed - quota.failure_rate);
    quota.rejection_rate += weight * (quota.rejections / elapsed - quota.rejection_rate);
    quota.demanded = 0;
    quota.attempts = 0;
    quota.failures = 0;
    quota.rejections = 0;
    quota.reported_at = now;
}

} // namespace

void record_request(host_retry_quota& quota, double weight, double repeat_share, steady_time now) {
    quota.demanded += weight;
    quota.attempts += 1;
    quota.requests.add(1, now);
    quota.repeats.add(repeat_share, now);
    quota.all_requests += 1;
    quota.all_repeats += repeat_share;
}

void record_failure(host_retry_quota& quota, bool rejected) {
    quota.failures += 1;
    quota.rejections += rejected ? 1 : 0;
}

bool use_retry(host_retry_quota& quota, const fleet_retry_limit& limit, bool reachable, steady_time now) {
    if (reachable) {
        if (usable_tokens(quota, now) < 1) {
            return false;
        }
        quota.tokens -= 1;
    } else {
        const double own_slack = limit.slack / static_cast<double>(std::max<std::size_t>(1, limit.hosts));
        const double allowed = granted_part * (limit.share * quota.requests.window_total(now) + own_slack);
        if (quota.repeats.window_total(now) + 1 > allowed) {
            return false;
        }
    }
    quota.attempts += 1;
    quota.repeats.add(1, now);
    quota.all_repeats += 1;
    return true;
}

bool may_request_retry_urgently(const host_retry_quota& quota, steady_time now) {
    return !quota.exhausted || now - quota.last_urgent_request_at >= urgent_request_interval;
}

retry_usage report_usage(host_retry_quota& quota, bool urgent, steady_time now) {
    update_rates(quota, now);
    const double held = usable_tokens(quota, now);
    const double wanted = quota.failure_rate * to_seconds(token_horizon) + (urgent ? 1 : 0) - held;
    retry_usage usage;
    usage.all = {quota.all_requests, quota.all_repeats + held};
    usage.in_window = {quota.requests.window_total(now), quota.repeats.window_total(now) + held};
    usage.wanted = static_cast<std::uint32_t>(std::max(wanted, 0.0));
    usage.demand_rate = quota.demand_rate;
    usage.attempt_rate = quota.attempt_rate;
    usage.rejection_rate = quota.rejection_rate;
    return usage;
}

void apply_grant(host_retry_quota& quota, const retry_grant& grant, steady_time until, steady_time now) {
    quota.tokens = usable_tokens(quota, now) + grant.tokens;
    quota.valid_until = std::max(quota.valid_until, until);
    quota.exhausted = grant.tokens < grant.wanted;
    quota.pressure = grant.pressure;
    quota.pressure_as_of = now;
}

double current_pressure(const host_retry_quota& quota, steady_time now) {
    return now - quota.pressure_as_of < pressure_validity ? quota.pressure : 0;
}

retry_grant grant_retries(service_retry_pool& pool, std::string_view host, const retry_usage& usage,
                          const fleet_retry_limit& limit, double reachable_fraction, steady_time now) {
    remove_expired(pool, limit.window, now);
    const auto [entry, is_new] = pool.hosts.try_emplace(std::string(host));
    reported_usage& reported = entry->second;
    record_totals(pool, reported, usage, !is_new, now);
    add_rates(pool, reported, -1);
    reported = {usage.all, usage.demand_rate, usage.attempt_rate, usage.rejection_rate, now};
    add_rates(pool, reported, 1);
    retry_grant grant;
    grant.wanted = usage.wanted;
    grant.pressure = retry_pressure(pool, limit, now);
    if (usage.wanted > 0) {
        const double slack = limit.slack * reachable_fraction;
        const double remaining = remaining_repeats(pool, limit, slack, now);
        refill_paced_tokens(pool, limit, slack, now);
        const double granted = std::floor(
            std::clamp(std::min(remaining, pool.paced_tokens), 0.0, static_cast<double>(usage.wanted)));
        pool.paced_tokens -= granted;
        pool.repeats.add(granted, now);
        reported.all.repeats += granted;
        grant.tokens = static_cast<std::uint32_t>(granted);
    }
    return grant;
}

double retry_pressure(service_retry_pool& pool, const fleet_retry_limit& limit, steady_time now) {
    if (pool.attempt_rate <= 0) {
        return 0;
    }
    const double rejected = std::min(max_rejection_share, pool.rejection_rate / pool.attempt_rate);
    if (rejected < recovered_rejection_share) {
        pool.is_budget_worn = false;
        pool.has_pressure = false;
        return 0;
    }
    pool.requests.advance(now);
    const double needed = pool.demand_rate * rejected / (1 - rejected);
    const double allowed = budget_of_window(pool, limit, limit.slack) / to_seconds(limit.window);
    // Share of the requests that succeed if all are admitted, and if only those are whose calls can be
    // repeated.
    const double call_success = (1 - rejected) * (1 + granted_part * limit.share);
    const double success_of_all = std::pow(std::min(1.0, call_success), assumed_calls);
    const double success_of_few = needed > 0 ? allowed / needed : 1;
    if (success_of_few >= 1) {
        return 0;
    }
    const double gain = pool.has_pressure ? max_selection_gain : min_selection_gain;
    if (success_of_few * gain < success_of_all) {
        pool.is_budget_worn = pool.is_budget_worn || pool.has_pressure;
        pool.has_pressure = false;
        return 0;
    }
    if (pool.is_budget_worn) {
        return 0;
    }
    pool.has_pressure = true;
    return 1 / success_of_few;
}

} // namespace dandelionmount
