#ifndef DANDELIONMOUNT_PROCESS_DEMAND_SHARES_H
#define DANDELIONMOUNT_PROCESS_DEMAND_SHARES_H

#include "dandelionmount/process/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace dandelionmount {

/// Upper bound of account_demand::ratio.
constexpr double max_demand_ratio = 100;

/// Demand of one client account for a target at one priority.
struct account_demand {
    /// Requests in the current window, including those that the ingress nodes shed.
    double arrived{0};
    /// Requests per second, as an EWMA over the windows.
    double rate{0};
    /// Part of the rate that the target can serve, in requests per second.
    double granted{0};
    /// Ratio of the demand to the rate that the account may use at this priority, 0 to `max_demand_ratio`; up
    /// to 1, all demand is admitted. 0 when the target can serve all demand at this priority. Values below 1
    /// are not raised to 1, since a mean over several targets would then be too high for small accounts.
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
/// each account gets at this and higher priorities. Sources: Bertsekas and Gallager, "Data Networks",
/// section 6.5, for max-min fairness; Stoica, Shenker and Zhang, "Core-Stateless Fair Queueing", 1998, for
/// weights carried by requests in place of state at each hop.
void update_shares(demand_table& table, double capacity, steady_time now);
/// Demand of one account; nullptr for an unknown account.
[[nodiscard]] const account_demand* find_demand(const demand_table& table, std::uint32_t priority,
                                                std::string_view account);
/// Fraction of all demand that is admitted, 0 to 1; 1 without demand.
[[nodiscard]] double admitted_fraction(const demand_table& table);

} // namespace dandelionmount

#endif
