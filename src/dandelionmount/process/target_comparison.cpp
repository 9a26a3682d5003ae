#include "dandelionmount/process/target_comparison.h"

#include <algorithm>
#include <span>
#include <string_view>

namespace dandelionmount {

namespace {

// Hosts report four times a second; older reports are ignored.
constexpr duration report_ttl = std::chrono::seconds(1);
// Thresholds of an outlier: targets always differ a little.
constexpr double outlier_load = 0.7;
constexpr double outlier_slowness = 2;
constexpr double outlier_failing = 0.1;
// Outliers in one reply; those with the highest product of cost and load are kept.
constexpr std::size_t max_outliers = 64;
// Seconds added to run times before the comparison: a few milliseconds more are not slow.
constexpr double negligible_time = 0.01;
// Cost of a failed request in multiples of its run time: it is retried, or lost.
constexpr double failure_cost = 10;

using report_entry = measurement_reports::value_type;

// The lower quartile represents the healthy targets even if many are degraded.
double lower_quartile(std::vector<double> values) {
    const auto position = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 4);
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

// Lower quartiles over the targets of one service.
struct service_baseline {
    /// Run times by route, in seconds.
    std::map<std::string, double> run_times;
    double failing{0};
};

service_baseline find_baseline(std::span<const report_entry* const> targets) {
    std::map<std::string, std::vector<double>> run_times;
    std::vector<double> failing;
    for (const auto* target : targets) {
        const auto& measurements = target->second.measurements;
        for (const auto& [route, times] : measurements.routes) {
            if (times.run_time) {
                run_times[route].push_back(*times.run_time);
            }
        }
        failing.push_back(measurements.failing);
    }
    service_baseline baseline;
    for (auto& [route, values] : run_times) {
        baseline.run_times[route] = lower_quartile(std::move(values));
    }
    baseline.failing = lower_quartile(std::move(failing));
    return baseline;
}

// Mean slowness over the routes that have a baseline. Without a run time, a short age of the running requests
// does not show that a route is fast.
double slowness_of(const target_measurements& measurements, const std::map<std::string, double>& baseline) {
    double sum = 0;
    int compared = 0;
    for (const auto& [route, times] : measurements.routes) {
        const auto found = baseline.find(route);
        if (found != baseline.end()) {
            const double minimum = times.run_time ? 0 : 1;
            sum += std::max(minimum, (times.min_expected_time() + negligible_time) /
                                         (found->second + negligible_time));
            ++compared;
        }
    }
    return compared == 0 ? 1 : sum / compared;
}

// Deviations below the thresholds are treated as noise and left out.
target_health health_of(const target_measurements& measurements, const service_baseline& baseline) {
    const double slowness = slowness_of(measurements, baseline.run_times);
    const double failing = measurements.failing - baseline.failing;
    return {measurements.load, slowness >= outlier_slowness ? slowness : 1,
            failing >= outlier_failing ? failing : 0};
}

bool is_outlier(const target_health& health) {
    return health.load >= outlier_load || cost_factor(health) > 1;
}

} // namespace

double cost_factor(const target_health& health) {
    return std::max(1.0, health.slowness) * (1 + failure_cost * health.failing);
}

target_outliers find_outliers(const measurement_reports& targets, steady_time now) {
    std::map<std::string_view, std::vector<const report_entry*>> services;
    for (const auto& target : targets) {
        if (now - target.second.received_at < report_ttl) {
            services[target.second.measurements.service].push_back(&target);
        }
    }
    std::vector<std::pair<std::string, target_health>> outliers;
    for (const auto& [service, members] : services) {
        const service_baseline baseline = find_baseline(members);
        for (const auto* target : members) {
            const auto health = health_of(target->second.measurements, baseline);
            if (is_outlier(health)) {
                outliers.emplace_back(target->first, health);
            }
        }
    }
    std::sort(outliers.begin(), outliers.end(), [](const auto& left, const auto& right) {
        const double left_cost = cost_factor(left.second) * left.second.load;
        const double right_cost = cost_factor(right.second) * right.second.load;
        return left_cost != right_cost ? left_cost > right_cost : left.first < right.first;
    });
    outliers.resize(std::min(outliers.size(), max_outliers));
    return {outliers.begin(), outliers.end()};
}

} // namespace dandelionmount
