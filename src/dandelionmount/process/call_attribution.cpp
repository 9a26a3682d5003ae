#include "dandelionmount/process/call_attribution.h"

#include <algorithm>

namespace dandelionmount {

namespace {

// Per interval of 250 ms: half of the weight is gone after a minute. Which routes call a service seldom
// changes, and an overload must not be over before it is known.
constexpr double forgetting_factor = 0.997;
// Few steps suffice, as the matrix is small and each solution starts from the previous one.
constexpr int descent_steps = 20;
// Regularisation in requests squared: the number of a route with a few requests in all stays near zero.
constexpr double ridge = 4;
// Weighted number of intervals before the estimate is used.
constexpr double min_intervals = 20;
// Limits the cost of a solution; further routes are not modelled.
constexpr std::size_t max_routes = 16;

void add_route(call_attribution& attribution, const std::string& route) {
    const bool known =
        std::find(attribution.routes.begin(), attribution.routes.end(), route) != attribution.routes.end();
    if (known || attribution.routes.size() >= max_routes) {
        return;
    }
    attribution.routes.push_back(route);
    attribution.requests.push_back(0);
    for (auto& row : attribution.products) {
        row.push_back(0);
    }
    attribution.products.emplace_back(attribution.routes.size(), 0.0);
    for (auto& [service, callee] : attribution.services) {
        callee.products.push_back(0);
        callee.rates.push_back(0);
    }
}

// Minimises the squared error over non-negative rates by coordinate descent.
void solve(const call_attribution& attribution, call_attribution::callee& callee) {
    const std::size_t count = attribution.routes.size();
    for (int step = 0; step < descent_steps; ++step) {
        for (std::size_t row = 0; row < count; ++row) {
            double residual = callee.products[row];
            for (std::size_t column = 0; column < count; ++column) {
                residual -= column == row ? 0 : attribution.products[row][column] * callee.rates[column];
            }
            callee.rates[row] = std::max(0.0, residual / (attribution.products[row][row] + ridge));
        }
    }
}

} // namespace

void record_interval(call_attribution& attribution,
                     const std::map<std::string, double, std::less<>>& requests,
                     const std::map<std::string, double, std::less<>>& calls) {
    for (const auto& [route, count] : requests) {
        add_route(attribution, route);
    }
    const std::size_t count = attribution.routes.size();
    for (const auto& [service, call_count] : calls) {
        auto& callee = attribution.services[service];
        callee.products.resize(count, 0);
        callee.rates.resize(count, 0);
    }
    std::vector<double> counts(count, 0);
    for (std::size_t index = 0; index < count; ++index) {
        const auto found = requests.find(attribution.routes[index]);
        counts[index] = found == requests.end() ? 0 : found->second;
    }
    for (std::size_t row = 0; row < count; ++row) {
        attribution.requests[row] = attribution.requests[row] * forgetting_factor + counts[row];
        for (std::size_t column = 0; column < count; ++column) {
            double& product = attribution.products[row][column];
            product = product * forgetting_factor + counts[row] * counts[column];
        }
    }
    for (auto& [service, callee] : attribution.services) {
        const auto found = calls.find(service);
        const double call_count = found == calls.end() ? 0 : found->second;
        for (std::size_t row = 0; row < count; ++row) {
            callee.products[row] = callee.products[row] * forgetting_factor + counts[row] * call_count;
        }
        solve(attribution, callee);
    }
    attribution.intervals = attribution.intervals * forgetting_factor + 1;
}

double calls_per_request(const call_attribution& attribution, std::string_view route,
                         std::string_view service) {
    const auto callee = attribution.services.find(service);
    if (callee == attribution.services.end()) {
        return 0;
    }
    const auto found = std::find(attribution.routes.begin(), attribution.routes.end(), route);
    if (found == attribution.routes.end() || attribution.intervals < min_intervals) {
        const auto& rates = callee->second.rates;
        return rates.empty() ? 0 : *std::max_element(rates.begin(), rates.end());
    }
    return callee->second.rates[static_cast<std::size_t>(found - attribution.routes.begin())];
}

double calls_per_request_of_main_caller(const call_attribution& attribution, std::string_view service) {
    const auto callee = attribution.services.find(service);
    if (callee == attribution.services.end()) {
        return 0;
    }
    const auto& rates = callee->second.rates;
    double most_calls = 0;
    double result = 0;
    for (std::size_t index = 0; index < std::min(rates.size(), attribution.requests.size()); ++index) {
        const double calls = rates[index] * attribution.requests[index];
        if (calls > most_calls) {
            most_calls = calls;
            result = rates[index];
        }
    }
    return result;
}

} // namespace dandelionmount
