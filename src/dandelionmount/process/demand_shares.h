#ifndef DANDELIONMOUNT_PROCESS_DEMAND_SHARES_H
#define DANDELIONMOUNT_PROCESS_DEMAND_SHARES_H

#include "dandelionmount/process/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace dandelionmount {

/// Upper bound of the ratio of demand to admitted demand.
constexpr double max_demand_ratio = 100;

/// Demand of one client account for a target at one priority.
struct account_demand {
    /// Requests in the current window, including those that the ingress nodes shed.
    double arrived{0};
    /// Requests per second, as an EWMA over the windows.
    double rate{0};
    /// Part of the rate that the target can serve, in requests per second.
    double granted{0};
    /// Ratio of demand to admitted demand, 0 to `max_demand_ratio`; everything is admitted up to 1. Values
    /// below 1 are kept, since a mean over several targets would otherwise be too high for small accounts.
    double ratio{0};
};

/// Demand of the whole fleet for one target, and the share of each account that is admitted.
struct demand_table {
    using account_demands = std::map<std::string, account_demand, std::less<>>;
    /// Highest priority first.
    std::map<std::uint32_t, account_demands, std::greater<>> by_priority;
    steady_time window_began;
};

/// Records an arrival; `weight` is the number of requests that it represents, including those shed.
void record_demand(demand_table& table, std::uint32_t priority, std::string_view account, double weight);
/// Whether the current window is over.
[[nodiscard]] bool is_window_over(const demand_table& table, steady_time now);
/// Ends the window and recomputes the shares for a target that can serve `capacity` requests per second.
///
/// Higher priorities are served first. Within a priority, the rest is divided by max-min fairness over what
/// each account gets at this and higher priorities. Source: max-min fairness, Bertsekas and Gallager, "Data
/// Networks", section 6.5; weights in place of per-hop state: Stoica, Shenker and Zhang, "Core-Stateless Fair
/// Queueing", 1998.
void update_shares(demand_table& table, double capacity, steady_time now);
/// Demand of one account; nullptr for an unknown account.
[[nodiscard]] const account_demand* find_demand(const demand_table& table, std::uint32_t priority,
                                                std::string_view account);
/// Admitted share of all demand; 1 without demand.
[[nodiscard]] double admitted_fraction(const demand_table& table);

} // namespace dandelionmount

#endif
