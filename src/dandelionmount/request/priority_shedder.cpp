#include "dandelionmount/request/priority_shedder.h"

#include <algorithm>
#include <vector>

namespace dandelionmount {

namespace {

constexpr duration window = std::chrono::milliseconds(100);
// Time over which rates are averaged.
constexpr duration rate_time = std::chrono::milliseconds(500);
// However overloaded the services below are, this share passes, so that the end of it is heard.
constexpr double probe_share = 0.02;

request_class class_of_route(std::string_view route) {
    return {std::string(route), 0, {}};
}

// Shares of the bands, lowest priority first, such that together as much is shed as the pressure asks for.
void divide_shedding(priority_shedder& entrance, steady_time now) {
    double to_shed = 0;
    std::vector<std::pair<std::uint32_t, band_demand*>> pressed;
    for (auto& [name, demand] : entrance.demands) {
        const double ratio = current_ratio(entrance.ratios, class_of_route(name.second), now);
        demand.passes = 1;
        if (ratio > 1) {
            to_shed += demand.rate * (1 - 1 / ratio);
            pressed.emplace_back(name.first, &demand);
        }
    }
    for (auto first = pressed.begin(); first != pressed.end() && to_shed > 0;) {
        const auto last = std::find_if(first, pressed.end(),
                                       [first](const auto& entry) { return entry.first != first->first; });
        double rate = 0;
        for (auto entry = first; entry != last; ++entry) {
            rate += entry->second->rate;
        }
        const double shed = rate > 0 ? std::min(1 - probe_share, to_shed / rate) : 0;
        for (auto entry = first; entry != last; ++entry) {
            entry->second->passes = 1 - shed;
        }
        to_shed -= rate * shed;
        first = last;
    }
}

void end_window(priority_shedder& entrance, steady_time now) {
    const double seconds =
        to_seconds(std::min<duration>(now - entrance.window_began, std::chrono::seconds(1)));
    const double weight = std::min(1.0, seconds / to_seconds(rate_time));
    for (auto& [name, demand] : entrance.demands) {
        demand.rate += weight * (demand.arrived / seconds - demand.rate);
        demand.arrived = 0;
    }
    entrance.window_began = now;
    divide_shedding(entrance, now);
}

} // namespace

void note_pressure(priority_shedder& entrance, std::string_view route, double ratio, steady_time now) {
    record_ratio(entrance.ratios, class_of_route(route), ratio, now);
}

double note_entering(priority_shedder& entrance, std::string_view route, std::uint32_t priority,
                     steady_time now) {
    band_demand& demand = entrance.demands[{priority, std::string(route)}];
    demand.arrived += 1;
    if (now - entrance.window_began >= window) {
        end_window(entrance, now);
    }
    return demand.passes;
}

} // namespace dandelionmount
