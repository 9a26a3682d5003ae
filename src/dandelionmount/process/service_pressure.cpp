#include "dandelionmount/process/service_pressure.h"

#include <algorithm>

namespace dandelionmount {

namespace {

constexpr duration window = std::chrono::milliseconds(100);
constexpr duration attribution_interval = std::chrono::milliseconds(250);
// Time over which rates are averaged.
constexpr duration rate_time = std::chrono::milliseconds(400);
// Weight of the newest run in the mean time.
constexpr double newest_run = 0.1;
// A route depends on a service when one of its requests makes this many calls of it in the mean.
constexpr double least_calls = 0.3;
constexpr double most_weight = 50;
// A target at which nothing waits may be asked for this much more, so that spare capacity is found.
constexpr double idle_headroom = 2;
// The same with a queue that has just become empty, and what a full queue takes off it.
constexpr double busy_headroom = 1.1;
constexpr double full_queue_reduction = 0.5;

request_class class_of_service(std::string_view service) {
    return {std::string(service), 0, {}};
}

route_load& load_of(service_pressure& pressure, std::string_view route) {
    const auto found = pressure.routes.find(route);
    return found != pressure.routes.end() ? found->second : pressure.routes[std::string(route)];
}

double calls_of_run(const service_pressure& pressure, std::string_view route, const route_load& load,
                    std::string_view service) {
    return calls_per_second(pressure.attribution, route, service) * load.run_time;
}

// Requests at once that the target can be given, as its queue shows.
double usable_limit(const target_limiter& limiter) {
    if (limiter.most_queued == 0) {
        return limiter.limit * idle_headroom;
    }
    return limiter.limit * (busy_headroom - full_queue_reduction * queue_filled(limiter));
}

void take_attribution_interval(service_pressure& pressure, steady_time now) {
    std::map<std::string, double, std::less<>> running;
    for (auto& [route, load] : pressure.routes) {
        running[route] = load.ran_seconds;
        load.ran_seconds = 0;
    }
    note_interval(pressure.attribution, running, pressure.calls);
    pressure.calls.clear();
    pressure.interval_began = now;
}

} // namespace

void record_arrival(service_pressure& pressure, std::string_view route, double weight) {
    route_load& load = load_of(pressure, route);
    load.asked += std::min(weight, most_weight);
    load.arrived += weight > 0 ? 1 : 0;
}

void record_start(service_pressure& pressure, std::string_view route) {
    ++load_of(pressure, route).running;
}

void record_end(service_pressure& pressure, std::string_view route, duration took) {
    route_load& load = load_of(pressure, route);
    load.running -= load.running > 0 ? 1 : 0;
    const double seconds = to_seconds(took);
    load.run_time = load.run_time == 0 ? seconds : load.run_time + newest_run * (seconds - load.run_time);
}

void record_call(service_pressure& pressure, std::string_view service) {
    pressure.calls[std::string(service)] += 1;
}

void record_call_pressure(service_pressure& pressure, std::string_view service, double ratio,
                          steady_time now) {
    record_ratio(pressure.below, class_of_service(service), ratio, now);
}

void update_pressure(service_pressure& pressure, const target_limiter& limiter, steady_time now) {
    const duration passed = now - pressure.window_began;
    if (passed < window) {
        return;
    }
    pressure.window_began = now;
    const double seconds = to_seconds(std::min<duration>(passed, std::chrono::seconds(1)));
    const double weight = std::min(1.0, seconds / to_seconds(rate_time));
    double work = 0;
    for (auto& [route, load] : pressure.routes) {
        load.asked_rate += weight * (load.asked / seconds - load.asked_rate);
        load.arrived_rate += weight * (load.arrived / seconds - load.arrived_rate);
        load.asked = 0;
        load.arrived = 0;
        load.ran_seconds += load.running * seconds;
        // Little's law: what is under way is the rate times the time that each takes.
        work += load.asked_rate * load.run_time;
    }
    pressure.asked = work;
    pressure.usable = std::max(1.0, usable_limit(limiter));
    if (now - pressure.interval_began >= attribution_interval) {
        take_attribution_interval(pressure, now);
    }
}

void add_load(const service_pressure& pressure, wire::load_report& load) {
    load.set_asked(pressure.asked);
    load.set_usable(pressure.usable);
}

double downstream_pressure(const service_pressure& pressure, std::string_view route, steady_time now) {
    double highest = 0;
    const auto load = pressure.routes.find(route);
    if (load == pressure.routes.end()) {
        return highest;
    }
    for (const auto& [service, heard] : pressure.below) {
        if (calls_of_run(pressure, route, load->second, service.route) >= least_calls) {
            highest = std::max(highest, current_ratio(pressure.below, service, now));
        }
    }
    return highest;
}

double call_weight(const service_pressure& pressure, std::string_view service) {
    double asked = 0;
    double arrived = 0;
    for (const auto& [route, load] : pressure.routes) {
        const double calls = calls_of_run(pressure, route, load, service);
        asked += calls * load.asked_rate;
        arrived += calls * load.arrived_rate;
    }
    return arrived > 0 ? std::clamp(asked / arrived, 1.0, most_weight) : 1;
}

} // namespace dandelionmount
