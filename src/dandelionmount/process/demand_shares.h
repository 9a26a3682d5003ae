#ifndef DANDELIONMOUNT_PROCESS_DEMAND_SHARES_H
#define DANDELIONMOUNT_PROCESS_DEMAND_SHARES_H

#include "dandelionmount/process/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace dandelionmount {

/// Largest ratio of demand to what may come.
constexpr double max_demand_ratio = 100;

/// What one client account asks of a target at one priority.
struct account_demand {
    /// Requests in the present window, those shed at the entrances included.
    double arrived{0};
    /// Requests each second, recent windows weighing most.
    double rate{0};
    /// The part of the rate that the target can take.
    double granted{0};
    /// Requests asked for each one that may come, 0 to `max_demand_ratio`: all may come up to 1. It is not
    /// cut off at 1, since a mean over several targets would then be too high for small accounts.
    double ratio{0};
};

/// Demand of the whole fleet for one target, and the share of each account's demand that may come.
struct demand_table {
    using account_demands = std::map<std::string, account_demand, std::less<>>;
    /// Highest priority first.
    std::map<std::uint32_t, account_demands, std::greater<>> by_priority;
    steady_time window_began;
};

/// Notes a request that arrived; `weight` is how many sent requests it stands for, as the others were shed.
void record_demand(demand_table& table, std::uint32_t priority, std::string_view account, double weight);
/// Whether the present window is over.
[[nodiscard]] bool is_window_over(const demand_table& table, steady_time now);
/// Ends the window and works the shares out anew for a target that can take `capacity` requests a second.
///
/// Higher priorities are served first. Within one, what is left is shared so that the least served account
/// gets as much as possible, counting what it gets at higher priorities, too.
/// Source: max-min fairness, Bertsekas and Gallager, "Data Networks", section 6.5; weights in place of state
/// at each hop: Stoica, Shenker and Zhang, "Core-Stateless Fair Queueing", 1998.
void update_shares(demand_table& table, double capacity, steady_time now);
/// The demand of one account; nullptr for an account that is not known.
[[nodiscard]] const account_demand* find_demand(const demand_table& table, std::uint32_t priority,
                                                std::string_view account);
/// The share of all demand that may come; 1 without demand.
[[nodiscard]] double total_share(const demand_table& table);

} // namespace dandelionmount

#endif
