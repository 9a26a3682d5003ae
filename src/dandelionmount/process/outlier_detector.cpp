#include "dandelionmount/process/outlier_detector.h"

#include "dandelionmount/process/logging.h"

#include <algorithm>

namespace dandelionmount {

namespace {

// Minimum interval between comparisons, as each covers all targets of the fleet.
constexpr duration comparison_interval = std::chrono::milliseconds(150);
// Routes in one report; the slowest are reported.
constexpr std::size_t max_routes = 8;
// Cost factors from which an outlier is logged, and below which its recovery is logged (hysteresis).
// Permanent small differences between targets stay below the first.
constexpr double logged_cost_factor = 2.5;
constexpr double recovered_cost_factor = 1.5;
constexpr duration report_retention = std::chrono::seconds(5);

} // namespace

target_measurements outlier_detector::own_measurements() const {
    const auto& limiter = target_.limiter();
    target_measurements measurements;
    measurements.service = target_.announced().service;
    measurements.routes = times_of_routes(target_.speed(), time_.now());
    measurements.load = (static_cast<double>(limiter.in_flight) + static_cast<double>(limiter.queue.size())) /
                        std::max(1.0, effective_limit(limiter));
    measurements.failing = target_.speed().failing;
    return measurements;
}

void outlier_detector::write_measurements(wire::rate_report& report) const {
    const target_measurements measurements = own_measurements();
    auto* written = report.mutable_target();
    written->set_service(measurements.service);
    written->set_load(static_cast<float>(measurements.load));
    written->set_failing(static_cast<float>(measurements.failing));
    std::vector<std::pair<double, std::string>> slowest;
    slowest.reserve(measurements.routes.size());
    for (const auto& [route, times] : measurements.routes) {
        slowest.emplace_back(times.min_expected_time(), route);
    }
    std::sort(slowest.rbegin(), slowest.rend());
    slowest.resize(std::min(slowest.size(), max_routes));
    for (const auto& [seconds, route] : slowest) {
        const auto& times = measurements.routes.at(route);
        auto* time = written->add_routes();
        time->set_route(route);
        time->set_running_for(static_cast<float>(times.running_for));
        if (times.run_time) {
            time->set_run_time(static_cast<float>(*times.run_time));
        }
    }
}

void outlier_detector::read_measurements(const wire::rate_report& report, std::string_view host) {
    if (!report.has_target() || report.target().service().empty()) {
        return;
    }
    measurement_report& received = reports_[std::string(host)];
    received.received_at = time_.now();
    received.measurements.service = report.target().service();
    received.measurements.load = report.target().load();
    received.measurements.failing = report.target().failing();
    received.measurements.routes.clear();
    for (const auto& time : report.target().routes()) {
        auto& times = received.measurements.routes[time.route()];
        times.running_for = time.running_for();
        if (time.has_run_time()) {
            times.run_time = time.run_time();
        }
    }
}

// Logs when a target becomes an outlier, and when it recovers.
void outlier_detector::log_changes() {
    for (const auto& [host, health] : outliers_) {
        if (cost_factor(health) >= logged_cost_factor && logged_outliers_.insert(host).second) {
            log_event(log_level::info, "target is an outlier",
                      {{"target_host", host},
                       {"slowness", std::to_string(health.slowness)},
                       {"failing", std::to_string(health.failing)},
                       {"load", std::to_string(health.load)}});
        }
    }
    std::erase_if(logged_outliers_, [this](const std::string& host) {
        const auto found = outliers_.find(host);
        const bool has_recovered =
            found == outliers_.end() || cost_factor(found->second) < recovered_cost_factor;
        if (has_recovered) {
            log_event(log_level::info, "target is no longer an outlier", {{"target_host", host}});
        }
        return has_recovered;
    });
}

void outlier_detector::write_outliers(wire::rate_grants& grants) {
    const auto now = time_.now();
    if (now - compared_at_ >= comparison_interval) {
        compared_at_ = now;
        std::erase_if(reports_,
                      [now](const auto& entry) { return now - entry.second.received_at > report_retention; });
        reports_[host_] = {own_measurements(), now};
        outliers_ = find_outliers(reports_, now);
        log_changes();
    }
    for (const auto& [host, health] : outliers_) {
        auto* written = grants.add_targets();
        written->set_host(host);
        written->set_load(static_cast<float>(health.load));
        written->set_slowness(static_cast<float>(health.slowness));
        written->set_failing(static_cast<float>(health.failing));
    }
}

void outlier_detector::read_outliers(const wire::rate_grants& grants) const {
    for (const auto& outlier : grants.targets()) {
        on_outlier_(outlier.host(), {outlier.load(), outlier.slowness(), outlier.failing()});
    }
}

} // namespace dandelionmount
