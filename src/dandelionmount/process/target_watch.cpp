#include "dandelionmount/process/target_watch.h"

#include "dandelionmount/process/logging.h"

#include <algorithm>
#include <utility>

namespace dandelionmount {

namespace {

// Between two comparisons, as each looks at all targets of the fleet.
constexpr duration comparison_interval = std::chrono::milliseconds(150);
// Routes that one report names; the slowest say most.
constexpr std::size_t most_routes = 8;
constexpr duration forget_time = std::chrono::seconds(5);

} // namespace

target_state target_watch::own_state() const {
    const auto& guard = target_.guard();
    target_state state;
    state.service = target_.announced().service;
    state.run_times = run_times(target_.speed(), time_.now());
    state.load = (static_cast<double>(guard.in_flight) + static_cast<double>(guard.queue.size())) /
                 std::max(1.0, guard.limit);
    state.failing = target_.speed().failing;
    return state;
}

void target_watch::write_state(wire::rate_report& report) const {
    const target_state state = own_state();
    auto* written = report.mutable_target();
    written->set_service(state.service);
    written->set_load(static_cast<float>(state.load));
    written->set_failing(static_cast<float>(state.failing));
    std::vector<std::pair<double, std::string>> slowest;
    for (const auto& [route, seconds] : state.run_times) {
        slowest.emplace_back(seconds, route);
    }
    std::sort(slowest.rbegin(), slowest.rend());
    slowest.resize(std::min(slowest.size(), most_routes));
    for (const auto& [seconds, route] : slowest) {
        auto* time = written->add_routes();
        time->set_route(route);
        time->set_seconds(static_cast<float>(seconds));
    }
}

void target_watch::read_state(const wire::rate_report& report, std::string_view host) {
    if (!report.has_target() || report.target().service().empty()) {
        return;
    }
    heard_target& heard = heard_[std::string(host)];
    heard.heard = time_.now();
    heard.state.service = report.target().service();
    heard.state.load = report.target().load();
    heard.state.failing = report.target().failing();
    heard.state.run_times.clear();
    for (const auto& time : report.target().routes()) {
        heard.state.run_times[time.route()] = time.seconds();
    }
}

// One line when a target begins to stand out, and one when it no longer does.
void target_watch::log_changes(const target_notes& before) const {
    for (const auto& [host, note] : notes_) {
        if (!before.contains(host)) {
            log_event(log_level::info, "target stands out",
                      {{"target_host", host},
                       {"slowness", std::to_string(note.slowness)},
                       {"failing", std::to_string(note.failing)},
                       {"load", std::to_string(note.load)}});
        }
    }
    for (const auto& [host, note] : before) {
        if (!notes_.contains(host)) {
            log_event(log_level::info, "target as others again", {{"target_host", host}});
        }
    }
}

void target_watch::write_notes(wire::rate_grants& grants) {
    const auto now = time_.now();
    if (now - compared_ >= comparison_interval) {
        compared_ = now;
        std::erase_if(heard_, [now](const auto& entry) { return now - entry.second.heard > forget_time; });
        heard_[host_] = {own_state(), now};
        const target_notes before = std::exchange(notes_, compare_targets(heard_, now));
        log_changes(before);
    }
    for (const auto& [host, note] : notes_) {
        auto* written = grants.add_targets();
        written->set_host(host);
        written->set_load(static_cast<float>(note.load));
        written->set_slowness(static_cast<float>(note.slowness));
        written->set_failing(static_cast<float>(note.failing));
    }
}

void target_watch::read_notes(const wire::rate_grants& grants) const {
    for (const auto& note : grants.targets()) {
        on_note_(note.host(), {note.load(), note.slowness(), note.failing()});
    }
}

} // namespace dandelionmount
