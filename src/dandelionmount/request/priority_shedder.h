#ifndef DANDELIONMOUNT_REQUEST_PRIORITY_SHEDDER_H
#define DANDELIONMOUNT_REQUEST_PRIORITY_SHEDDER_H

#include "dandelionmount/process/clock.h"
#include "dandelionmount/request/demand_ratio_table.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

// Which requests an entrance sheds while services below are overloaded. Routes that are under pressure at the
// same time are taken to lead to the same overloaded service: what has to be shed of them together is taken
// from the lowest priority first, whichever route it is on.

namespace dandelionmount {

/// Requests of one route and priority at this entrance.
struct band_demand {
    double arrived{0};
    double rate{0};
    /// The share that passes.
    double passes{1};
};

/// What an entrance knows of its own demand and of the services below.
struct priority_shedder {
    /// Pressure heard with answers, by route.
    demand_ratio_table ratios;
    /// By priority, lowest first, and route.
    std::map<std::pair<std::uint32_t, std::string>, band_demand> demands;
    steady_time window_began;
};

/// Takes in the pressure that came with an answer.
void note_pressure(priority_shedder& entrance, std::string_view route, double ratio, steady_time now);
/// Notes a request that wants to enter, and returns the share of its like that passes, above 0.
[[nodiscard]] double note_entering(priority_shedder& entrance, std::string_view route, std::uint32_t priority,
                                   steady_time now);

} // namespace dandelionmount

#endif
