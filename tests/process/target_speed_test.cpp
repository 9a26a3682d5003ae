#include "dandelionmount/process/target_speed.h"

#include <doctest/doctest.h>

namespace dm = dandelionmount;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct speed_fixture {
    // Simulates that many requests in sequence, each of that duration.
    void run(int count, dm::duration elapsed, dm::run_result result = dm::run_result::answered) {
        for (int request = 0; request < count; ++request) {
            dm::record_run_start(speed, "/read/", now);
            now += elapsed;
            dm::record_run_end(speed, "/read/", elapsed, result, now);
        }
    }
    [[nodiscard]] dm::route_times times() const { return dm::times_of_routes(speed, now).at("/read/"); }
    [[nodiscard]] double run_time() const { return times().run_time.value(); }

    dm::target_speed speed;
    dm::steady_time now{std::chrono::hours(1)};
};

} // namespace

TEST_SUITE_BEGIN("process");

TEST_CASE("A route's run time follows that of its requests") {
    speed_fixture fixture;
    fixture.run(4, milliseconds(100));
    CHECK(dm::times_of_routes(fixture.speed, fixture.now).empty());
    fixture.run(30, milliseconds(100));
    CHECK(fixture.run_time() == doctest::Approx(0.1));
    fixture.run(10, milliseconds(1200));
    CHECK(fixture.run_time() > 0.8);
}

TEST_CASE("Hanging requests are detected by the age of the running requests") {
    speed_fixture fixture;
    fixture.run(30, milliseconds(100));
    for (int request = 0; request < 5; ++request) {
        dm::record_run_start(fixture.speed, "/read/", fixture.now);
    }
    fixture.now += milliseconds(900);
    CHECK(fixture.times().running_for == doctest::Approx(0.9));
    CHECK(fixture.run_time() == doctest::Approx(0.1));
}

TEST_CASE(
    "The run time of a route with few requests recovers within 9 s, and expires after 11 s without any") {
    speed_fixture fixture;
    fixture.run(30, milliseconds(1200));
    for (int request = 0; request < 8; ++request) {
        fixture.now += seconds(1);
        fixture.run(1, milliseconds(100));
    }
    CHECK(fixture.run_time() < 0.2);
    fixture.now += seconds(11);
    CHECK(dm::times_of_routes(fixture.speed, fixture.now).empty());
}

TEST_CASE("Failed and cancelled requests don't make a target look fast") {
    speed_fixture fixture;
    fixture.run(30, milliseconds(500));
    fixture.run(1, milliseconds(1), dm::run_result::failed);
    CHECK(fixture.speed.failing < 0.1);
    fixture.run(40, milliseconds(1), dm::run_result::failed);
    CHECK(fixture.speed.failing > 0.8);
    fixture.run(20, milliseconds(1), dm::run_result::cancelled);
    fixture.run(20, milliseconds(1), dm::run_result::timed_out);
    CHECK(fixture.run_time() == doctest::Approx(0.5));
    CHECK(dm::timeout_share(fixture.speed, "/read/", fixture.now) == 0);
    fixture.run(40, milliseconds(500));
    CHECK(fixture.speed.failing < 0.2);
    dm::reset_speed(fixture.speed);
    CHECK(fixture.speed.failing == 0);
    CHECK(dm::times_of_routes(fixture.speed, fixture.now).empty());
}

TEST_CASE("The timeout share follows a route's runs, and expires without new results") {
    speed_fixture fixture;
    fixture.run(20, milliseconds(100));
    CHECK(dm::timeout_share(fixture.speed, "/read/", fixture.now) == 0);
    fixture.run(20, milliseconds(600), dm::run_result::timed_out);
    CHECK(dm::timeout_share(fixture.speed, "/read/", fixture.now) > 0.8);
    CHECK(dm::timeout_share(fixture.speed, "/other/", fixture.now) == 0);
    fixture.run(20, milliseconds(100));
    CHECK(dm::timeout_share(fixture.speed, "/read/", fixture.now) < 0.2);
    fixture.run(20, milliseconds(600), dm::run_result::timed_out);
    CHECK(dm::timeout_share(fixture.speed, "/read/", fixture.now + seconds(11)) == 0);
}

TEST_CASE("The bound of a route's run time follows the mean and the spread of its runs") {
    speed_fixture fixture;
    const auto bound = [&fixture] {
        return dm::to_seconds(dm::run_time_bound(fixture.speed, "/read/", fixture.now).value());
    };
    CHECK_FALSE(dm::run_time_bound(fixture.speed, "/read/", fixture.now));
    fixture.run(1, milliseconds(100));
    CHECK(bound() == doctest::Approx(0.3));
    fixture.run(60, milliseconds(100));
    CHECK(bound() == doctest::Approx(0.1).epsilon(0.02));
    for (int round = 0; round < 30; ++round) {
        fixture.run(3, milliseconds(100));
        fixture.run(1, milliseconds(300));
    }
    CHECK(bound() > 0.3);
    CHECK(bound() < 0.7);
    CHECK_FALSE(dm::run_time_bound(fixture.speed, "/other/", fixture.now));
}

TEST_CASE("Requests that hang raise the bound of the run time before they end") {
    speed_fixture fixture;
    fixture.run(60, milliseconds(100));
    dm::record_run_start(fixture.speed, "/read/", fixture.now);
    fixture.now += seconds(2);
    CHECK(dm::run_time_bound(fixture.speed, "/read/", fixture.now).value() >= seconds(2));
}

TEST_SUITE_END();
