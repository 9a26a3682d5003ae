#ifndef DANDELIONMOUNT_REQUEST_DEMAND_RATIO_TABLE_H
#define DANDELIONMOUNT_REQUEST_DEMAND_RATIO_TABLE_H

#include "dandelionmount/process/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

namespace dandelionmount {

/// Requests that are shed at the same rate.
struct request_class {
    std::string route;
    std::uint32_t priority{0};
    std::string account;
    /// Service that has the ratio; empty where ratios are kept whatever service has them.
    std::string bottleneck;

    bool operator<(const request_class& other) const {
        return std::tie(route, priority, account, bottleneck) <
               std::tie(other.route, other.priority, other.account, other.bottleneck);
    }
};

/// Ratio of demand to the capacity of downstream services, for one class of requests.
struct smoothed_ratio {
    /// EWMA of the reported ratios: requests demanded for each one that can be served.
    double ratio{0};
    steady_time received_at;
};

/// Ratio of demand to capacity, and the service that has it.
struct service_demand {
    std::string service;
    double ratio{0};
};

/// Demand ratios received with answers. Classes with a low ratio are left out to save memory.
using demand_ratio_table = std::map<request_class, smoothed_ratio>;

/// Records a ratio received with an answer.
void record_ratio(demand_ratio_table& table, const request_class& key, double ratio, steady_time now);
/// Records the highest ratio of all services to which requests of the route lead. It is an upper bound for
/// the other services of the route.
void record_highest_ratio(demand_ratio_table& table, std::string_view route, const service_demand& highest,
                          steady_time now);
/// The highest smoothed ratio of the services to which requests of the route lead.
[[nodiscard]] service_demand highest_ratio(const demand_ratio_table& table, std::string_view route,
                                           steady_time now);
/// Smoothed ratio of the class, which decays while no answer arrives; 0 for a class that is not listed.
[[nodiscard]] double current_ratio(const demand_ratio_table& table, const request_class& key,
                                   steady_time now);
/// Share of requests to admit now, above 0; 1 for a class that is not listed. It grows while no answer
/// arrives, so that the end of an overload is detected.
[[nodiscard]] double admitted_share(const demand_ratio_table& table, const request_class& key,
                                    steady_time now);
/// Retry-After of a shed request, which grows as the admitted share falls. `draw`, uniform in 0 to 1, is the
/// jitter that spreads requests shed together.
[[nodiscard]] duration shed_retry_after(double share, double draw);

} // namespace dandelionmount

#endif
