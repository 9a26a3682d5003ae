#include "dandelionmount/process/service_pressure.h"

#include <doctest/doctest.h>

namespace dm = dandelionmount;
using std::chrono::milliseconds;

namespace {

constexpr dm::steady_time start{std::chrono::hours(1)};

// A target with ten slots and requests of 100 ms: its capacity is 100 per second.
struct loaded_target {
    loaded_target() { dm::set_ceiling(limiter, 10); }

    // Simulates a second in which that many requests of that weight arrive.
    void run_second(int requests, double weight) {
        for (int step = 0; step < 10; ++step) {
            for (int request = 0; request < requests / 10; ++request) {
                dm::record_arrival(pressure, "route", weight);
                dm::record_start(pressure, "route", 0);
                dm::record_end(pressure, "route", 0, milliseconds(100));
            }
            now += milliseconds(100);
            limiter.max_queued = 1;
            dm::update_pressure(pressure, limiter, now);
        }
    }

    dm::target_limiter limiter;
    dm::service_pressure pressure;
    dm::steady_time now{start};
};

} // namespace

TEST_SUITE_BEGIN("process");

TEST_CASE("The load is the fleet's demand as a multiple of the target's capacity") {
    loaded_target target;
    target.run_second(200, 1);
    target.run_second(200, 1);
    CHECK(target.pressure.demanded_concurrency / target.pressure.usable_concurrency ==
          doctest::Approx(2).epsilon(0.2));
    // Half is shed at the ingress nodes: each arrival represents two requests.
    target.run_second(100, 2);
    target.run_second(100, 2);
    CHECK(target.pressure.demanded_concurrency / target.pressure.usable_concurrency ==
          doctest::Approx(2).epsilon(0.2));
    CHECK(dm::call_weight(target.pressure, "elsewhere") == 1);
}

TEST_CASE("A demand ratio from downstream applies to the routes that call the service, and decays without "
          "reports") {
    loaded_target target;
    target.run_second(20, 1);
    for (int call = 0; call < 50; ++call) {
        dm::record_call(target.pressure, "below");
        dm::record_call_pressure(target.pressure, "below", 4, target.now);
    }
    target.pressure.attribution.routes = {"route", "other"};
    target.pressure.attribution.services["below"].rates = {30, 0};
    target.pressure.attribution.intervals = 30;
    target.pressure.routes["other"].run_time = 0.1;
    CHECK(dm::downstream_pressure(target.pressure, "route", target.now) > 3);
    CHECK(dm::downstream_pressure(target.pressure, "other", target.now) < 1);
    CHECK(dm::downstream_pressure(target.pressure, "route", target.now + std::chrono::seconds(5)) < 1);
}

// Guards against requests that are shed for calls which they do not make: while calls fail, the attribution
// gives some of them to routes that run beside those that call.
TEST_CASE("A route with few of the calls of a service does not count as calling it") {
    loaded_target target;
    target.run_second(20, 1);
    for (int call = 0; call < 50; ++call) {
        dm::record_call_pressure(target.pressure, "below", 4, target.now);
    }
    target.pressure.attribution.routes = {"route", "beside", "also"};
    target.pressure.attribution.services["below"].rates = {40, 0.8, 2};
    target.pressure.attribution.intervals = 30;
    target.pressure.routes["beside"].run_time = 0.5;
    target.pressure.routes["also"].run_time = 0.6;
    CHECK(dm::downstream_pressure(target.pressure, "route", target.now) > 3);
    CHECK(dm::downstream_pressure(target.pressure, "beside", target.now) == 0);
    CHECK(dm::downstream_pressure(target.pressure, "also", target.now) > 3);
}

TEST_SUITE_END();
