#ifndef DANDELIONMOUNT_PROCESS_FLEET_RETRY_LIMITER_H
#define DANDELIONMOUNT_PROCESS_FLEET_RETRY_LIMITER_H

#include "dandelionmount/process/membership.h"
#include "dandelionmount/process/metrics.h"
#include "dandelionmount/process/retry_allocation.h"
#include "dandelionmount/process/retry_limiter.h"
#include "dandelionmount/wire/peer.pb.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace dandelionmount {

/// Limit of the retries at each service of a fleet.
struct fleet_retry_settings {
    /// Repeated attempts as a share of the requests for the service.
    double share{0};
    /// Repeated attempts allowed in addition.
    double slack{0};
    /// Window within which requests and repeats are counted.
    duration window{std::chrono::seconds(10)};
};

/// How the reports reach the hosts that allocate retries.
struct retry_allocators {
    /// Whether the allocator of the service counts as reachable.
    std::function<bool(std::string_view service)> is_reachable;
    /// Reports the service's usage at once, and returns when the answer was applied or is overdue.
    std::function<boost::asio::awaitable<void>(std::string service)> report_urgently;
};

/// Retry limiter for platforms with a record store: the hosts share one budget for each service. Reports and
/// grants travel with those of the client accounts; see `fleet_limiter`.
class fleet_retry_limiter : public retry_limiter {
public:
    /// The references must outlive this object.
    fleet_retry_limiter(const time_source& time, const member_table& members, fleet_retry_settings settings,
                        retry_allocators allocators)
        : time_(time), members_(members), settings_(settings), allocators_(std::move(allocators)) {}

    void record_request(std::string_view service, double weight, double repeat_share) override;
    void record_failure(std::string_view service, bool rejected) override;
    boost::asio::awaitable<bool> use_one(std::string service) override;
    [[nodiscard]] double pressure(std::string_view service) const override;

    /// Adds to a report the usage of the services that `is_included` selects; that of `urgent_service` asks
    /// for one more token.
    void write_usages(wire::rate_report& report,
                      const std::function<bool(std::string_view service)>& is_included,
                      std::string_view urgent_service);
    /// As allocator: grants retries in answer to another host's report. `reachable_fraction` is the fraction
    /// of the fleet's hosts that report to this one.
    void allocate(const wire::rate_report& report, std::string_view host, double reachable_fraction,
                  wire::rate_grants& grants);
    /// Applies the answer to the report sent at `requested_at`.
    void read_grants(const wire::rate_grants& grants, steady_time requested_at);

private:
    [[nodiscard]] fleet_retry_limit limit() const;
    [[nodiscard]] host_retry_quota& quota_of(std::string_view service);
    [[nodiscard]] bool use_token(std::string_view service);

    const time_source& time_;
    const member_table& members_;
    fleet_retry_settings settings_;
    retry_allocators allocators_;
    std::map<std::string, host_retry_quota, std::less<>> quotas_;
    std::map<std::string, service_retry_pool, std::less<>> pools_;
};

} // namespace dandelionmount

#endif
