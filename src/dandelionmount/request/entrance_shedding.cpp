#include "dandelionmount/request/entrance_shedding.h"

#include <algorithm>
#include <cmath>

namespace dandelionmount {

namespace {

// Weight of the newest answer in the level, as answers come from several workers.
constexpr double newest_weight = 0.2;
constexpr duration level_life = std::chrono::seconds(1);
constexpr duration demand_half_life = std::chrono::milliseconds(500);
// Demand below this is forgotten.
constexpr double least_demand = 0.01;
// However high the level, this share passes, so that its fall is heard.
constexpr double probe_share = 0.02;

void age_demand(route_load& load, steady_time now) {
    const double half_lives = to_seconds(now - load.demand_aged) / to_seconds(demand_half_life);
    const double factor = std::exp2(-half_lives);
    load.demand_aged = now;
    for (auto& [account, demand] : load.demand) {
        demand *= factor;
    }
    std::erase_if(load.demand, [](const auto& entry) { return entry.second < least_demand; });
}

} // namespace

void note_level(route_load& load, double level, steady_time now) {
    const double before = current_level(load, now);
    load.level = before + newest_weight * (level - before);
    load.level_heard = now;
}

double current_level(const route_load& load, steady_time now) {
    const bool fresh = load.level_heard != steady_time{} && now - load.level_heard < level_life;
    return fresh ? load.level : 0;
}

double passing_share(double level, std::uint32_t priority) {
    return std::clamp(static_cast<double>(priority) + 1 - level, 0.0, 1.0);
}

double fair_threshold(std::vector<double> demands, double share) {
    std::sort(demands.begin(), demands.end());
    double left = 0;
    for (const double demand : demands) {
        left += demand * share;
    }
    for (std::size_t index = 0; index < demands.size(); ++index) {
        const double equal = left / static_cast<double>(demands.size() - index);
        if (demands[index] > equal) {
            return equal;
        }
        left -= demands[index];
    }
    return demands.empty() ? 0 : demands.back();
}

bool passes_entrance(route_load& load, const std::string& account, std::uint32_t priority, double draw,
                     steady_time now) {
    age_demand(load, now);
    load.demand[account] += 1;
    const double share = passing_share(current_level(load, now), priority);
    if (share >= 1) {
        return true;
    }
    std::vector<double> demands;
    demands.reserve(load.demand.size());
    for (const auto& [name, demand] : load.demand) {
        demands.push_back(demand);
    }
    const double threshold = fair_threshold(std::move(demands), share);
    return draw < std::max(probe_share, threshold / load.demand[account]);
}

} // namespace dandelionmount
