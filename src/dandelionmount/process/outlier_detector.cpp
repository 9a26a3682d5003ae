#include "dandelionmount/process/outlier_detector.h"

#include "dandelionmount/process/logging.h"

#include <algorithm>

namespace dandelionmount {

namespace {

// Between two comparisons, as each looks at all targets of the fleet.
constexpr duration comparison_interval = std::chrono::milliseconds(150);
// Routes that one report names; the slowest say most.
constexpr std::size_t most_routes = 8;
// A target is logged when a request costs this much more there than at others, and again below the second
// figure; targets that differ by nature stay unlogged.
constexpr double logged_cost = 2.5;
constexpr double usual_cost = 1.5;
constexpr duration forget_time = std::chrono::seconds(5);

} // namespace

target_state outlier_detector::own_state() const {
    const auto& limiter = target_.limiter();
    target_state state;
    state.service = target_.announced().service;
    state.routes = times_of_routes(target_.speed(), time_.now());
    state.load = (static_cast<double>(limiter.in_flight) + static_cast<double>(limiter.queue.size())) /
                 std::max(1.0, limiter.limit);
    state.failing = target_.speed().failing;
    return state;
}

void outlier_detector::write_state(wire::rate_report& report) const {
    const target_state state = own_state();
    auto* written = report.mutable_target();
    written->set_service(state.service);
    written->set_load(static_cast<float>(state.load));
    written->set_failing(static_cast<float>(state.failing));
    std::vector<std::pair<double, std::string>> slowest;
    slowest.reserve(state.routes.size());
    for (const auto& [route, times] : state.routes) {
        slowest.emplace_back(times.longest(), route);
    }
    std::sort(slowest.rbegin(), slowest.rend());
    slowest.resize(std::min(slowest.size(), most_routes));
    for (const auto& [seconds, route] : slowest) {
        const auto& times = state.routes.at(route);
        auto* time = written->add_routes();
        time->set_route(route);
        time->set_running_for(static_cast<float>(times.running_for));
        if (times.run_time) {
            time->set_run_time(static_cast<float>(*times.run_time));
        }
    }
}

void outlier_detector::read_state(const wire::rate_report& report, std::string_view host) {
    if (!report.has_target() || report.target().service().empty()) {
        return;
    }
    heard_target& heard = heard_[std::string(host)];
    heard.heard = time_.now();
    heard.state.service = report.target().service();
    heard.state.load = report.target().load();
    heard.state.failing = report.target().failing();
    heard.state.routes.clear();
    for (const auto& time : report.target().routes()) {
        auto& times = heard.state.routes[time.route()];
        times.running_for = time.running_for();
        if (time.has_run_time()) {
            times.run_time = time.run_time();
        }
    }
}

// One line when a target begins to stand out far, and one when it no longer does.
void outlier_detector::log_changes() {
    for (const auto& [host, note] : notes_) {
        if (cost_factor(note) >= logged_cost && logged_.insert(host).second) {
            log_event(log_level::info, "target stands out",
                      {{"target_host", host},
                       {"slowness", std::to_string(note.slowness)},
                       {"failing", std::to_string(note.failing)},
                       {"load", std::to_string(note.load)}});
        }
    }
    std::erase_if(logged_, [this](const std::string& host) {
        const auto found = notes_.find(host);
        const bool over = found == notes_.end() || cost_factor(found->second) < usual_cost;
        if (over) {
            log_event(log_level::info, "target as others again", {{"target_host", host}});
        }
        return over;
    });
}

void outlier_detector::write_outliers(wire::rate_grants& grants) {
    const auto now = time_.now();
    if (now - compared_ >= comparison_interval) {
        compared_ = now;
        std::erase_if(heard_, [now](const auto& entry) { return now - entry.second.heard > forget_time; });
        heard_[host_] = {own_state(), now};
        notes_ = compare_targets(heard_, now);
        log_changes();
    }
    for (const auto& [host, note] : notes_) {
        auto* written = grants.add_targets();
        written->set_host(host);
        written->set_load(static_cast<float>(note.load));
        written->set_slowness(static_cast<float>(note.slowness));
        written->set_failing(static_cast<float>(note.failing));
    }
}

void outlier_detector::read_outliers(const wire::rate_grants& grants) const {
    for (const auto& note : grants.targets()) {
        on_note_(note.host(), {note.load(), note.slowness(), note.failing()});
    }
}

} // namespace dandelionmount
