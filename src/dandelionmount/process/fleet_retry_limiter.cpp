#include "dandelionmount/process/fleet_retry_limiter.h"

#include "dandelionmount/process/logging.h"

namespace dandelionmount {

namespace asio = boost::asio;

fleet_retry_limit fleet_retry_limiter::limit() const {
    return {settings_.share, settings_.slack, members_.others.size() + 1, settings_.window};
}

host_retry_quota& fleet_retry_limiter::quota_of(std::string_view service) {
    const auto found = quotas_.find(service);
    return found != quotas_.end() ? found->second
                                  : quotas_.try_emplace(std::string(service), settings_.window).first->second;
}

void fleet_retry_limiter::record_request(std::string_view service, double weight, double repeat_share) {
    dandelionmount::record_request(quota_of(service), weight, repeat_share, time_.now_with_suspension());
}

void fleet_retry_limiter::record_failure(std::string_view service, bool rejected) {
    dandelionmount::record_failure(quota_of(service), rejected);
}

double fleet_retry_limiter::pressure(std::string_view service) const {
    const auto found = quotas_.find(service);
    return found == quotas_.end() ? 0 : current_pressure(found->second, time_.now_with_suspension());
}

bool fleet_retry_limiter::use_token(std::string_view service) {
    return use_retry(quota_of(service), limit(), allocators_.is_reachable(service),
                     time_.now_with_suspension());
}

asio::awaitable<bool> fleet_retry_limiter::use_one(std::string service) {
    if (use_token(service)) {
        co_return true;
    }
    const auto now = time_.now_with_suspension();
    if (!allocators_.is_reachable(service) || !may_request_retry_urgently(quota_of(service), now)) {
        co_return false;
    }
    quota_of(service).last_urgent_request_at = now;
    co_await allocators_.report_urgently(service);
    co_return use_token(service);
}

void fleet_retry_limiter::write_usages(wire::rate_report& report,
                                       const std::function<bool(std::string_view service)>& is_included,
                                       std::string_view urgent_service) {
    const auto now = time_.now_with_suspension();
    for (auto& [service, quota] : quotas_) {
        if (!is_included(service)) {
            continue;
        }
        const retry_usage usage = report_usage(quota, service == urgent_service, now);
        auto* written = report.add_retries();
        written->set_service(service);
        written->set_requests(usage.all.requests);
        written->set_repeats(usage.all.repeats);
        written->set_window_requests(usage.in_window.requests);
        written->set_window_repeats(usage.in_window.repeats);
        written->set_wanted(usage.wanted);
        written->set_demand_rate(static_cast<float>(usage.demand_rate));
        written->set_attempt_rate(static_cast<float>(usage.attempt_rate));
        written->set_rejection_rate(static_cast<float>(usage.rejection_rate));
    }
}

void fleet_retry_limiter::allocate(const wire::rate_report& report, std::string_view host,
                                   double reachable_fraction, wire::rate_grants& grants) {
    const auto now = time_.now_with_suspension();
    for (const auto& reported : report.retries()) {
        retry_usage usage;
        usage.all = {reported.requests(), reported.repeats()};
        usage.in_window = {reported.window_requests(), reported.window_repeats()};
        usage.wanted = reported.wanted();
        usage.demand_rate = reported.demand_rate();
        usage.attempt_rate = reported.attempt_rate();
        usage.rejection_rate = reported.rejection_rate();
        service_retry_pool& pool = pools_.try_emplace(reported.service(), settings_.window).first->second;
        const bool had_pressure = pool.has_pressure;
        const retry_grant granted = grant_retries(pool, host, usage, limit(), reachable_fraction, now);
        if (pool.has_pressure != had_pressure) {
            log_event(log_level::info, pool.has_pressure ? "retry pressure began" : "retry pressure ended",
                      {{"service", reported.service()},
                       {"pressure", std::to_string(granted.pressure)},
                       {"attempts_per_s", std::to_string(pool.attempt_rate)},
                       {"rejections_per_s", std::to_string(pool.rejection_rate)},
                       {"demand_per_s", std::to_string(pool.demand_rate)},
                       {"budget_worn", pool.is_budget_worn ? "1" : "0"}});
        }
        if (granted.wanted > 0 || granted.pressure > 0) {
            auto* written = grants.add_retries();
            written->set_service(reported.service());
            written->set_wanted(granted.wanted);
            written->set_tokens(granted.tokens);
            written->set_pressure(static_cast<float>(granted.pressure));
        }
    }
}

void fleet_retry_limiter::read_grants(const wire::rate_grants& grants, steady_time requested_at) {
    const auto now = time_.now_with_suspension();
    for (const auto& grant : grants.retries()) {
        apply_grant(quota_of(grant.service()), {grant.tokens(), grant.wanted(), grant.pressure()},
                    requested_at + retry_token_validity, now);
    }
}

} // namespace dandelionmount
