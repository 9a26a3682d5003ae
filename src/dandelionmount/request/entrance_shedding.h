#ifndef DANDELIONMOUNT_REQUEST_ENTRANCE_SHEDDING_H
#define DANDELIONMOUNT_REQUEST_ENTRANCE_SHEDDING_H

#include "dandelionmount/process/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dandelionmount {

/// What an entrance knows of one route: how overloaded the services below it are, and who asks for it.
struct route_load {
    /// Requests of lower priority are shed, those of this one in part: 4.3 sheds 3 of 10 of priority 4.
    double level{0};
    steady_time level_heard;
    /// Requests of each client account in about the last second.
    std::map<std::string, double> demand;
    steady_time demand_aged;
};

/// Takes in a level that came with an answer.
void note_level(route_load& load, double level, steady_time now);
/// The level that still counts; 0 when nothing has been heard for a while.
[[nodiscard]] double current_level(const route_load& load, steady_time now);
/// The share of requests of a priority that passes at a level, 0 to 1.
[[nodiscard]] double passing_share(double level, std::uint32_t priority);
/// The demand up to which each account passes, so that `share` of all demand passes: those that ask for less
/// pass whole. Source: max-min fairness, Bertsekas and Gallager, "Data Networks", section 6.5.
[[nodiscard]] double fair_threshold(std::vector<double> demands, double share);
/// Notes a request and decides on it; `draw` is a random number from 0 to 1.
[[nodiscard]] bool passes_entrance(route_load& load, const std::string& account, std::uint32_t priority,
                                   double draw, steady_time now);

} // namespace dandelionmount

#endif
