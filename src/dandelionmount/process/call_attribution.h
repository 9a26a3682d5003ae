#ifndef DANDELIONMOUNT_PROCESS_CALL_ATTRIBUTION_H
#define DANDELIONMOUNT_PROCESS_CALL_ATTRIBUTION_H

#include <map>
#include <string>
#include <string_view>
#include <vector>

// Estimates which routes of a target call which services, for targets whose calls do not name the request
// that they belong to. The calls of an interval are modelled as the sum over the routes of running time times
// calls per second. Source: recursive least squares with exponential forgetting, Haykin, "Adaptive Filter
// Theory"; solved for non-negative coefficients by coordinate descent.

namespace dandelionmount {

/// Exponentially weighted sums over past intervals.
struct call_attribution {
    /// Routes, in the order of the matrix rows.
    std::vector<std::string> routes;
    /// Matrix of the products of the routes' running times.
    std::vector<std::vector<double>> products;
    struct callee {
        /// Products of the routes' running times and the calls.
        std::vector<double> products;
        /// Calls per second of running time, by route.
        std::vector<double> rates;
    };
    std::map<std::string, callee, std::less<>> services;
    /// Number of recorded intervals, weighted by the forgetting factor.
    double intervals{0};
};

/// Records one interval: running time of each route's requests, in seconds, and number of calls of each
/// service.
void record_interval(call_attribution& attribution, const std::map<std::string, double, std::less<>>& running,
                     const std::map<std::string, double, std::less<>>& calls);
/// Estimated calls of the service per second that a request of the route runs. Returns the highest rate of
/// all routes while there are too few intervals or the route is unknown, and 0 for an unknown service.
[[nodiscard]] double calls_per_second(const call_attribution& attribution, std::string_view route,
                                      std::string_view service);

} // namespace dandelionmount

#endif
