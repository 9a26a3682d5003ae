#include "dandelionmount/process/demand_shares.h"

#include <algorithm>

namespace dandelionmount {

namespace {

constexpr duration demand_window = std::chrono::milliseconds(100);
// EWMA weight of a window. Averages over about a second, since one account sends few requests per window.
constexpr double ewma_weight = 0.1;
// Accounts with a lower rate, in requests per second, are dropped.
constexpr double min_rate = 0.01;
// Bisection steps in the search for the fair level.
constexpr int bisection_steps = 30;

using granted_rates = std::map<std::string, double, std::less<>>;

double granted_to(const granted_rates& granted, const std::string& account) {
    const auto found = granted.find(account);
    return found == granted.end() ? 0 : found->second;
}

// Rate that an account gets at this priority if its total over all priorities is limited to `level`.
double rate_at_level(double level, double granted_above, double demanded) {
    return std::clamp(level - granted_above, 0.0, demanded);
}

// Ratio of the demand to the rate that `level` allows at this priority, whether or not the demand reaches it.
double ratio_at_level(double level, double granted_above, double demanded) {
    const double allowed = std::max(level - granted_above, demanded / max_demand_ratio);
    return demanded / allowed;
}

// Finds, by bisection, the max-min fair level: the limit on each account's total at which the accounts
// together use the capacity.
double fair_level(const demand_table::account_demands& demands, const granted_rates& granted,
                  double capacity) {
    double low = 0;
    double high = 0;
    for (const auto& [account, demand] : demands) {
        high = std::max(high, granted_to(granted, account) + demand.rate);
    }
    for (int step = 0; step < bisection_steps; ++step) {
        const double level = (low + high) / 2;
        double sum = 0;
        for (const auto& [account, demand] : demands) {
            sum += rate_at_level(level, granted_to(granted, account), demand.rate);
        }
        (sum <= capacity ? low : high) = level;
    }
    return low;
}

void end_window(demand_table& table, double seconds) {
    for (auto priority = table.by_priority.begin(); priority != table.by_priority.end();) {
        for (auto& [account, demand] : priority->second) {
            demand.rate += ewma_weight * (demand.arrived / seconds - demand.rate);
            demand.arrived = 0;
        }
        std::erase_if(priority->second, [](const auto& entry) { return entry.second.rate < min_rate; });
        priority = priority->second.empty() ? table.by_priority.erase(priority) : std::next(priority);
    }
}

double sum_rates(const demand_table::account_demands& demands) {
    double sum = 0;
    for (const auto& [account, demand] : demands) {
        sum += demand.rate;
    }
    return sum;
}

} // namespace

void record_demand(demand_table& table, std::uint32_t priority, std::string_view account, double weight) {
    auto& demands = table.by_priority[priority];
    auto found = demands.find(account);
    if (found == demands.end()) {
        found = demands.emplace(std::string(account), account_demand{}).first;
    }
    found->second.arrived += weight;
}

bool is_window_over(const demand_table& table, steady_time now) {
    return now - table.window_began >= demand_window;
}

void update_shares(demand_table& table, double capacity, steady_time now) {
    // `window_began` is not set before the first window, whose rates would be far too low without a limit.
    const duration elapsed = std::min<duration>(now - table.window_began, 10 * demand_window);
    end_window(table, to_seconds(elapsed));
    table.window_began = now;
    granted_rates granted;
    double remaining = capacity;
    for (auto& [priority, demands] : table.by_priority) {
        const bool fits = sum_rates(demands) <= remaining;
        const double level = fits ? 0 : fair_level(demands, granted, remaining);
        for (auto& [account, demand] : demands) {
            double& granted_so_far = granted[account];
            demand.granted = fits ? demand.rate : rate_at_level(level, granted_so_far, demand.rate);
            demand.ratio = fits ? 0 : ratio_at_level(level, granted_so_far, demand.rate);
            granted_so_far += demand.granted;
            remaining = std::max(0.0, remaining - demand.granted);
        }
    }
}

const account_demand* find_demand(const demand_table& table, std::uint32_t priority,
                                  std::string_view account) {
    const auto demands = table.by_priority.find(priority);
    if (demands == table.by_priority.end()) {
        return nullptr;
    }
    const auto found = demands->second.find(account);
    return found == demands->second.end() ? nullptr : &found->second;
}

double admitted_fraction(const demand_table& table) {
    double demanded = 0;
    double granted = 0;
    for (const auto& [priority, demands] : table.by_priority) {
        for (const auto& [account, demand] : demands) {
            demanded += demand.rate;
            granted += demand.granted;
        }
    }
    return demanded > 0 ? granted / demanded : 1;
}

} // namespace dandelionmount
