#ifndef DANDELIONMOUNT_REQUEST_DEMAND_RATIO_TABLE_H
#define DANDELIONMOUNT_REQUEST_DEMAND_RATIO_TABLE_H

#include "dandelionmount/process/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace dandelionmount {

/// Requests that are shed alike at an entrance.
struct request_class {
    std::string route;
    std::uint32_t priority{0};
    std::string account;

    bool operator<(const request_class& other) const {
        return std::tie(route, priority, account) < std::tie(other.route, other.priority, other.account);
    }
};

/// How much more is asked for than the services below can take, for one class of requests.
struct smoothed_ratio {
    /// Mean of the ratios heard: requests for each one that may come.
    double ratio{0};
    steady_time heard;
};

/// What an entrance knows of the services below: only classes of which not all requests may come, or nearly
/// so.
using demand_ratio_table = std::map<request_class, smoothed_ratio>;

/// Takes in a ratio that came with an answer.
void record_ratio(demand_ratio_table& table, const request_class& name, double ratio, steady_time now);
/// The mean ratio heard for the class, fading while nothing is heard; 0 for one that is not known.
[[nodiscard]] double current_ratio(const demand_ratio_table& table, const request_class& name,
                                   steady_time now);
/// The share that passes now, above 0. It grows while nothing is heard, so that the end of an overload is
/// noticed.
[[nodiscard]] double passing_share(const demand_ratio_table& table, const request_class& name,
                                   steady_time now);
/// When a request that was shed should come back; `draw`, 0 to 1, spreads those that were shed together.
[[nodiscard]] duration shed_return_time(double share, double draw);

} // namespace dandelionmount

#endif
