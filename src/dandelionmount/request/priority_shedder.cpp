#include "dandelionmount/request/priority_shedder.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace dandelionmount {

namespace {

constexpr duration sampling_window = std::chrono::milliseconds(100);
// Time constant of the EWMA of the rates.
constexpr duration rate_averaging_time = std::chrono::milliseconds(500);
// Time constant of the decay of the ratios that the fleet received: a route that is shed gets few answers a
// second.
constexpr duration ratio_averaging_time = std::chrono::milliseconds(800);
// Share admitted in any overload, so that its end is detected.
constexpr double probe_share = 0.02;
// Shares for the fleet are received several times a second.
constexpr duration fleet_shares_validity = std::chrono::seconds(1);

request_class class_of_route(std::string_view route) {
    return {std::string(route), 0, {}};
}

// Sets the admitted shares so that the excess over all routes is shed from the lowest priority first.
void assign_admitted_shares(priority_shedder& shedder, steady_time now) {
    double to_shed = 0;
    std::vector<std::pair<std::uint32_t, route_priority_demand*>> overloaded;
    for (auto& [key, demand] : shedder.demands) {
        const double ratio = current_ratio(shedder.ratios, class_of_route(key.second), now);
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

// Mean of the ratios above 1 where most answers have one, otherwise 0. Each host estimates for itself which
// services a route leads to, so some answers report a pressure that does not concern the route, and some lack
// one that does.
double agreed_ratio(const ratio_sum& ratios) {
    return ratios.above > ratios.answers / 2 ? ratios.sum_above / ratios.above : 0;
}

} // namespace

void record_pressure(priority_shedder& shedder, std::string_view route, double ratio, steady_time now) {
    record_ratio(shedder.ratios, class_of_route(route), ratio, now);
    ratio_sum& reported = shedder.report.ratios[std::string(route)];
    reported.answers += 1;
    if (ratio > 1) {
        reported.above += 1;
        reported.sum_above += ratio;
    }
}

double record_arrival_at_ingress(priority_shedder& shedder, std::string_view route, std::uint32_t priority,
                                 steady_time now) {
    const priority_route key{priority, std::string(route)};
    route_priority_demand& demand = shedder.demands[key];
    demand.arrived += 1;
    shedder.report.arrivals[key] += 1;
    if (now - shedder.window_began >= sampling_window) {
        end_window(shedder, now);
    }
    if (now - shedder.fleet_shares_as_of >= fleet_shares_validity) {
        return demand.admitted_share;
    }
    const auto decided = shedder.fleet_shares.find(key);
    return decided == shedder.fleet_shares.end() ? 1 : decided->second;
}

ingress_report take_report(priority_shedder& shedder) {
    return std::exchange(shedder.report, {});
}

void add_report(priority_shedder& fleet, const ingress_report& report, steady_time now) {
    for (const auto& [key, arrived] : report.arrivals) {
        fleet.demands[key].arrived += arrived;
    }
    for (const auto& [route, received] : report.ratios) {
        ratio_sum& ratios = fleet.report.ratios[route];
        ratios.above += received.above;
        ratios.sum_above += received.sum_above;
        ratios.answers += received.answers;
    }
    if (now - fleet.window_began < sampling_window) {
        return;
    }
    const double kept = std::exp(-to_seconds(now - fleet.window_began) / to_seconds(ratio_averaging_time));
    for (const auto& [route, ratios] : take_report(fleet).ratios) {
        ratio_sum& recent = fleet.recent_ratios[route];
        recent.above = recent.above * kept + ratios.above;
        recent.sum_above = recent.sum_above * kept + ratios.sum_above;
        recent.answers = recent.answers * kept + ratios.answers;
        record_ratio(fleet.ratios, class_of_route(route), agreed_ratio(recent), now);
    }
    end_window(fleet, now);
}

std::map<priority_route, double> shares_below_one(const priority_shedder& fleet) {
    std::map<priority_route, double> shares;
    for (const auto& [key, demand] : fleet.demands) {
        if (demand.admitted_share < 1) {
            shares[key] = demand.admitted_share;
        }
    }
    return shares;
}

void apply_fleet_shares(priority_shedder& shedder, std::map<priority_route, double> shares,
                        steady_time requested_at) {
    shedder.fleet_shares = std::move(shares);
    shedder.fleet_shares_as_of = requested_at;
}

} // namespace dandelionmount
