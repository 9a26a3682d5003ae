#include "dandelionmount/process/demand_shares.h"

#include <algorithm>

namespace dandelionmount {

namespace {

constexpr duration demand_window = std::chrono::milliseconds(100);
// Weight of the newest window: a mean over about a second, since one account sends few requests in a window.
constexpr double newest_weight = 0.1;
// Accounts that ask for less, in requests each second, are forgotten.
constexpr double least_rate = 0.01;
// Halvings of the interval in which the fair level is looked for.
constexpr int level_steps = 30;

using granted_rates = std::map<std::string, double, std::less<>>;

double granted_to(const granted_rates& granted, const std::string& account) {
    const auto found = granted.find(account);
    return found == granted.end() ? 0 : found->second;
}

// What an account gets at this priority when each may have `level` at all priorities together.
double rate_at_level(double level, double granted_above, double asked) {
    return std::clamp(level - granted_above, 0.0, asked);
}

double ratio_at_level(double level, double granted_above, double asked) {
    const double allowed = std::max(level - granted_above, asked / max_demand_ratio);
    return asked / allowed;
}

// The level up to which each account is served so that all together get the capacity.
double fair_level(const demand_table::account_demands& demands, const granted_rates& granted,
                  double capacity) {
    double low = 0;
    double high = 0;
    for (const auto& [account, demand] : demands) {
        high = std::max(high, granted_to(granted, account) + demand.rate);
    }
    for (int step = 0; step < level_steps; ++step) {
        const double level = (low + high) / 2;
        double sum = 0;
        for (const auto& [account, demand] : demands) {
            sum += rate_at_level(level, granted_to(granted, account), demand.rate);
        }
        (sum <= capacity ? low : high) = level;
    }
    return low;
}

void age_demands(demand_table& table, double seconds) {
    for (auto level = table.by_priority.begin(); level != table.by_priority.end();) {
        for (auto& [account, demand] : level->second) {
            demand.rate += newest_weight * (demand.arrived / seconds - demand.rate);
            demand.arrived = 0;
        }
        std::erase_if(level->second, [](const auto& entry) { return entry.second.rate < least_rate; });
        level = level->second.empty() ? table.by_priority.erase(level) : std::next(level);
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
    const duration elapsed = std::min<duration>(now - table.window_began, 10 * demand_window);
    age_demands(table, to_seconds(elapsed));
    table.window_began = now;
    granted_rates granted;
    double left = capacity;
    for (auto& [priority, demands] : table.by_priority) {
        const bool enough = sum_rates(demands) <= left;
        const double level = enough ? 0 : fair_level(demands, granted, left);
        for (auto& [account, demand] : demands) {
            double& above = granted[account];
            demand.granted = enough ? demand.rate : rate_at_level(level, above, demand.rate);
            demand.ratio = enough ? 0 : ratio_at_level(level, above, demand.rate);
            above += demand.granted;
            left = std::max(0.0, left - demand.granted);
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

double total_share(const demand_table& table) {
    double asked = 0;
    double granted = 0;
    for (const auto& [priority, demands] : table.by_priority) {
        for (const auto& [account, demand] : demands) {
            asked += demand.rate;
            granted += demand.granted;
        }
    }
    return asked > 0 ? granted / asked : 1;
}

} // namespace dandelionmount
