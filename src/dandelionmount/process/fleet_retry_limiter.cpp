#include "dandelionmount/process/fleet_retry_limiter.h"

namespace dandelionmount {

namespace asio = boost::asio;

fleet_retry_limit fleet_retry_limiter::limit() const {
    return {settings_.share, settings_.slack, members_.others.size() + 1};
}

host_retry_quota& fleet_retry_limiter::quota_of(std::string_view service) {
    const auto found = quotas_.find(service);
    return found != quotas_.end() ? found->second
                                  : quotas_.try_emplace(std::string(service), settings_.window).first->second;
}

void fleet_retry_limiter::record_request(std::string_view service, double repeat_share) {
    dandelionmount::record_request(quota_of(service), repeat_share, time_.now_with_suspension());
}

bool fleet_retry_limiter::use_token(std::string_view service) {
    return use_retry(quota_of(service), limit(), allocators_.is_reachable(service),
                     time_.now_with_suspension());
}

asio::awaitable<bool> fleet_retry_limiter::use_one(std::string service) {
    record_failure(quota_of(service));
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
        written->set_requests(usage.requests);
        written->set_repeats(usage.repeats);
        written->set_wanted(usage.wanted);
    }
}

void fleet_retry_limiter::allocate(const wire::rate_report& report, std::string_view host,
                                   double reachable_fraction, wire::rate_grants& grants) {
    const auto now = time_.now_with_suspension();
    for (const auto& usage : report.retries()) {
        const auto granted =
            grant_retries(pools_[usage.service()], host, {usage.requests(), usage.repeats(), usage.wanted()},
                          limit(), reachable_fraction, settings_.window, now);
        if (usage.wanted() > 0) {
            auto* grant = grants.add_retries();
            grant->set_service(usage.service());
            grant->set_wanted(usage.wanted());
            grant->set_tokens(granted);
        }
    }
}

void fleet_retry_limiter::read_grants(const wire::rate_grants& grants, steady_time requested_at) {
    const auto now = time_.now_with_suspension();
    for (const auto& grant : grants.retries()) {
        add_retry_tokens(quota_of(grant.service()), grant.wanted(), grant.tokens(),
                         requested_at + retry_token_validity, now);
    }
}

} // namespace dandelionmount
