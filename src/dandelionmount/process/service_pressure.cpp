#include "dandelionmount/process/service_pressure.h"

#include <algorithm>

namespace dandelionmount {

namespace {

constexpr duration window_length = std::chrono::milliseconds(100);
constexpr duration attribution_interval = std::chrono::milliseconds(250);
// Time constant of the EWMA of the rates.
constexpr duration averaging_time = std::chrono::milliseconds(400);
// EWMA weight of a run time.
constexpr double ewma_weight = 0.1;
// Mean number of calls per request from which a route counts as calling a service.
constexpr double min_calls = 0.3;
// The same relative to the route that makes most of the service's calls. The attribution gives a part of its
// calls to routes that run beside it, above all while calls fail and their requests end early. The estimates
// of routes with few requests are too uncertain to compare with.
constexpr double min_relative_calls = 0.25;
// Requests that one arrival can represent; corresponds to the smallest share that ingress nodes admit, 0.02.
constexpr double max_weight = 50;
// Per attribution interval: half of the weight is gone after a minute, as with the attribution.
constexpr double failure_forgetting_factor = 0.997;
// Failures that a route would share with a service before their lack shows that it does not call the service.
constexpr double min_expected_failures = 5;
// Share of these that may be observed by chance or for other reasons.
constexpr double max_unrelated_failures = 0.25;
// Headroom over the limit while the queue stays empty, so that spare capacity is found.
constexpr double idle_headroom = 2;
// Headroom while there is a queue, and its reduction when the queue is full.
constexpr double busy_headroom = 1.1;
constexpr double full_queue_reduction = 0.5;

route_load& load_of(service_pressure& pressure, std::string_view route) {
    const auto found = pressure.routes.find(route);
    return found != pressure.routes.end() ? found->second : pressure.routes[std::string(route)];
}

// Calls per second of a request's run time.
double call_rate(const service_pressure& pressure, std::string_view route, const route_load& load,
                 std::string_view service) {
    return load.run_time > 0 ? calls_per_request(pressure.attribution, route, service) / load.run_time : 0;
}

// Whether runs of the route end well while calls of the service fail.
bool is_independent(const service_pressure& pressure, const std::string& route, const std::string& service) {
    const auto found = pressure.shared.find({route, service});
    return found != pressure.shared.end() && found->second.expected >= min_expected_failures &&
           found->second.observed < max_unrelated_failures * found->second.expected;
}

// Calls per request are estimated by regression, which is uncertain while calls fail, since requests then end
// before their other calls. But then the failures show which routes depend on the service.
void record_shared_failures(service_pressure& pressure) {
    for (auto& [route, load] : pressure.routes) {
        for (const auto& [service, calls] : pressure.ended_calls) {
            shared_failures& shared = pressure.shared[{route, service}];
            shared.expected = shared.expected * failure_forgetting_factor +
                              load.interval_runs.ended * calls.failed / calls.ended;
            shared.observed = shared.observed * failure_forgetting_factor +
                              (calls.failed > 0 ? load.interval_runs.failed : 0);
        }
        load.interval_runs = {};
    }
    pressure.ended_calls.clear();
}

// Whether requests of the route call the service.
bool leads_to(const service_pressure& pressure, const std::string& route, const std::string& service) {
    if (is_independent(pressure, route, service)) {
        return false;
    }
    const double calls = calls_per_request(pressure.attribution, route, service);
    return calls >= min_calls &&
           calls >= min_relative_calls * calls_per_request_of_main_caller(pressure.attribution, service);
}

// Concurrent requests that the target can take, estimated from its limit and its queue.
double usable_limit(const target_limiter& limiter) {
    const double limit = effective_limit(limiter);
    if (limiter.max_queued == 0) {
        // A rate that the target names leaves no spare capacity to be found.
        return limit * (limiter.rate.per_second ? 1 : idle_headroom);
    }
    return limit * (busy_headroom - full_queue_reduction * queue_fill_ratio(limiter));
}

void end_attribution_interval(service_pressure& pressure, steady_time now) {
    std::map<std::string, double, std::less<>> requests;
    for (auto& [route, load] : pressure.routes) {
        requests[route] = load.interval_requests;
        load.interval_requests = 0;
    }
    record_interval(pressure.attribution, requests, pressure.calls);
    record_shared_failures(pressure);
    pressure.calls.clear();
    pressure.interval_began = now;
}

} // namespace

void record_arrival(service_pressure& pressure, std::string_view route, double weight) {
    route_load& load = load_of(pressure, route);
    load.demanded += std::min(weight, max_weight);
    load.arrived += weight > 0 ? 1 : 0;
}

void record_start(service_pressure& pressure, std::string_view route, double repeat_share) {
    route_load& load = load_of(pressure, route);
    ++load.running;
    load.interval_requests += 0.5;
    load.running_repeats += repeat_share;
}

void record_end(service_pressure& pressure, std::string_view route, double repeat_share, duration elapsed) {
    route_load& load = load_of(pressure, route);
    load.running -= load.running > 0 ? 1 : 0;
    load.interval_requests += 0.5;
    load.running_repeats = std::max(0.0, load.running_repeats - repeat_share);
    const double seconds = to_seconds(elapsed);
    load.run_time = load.run_time == 0 ? seconds : load.run_time + ewma_weight * (seconds - load.run_time);
}

void record_run_result(service_pressure& pressure, std::string_view route, bool failed) {
    load_of(pressure, route).interval_runs.add(failed);
}

void record_call(service_pressure& pressure, std::string_view service) {
    pressure.calls[std::string(service)] += 1;
}

void record_call_result(service_pressure& pressure, std::string_view service, bool failed) {
    pressure.ended_calls[std::string(service)].add(failed);
}

void record_call_pressure(service_pressure& pressure, std::string_view service, const service_demand& demand,
                          steady_time now) {
    record_highest_ratio(pressure.callee_ratios, service, demand, now);
}

void update_pressure(service_pressure& pressure, const target_limiter& limiter, steady_time now) {
    const duration elapsed = now - pressure.window_began;
    if (elapsed < window_length) {
        return;
    }
    pressure.window_began = now;
    const double seconds = to_seconds(std::min<duration>(elapsed, std::chrono::seconds(1)));
    const double weight = std::min(1.0, seconds / to_seconds(averaging_time));
    double concurrency = 0;
    for (auto& [route, load] : pressure.routes) {
        load.demand_rate += weight * (load.demanded / seconds - load.demand_rate);
        load.arrival_rate += weight * (load.arrived / seconds - load.arrival_rate);
        load.demanded = 0;
        load.arrived = 0;
        // Little's law: requests in progress are the arrival rate times the run time.
        concurrency += load.demand_rate * load.run_time;
    }
    pressure.demanded_concurrency = concurrency;
    pressure.usable_concurrency = std::max(1.0, usable_limit(limiter));
    if (now - pressure.interval_began >= attribution_interval) {
        end_attribution_interval(pressure, now);
    }
}

void add_load(const service_pressure& pressure, wire::load_report& load) {
    load.set_asked(pressure.demanded_concurrency);
    load.set_usable(pressure.usable_concurrency);
}

service_demand downstream_pressure(const service_pressure& pressure, std::string_view route,
                                   steady_time now) {
    service_demand highest;
    const auto load = pressure.routes.find(route);
    if (load == pressure.routes.end()) {
        return highest;
    }
    for (const auto& [key, entry] : pressure.callee_ratios) {
        const double ratio = current_ratio(pressure.callee_ratios, key, now);
        if (ratio > highest.ratio && leads_to(pressure, load->first, key.route)) {
            highest = {key.bottleneck, ratio};
        }
    }
    return highest;
}

double repeat_share_of_calls(const service_pressure& pressure, std::string_view service) {
    double repeats = 0;
    double running = 0;
    for (const auto& [route, load] : pressure.routes) {
        const double calls = call_rate(pressure, route, load, service);
        repeats += calls * load.running_repeats;
        running += calls * load.running;
    }
    return running > 0 ? std::min(1.0, repeats / running) : 0;
}

double call_weight(const service_pressure& pressure, std::string_view service) {
    double demanded = 0;
    double arrived = 0;
    for (const auto& [route, load] : pressure.routes) {
        const double calls = calls_per_request(pressure.attribution, route, service);
        demanded += calls * load.demand_rate;
        arrived += calls * load.arrival_rate;
    }
    return arrived > 0 ? std::clamp(demanded / arrived, 1.0, max_weight) : 1;
}

} // namespace dandelionmount
