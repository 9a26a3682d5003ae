#include "dandelionmount/process/target_limiter.h"

#include <doctest/doctest.h>

namespace dm = dandelionmount;

namespace {

constexpr dm::steady_time start{std::chrono::hours(1)};
using std::chrono::milliseconds;

dm::queued_request make_request(std::uint64_t ticket, std::uint32_t priority = 4) {
    return {ticket, priority, "a", start, start + std::chrono::seconds(1)};
}

dm::target_limiter busy_limiter(std::uint32_t slots) {
    dm::target_limiter limiter;
    dm::set_ceiling(limiter, slots);
    for (std::uint32_t ticket = 0; ticket < slots; ++ticket) {
        (void)dm::decide_arrival(limiter, make_request(ticket), start + std::chrono::seconds(1), start);
    }
    return limiter;
}

} // namespace

TEST_SUITE_BEGIN("process");

TEST_CASE("A target is never given more concurrent requests than it announced") {
    auto limiter = busy_limiter(4);
    CHECK(limiter.in_flight == 4);
    const auto decision =
        dm::decide_arrival(limiter, make_request(9), start + std::chrono::seconds(1), start);
    CHECK(decision.what == dm::arrival_decision::action::queue);
    CHECK_FALSE(dm::start_next(limiter, start));
    dm::record_end(limiter, dm::call_end::answered, milliseconds(5), start);
    CHECK(dm::start_next(limiter, start)->ticket == 9);
}

TEST_CASE("A request that can't meet its deadline is refused on arrival") {
    auto limiter = busy_limiter(2);
    limiter.service_time = milliseconds(100);
    const auto decision = dm::decide_arrival(limiter, make_request(9), start + milliseconds(120), start);
    CHECK(decision.what == dm::arrival_decision::action::refuse);
    CHECK(decision.why == dm::reason::cannot_finish);
}

TEST_CASE("The limit falls while the target is overloaded and rises again with its responses") {
    dm::target_limiter limiter;
    dm::set_ceiling(limiter, 50);
    const auto end_call = [&](dm::call_end end) {
        (void)dm::decide_arrival(limiter, make_request(1), start + std::chrono::seconds(1), start);
        dm::record_end(limiter, end, milliseconds(5), start);
    };
    for (int call = 0; call < 10; ++call) {
        end_call(dm::call_end::overloaded);
    }
    CHECK(limiter.limit < 20);
    CHECK(limiter.limit >= 1);
    for (int call = 0; call < 2000; ++call) {
        end_call(dm::call_end::answered);
    }
    CHECK(limiter.limit == doctest::Approx(50));
}

// Guards against an overload that lasts, as its run times count as normal within seconds: calls that are cut
// off at their deadline then say nothing any more, and the limit stays.
TEST_CASE("The run times of an overload do not become the baseline while it lasts") {
    dm::target_limiter limiter;
    dm::set_ceiling(limiter, 50);
    auto now = start;
    const auto run = [&](int calls, dm::duration each) {
        for (int call = 0; call < calls; ++call) {
            now += std::chrono::microseconds(1400);
            (void)dm::decide_arrival(limiter, make_request(1), now + std::chrono::seconds(1), now);
            dm::record_end(limiter, dm::call_end::answered, each, now);
        }
    };
    run(1000, milliseconds(50));
    // 10 s at 700 calls per second.
    run(7000, milliseconds(400));
    CHECK(limiter.baseline_time < milliseconds(100));
    // Run times that stay so for minutes do.
    run(200000, milliseconds(400));
    CHECK(limiter.baseline_time > milliseconds(399));
}

TEST_CASE("The served share of the demand falls while the demand exceeds the capacity, and rises again") {
    auto limiter = busy_limiter(2);
    limiter.measured = true;
    limiter.service_time = milliseconds(100);
    auto now = start;
    // The capacity is 20 per second, the demand 200.
    for (int window = 0; window < 50; ++window) {
        for (int request = 0; request < 20; ++request) {
            (void)dm::decide_arrival(limiter, make_request(100), now + std::chrono::hours(1), now);
        }
        now += milliseconds(100);
        dm::update_demands(limiter, now);
    }
    CHECK(dm::find_demand(limiter.demands, 4, "a")->ratio > 8);
    CHECK(dm::find_demand(limiter.demands, 4, "a")->ratio < 20);
    while (dm::remove_request(limiter.queue, 100)) {
    }
    for (int window = 0; window < 200; ++window) {
        now += milliseconds(100);
        dm::update_demands(limiter, now);
    }
    CHECK(dm::admitted_fraction(limiter.demands) == 1);
}

TEST_CASE("A full queue lowers the admissible rate, and an empty one raises it") {
    auto limiter = busy_limiter(4);
    limiter.measured = true;
    limiter.service_time = milliseconds(100);
    const double idle = dm::admissible_rate(limiter);
    CHECK(idle > 40);
    while (dm::decide_arrival(limiter, make_request(100), start + std::chrono::hours(1), start).what ==
           dm::arrival_decision::action::queue) {
    }
    const double full = dm::admissible_rate(limiter);
    CHECK(full < 40);
    CHECK(full > 20);
}

TEST_CASE(
    "Further attempts of a request don't add to the demand, which includes the shed requests it represents") {
    dm::target_limiter limiter;
    dm::set_ceiling(limiter, 10);
    auto request = make_request(1);
    request.weight = 8;
    (void)dm::decide_arrival(limiter, request, start + std::chrono::seconds(1), start);
    request.weight = 0;
    (void)dm::decide_arrival(limiter, request, start + std::chrono::seconds(1), start);
    CHECK(limiter.demands.by_priority[4].at("a").arrived == 8);
}

TEST_CASE("A request of higher priority displaces one of lower priority in a full queue") {
    auto limiter = busy_limiter(1);
    std::uint64_t ticket = 100;
    while (dm::decide_arrival(limiter, make_request(ticket), start + std::chrono::hours(1), start).what ==
           dm::arrival_decision::action::queue) {
        ++ticket;
    }
    const auto decision =
        dm::decide_arrival(limiter, make_request(7000, 9), start + std::chrono::hours(1), start);
    CHECK(decision.what == dm::arrival_decision::action::queue);
    REQUIRE(decision.evicted);
    CHECK(decision.evicted->priority == 4);
}

TEST_CASE("The queue holds more calls than requests of callers before it counts as full") {
    auto limiter = busy_limiter(10);
    auto request = make_request(100);
    request.is_call = true;
    for (int call = 0; call < 30; ++call) {
        const auto decision = dm::decide_arrival(limiter, request, start + std::chrono::hours(1), start);
        CHECK(decision.what == dm::arrival_decision::action::queue);
    }
    CHECK(dm::queue_fill_ratio(limiter) == doctest::Approx(0.5));
    while (dm::decide_arrival(limiter, request, start + std::chrono::hours(1), start).what ==
           dm::arrival_decision::action::queue) {
    }
    CHECK(dm::queue_fill_ratio(limiter) == 1);
}

TEST_SUITE_END();
