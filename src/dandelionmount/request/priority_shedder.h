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
//
// In a large fleet each ingress node sees too few requests and answers to decide well. So the nodes report
// what they saw to one host, which decides for all of them; a node that it does not reach decides alone.

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

/// A priority, lowest first, and a route.
using priority_route = std::pair<std::uint32_t, std::string>;

/// Demand ratios received with several answers.
struct ratio_sum {
    /// Number of the answers with a ratio above 1, and sum of these ratios.
    double above{0};
    double sum_above{0};
    double answers{0};
};

/// What ingress nodes saw within some time.
struct ingress_report {
    std::map<priority_route, double> arrivals;
    std::map<std::string, ratio_sum, std::less<>> ratios;
};

/// Demand at an ingress node, and demand ratios of the services downstream; or the same for the whole fleet.
struct priority_shedder {
    /// Demand ratios received with answers, by route.
    demand_ratio_table ratios;
    std::map<priority_route, route_priority_demand> demands;
    steady_time window_began;
    /// What is to be reported, or was reported, in the current window.
    ingress_report report;
    /// Of the fleet: ratios received with answers by route, of which earlier ones count less (exponential
    /// decay).
    std::map<std::string, ratio_sum, std::less<>> recent_ratios;
    /// Shares decided for the whole fleet, where they are below 1, and when they were requested.
    std::map<priority_route, double> fleet_shares;
    steady_time fleet_shares_as_of;
};

/// Records the demand ratio received with an answer.
void record_pressure(priority_shedder& shedder, std::string_view route, double ratio, steady_time now);
/// Records an arriving request and returns the share of requests like it to admit, above 0.
[[nodiscard]] double record_arrival_at_ingress(priority_shedder& shedder, std::string_view route,
                                               std::uint32_t priority, steady_time now);
/// Takes what this ingress node saw since the last call.
[[nodiscard]] ingress_report take_report(priority_shedder& shedder);
/// Adds the report of an ingress node to the demand of the fleet.
void add_report(priority_shedder& fleet, const ingress_report& report, steady_time now);
/// Shares of the fleet's requests to admit, where they are below 1.
[[nodiscard]] std::map<priority_route, double> shares_below_one(const priority_shedder& fleet);
/// Applies the shares that were decided for the whole fleet in answer to a report sent at `requested_at`.
void apply_fleet_shares(priority_shedder& shedder, std::map<priority_route, double> shares,
                        steady_time requested_at);

} // namespace dandelionmount

#endif
