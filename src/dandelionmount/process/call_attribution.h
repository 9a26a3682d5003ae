#ifndef DANDELIONMOUNT_PROCESS_CALL_ATTRIBUTION_H
#define DANDELIONMOUNT_PROCESS_CALL_ATTRIBUTION_H

#include <map>
#include <string>
#include <string_view>
#include <vector>

// Estimates which routes of a target call which services, for targets whose calls do not name the request
// that they belong to. The calls of an interval are modelled as the sum over the routes of requests times
// calls per request, a number that stays the same while calls slow down. Source: recursive least squares with
// exponential forgetting, Haykin, "Adaptive Filter Theory"; solved for non-negative coefficients by
// coordinate descent.

namespace dandelionmount {

/// Exponentially weighted sums over past intervals.
struct call_attribution {
    /// Routes, in the order of the matrix rows.
    std::vector<std::string> routes;
    /// Requests by route.
    std::vector<double> requests;
    /// Matrix of the products of the routes' requests.
    std::vector<std::vector<double>> products;
    struct callee {
        /// Products of the routes' requests and the calls.
        std::vector<double> products;
        /// Calls per request, by route.
        std::vector<double> rates;
    };
    std::map<std::string, callee, std::less<>> services;
    /// Number of recorded intervals, weighted by the forgetting factor.
    double intervals{0};
};

/// Records one interval: number of requests of each route and of calls of each service.
void record_interval(call_attribution& attribution,
                     const std::map<std::string, double, std::less<>>& requests,
                     const std::map<std::string, double, std::less<>>& calls);
/// Estimated calls of the service per request of the route. Returns the highest number of all routes while
/// there are too few intervals or the route is unknown, and 0 for an unknown service.
[[nodiscard]] double calls_per_request(const call_attribution& attribution, std::string_view route,
                                       std::string_view service);

/// Estimated calls of the service per request of the route that makes most of the service's calls; 0 if there
/// is none.
[[nodiscard]] double calls_per_request_of_main_caller(const call_attribution& attribution,
                                                      std::string_view service);

} // namespace dandelionmount

#endif
