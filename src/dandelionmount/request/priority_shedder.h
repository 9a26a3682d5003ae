#ifndef DANDELIONMOUNT_REQUEST_PRIORITY_SHEDDER_H
#define DANDELIONMOUNT_REQUEST_PRIORITY_SHEDDER_H

#include "dandelionmount/process/clock.h"
#include "dandelionmount/request/demand_ratio_table.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

// Decides which requests an ingress node sheds while downstream services are overloaded. Routes under
// pressure at the same time are assumed to lead to the same overloaded service: their combined excess is shed
// from the lowest priority first, whichever route it is on.

namespace dandelionmount {

/// Demand of one route and priority at this ingress node.
struct route_priority_demand {
    /// Requests in the current window.
    double arrived{0};
    /// EWMA of the requests per second.
    double rate{0};
    /// Share of requests to admit.
    double admitted_share{1};
};

/// Demand at an ingress node, and demand ratios of the services downstream.
struct priority_shedder {
    /// Demand ratios received with answers, by route and the service that has the ratio.
    demand_ratio_table ratios;
    /// By priority, lowest first, and route.
    std::map<std::pair<std::uint32_t, std::string>, route_priority_demand> demands;
    steady_time window_began;
};

/// Records the highest demand ratio of the services that a request of the route led to, and the service.
void record_pressure(priority_shedder& shedder, std::string_view route, const service_demand& demand,
                     steady_time now);
/// Records an arriving request and returns the share of requests like it to admit, above 0.
[[nodiscard]] double record_arrival_at_ingress(priority_shedder& shedder, std::string_view route,
                                               std::uint32_t priority, steady_time now);

} // namespace dandelionmount

#endif
