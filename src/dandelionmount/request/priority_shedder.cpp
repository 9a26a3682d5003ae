#include "dandelionmount/request/priority_shedder.h"

#include <algorithm>
#include <vector>

namespace dandelionmount {

namespace {

constexpr duration sampling_window = std::chrono::milliseconds(100);
// Time constant of the EWMA of the rates.
constexpr duration rate_averaging_time = std::chrono::milliseconds(500);
// Share admitted in any overload, so that its end is detected.
constexpr double probe_share = 0.02;

// Sets the admitted shares so that the excess over all routes is shed from the lowest priority first.
void assign_admitted_shares(priority_shedder& shedder, steady_time now) {
    double to_shed = 0;
    std::vector<std::pair<std::uint32_t, route_priority_demand*>> overloaded;
    for (auto& [key, demand] : shedder.demands) {
        const double ratio = highest_ratio(shedder.ratios, key.second, now).ratio;
        demand.admitted_share = 1;
        if (ratio > 1) {
            to_shed += demand.rate * (1 - 1 / ratio);
            overloaded.emplace_back(key.first, &demand);
        }
    }
    for (auto first = overloaded.begin(); first != overloaded.end() && to_shed > 0;) {
        const auto last = std::find_if(first, overloaded.end(),
                                       [first](const auto& entry) { return entry.first != first->first; });
        double rate = 0;
        for (auto entry = first; entry != last; ++entry) {
            rate += entry->second->rate;
        }
        const double shed = rate > 0 ? std::min(1 - probe_share, to_shed / rate) : 0;
        for (auto entry = first; entry != last; ++entry) {
            entry->second->admitted_share = 1 - shed;
        }
        to_shed -= rate * shed;
        first = last;
    }
}

void end_window(priority_shedder& shedder, steady_time now) {
    const double seconds =
        to_seconds(std::min<duration>(now - shedder.window_began, std::chrono::seconds(1)));
    const double weight = std::min(1.0, seconds / to_seconds(rate_averaging_time));
    for (auto& [key, demand] : shedder.demands) {
        demand.rate += weight * (demand.arrived / seconds - demand.rate);
        demand.arrived = 0;
    }
    shedder.window_began = now;
    assign_admitted_shares(shedder, now);
}

} // namespace

void record_pressure(priority_shedder& shedder, std::string_view route, const service_demand& demand,
                     steady_time now) {
    record_highest_ratio(shedder.ratios, route, demand, now);
}

double record_arrival_at_ingress(priority_shedder& shedder, std::string_view route, std::uint32_t priority,
                                 steady_time now) {
    route_priority_demand& demand = shedder.demands[{priority, std::string(route)}];
    demand.arrived += 1;
    if (now - shedder.window_began >= sampling_window) {
        end_window(shedder, now);
    }
    return demand.admitted_share;
}

} // namespace dandelionmount
