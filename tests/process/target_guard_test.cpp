#include "dandelionmount/process/target_guard.h"

#include <doctest/doctest.h>

namespace dm = dandelionmount;

namespace {

constexpr dm::steady_time start{std::chrono::hours(1)};
using std::chrono::milliseconds;

dm::queued_request make_request(std::uint64_t ticket, std::uint32_t priority = 4) {
    return {ticket, priority, "a", start, start + std::chrono::seconds(1)};
}

dm::target_guard busy_guard(std::uint32_t slots) {
    dm::target_guard guard;
    dm::set_ceiling(guard, slots);
    for (std::uint32_t ticket = 0; ticket < slots; ++ticket) {
        (void)dm::decide_arrival(guard, make_request(ticket), start + std::chrono::seconds(1), start);
    }
    return guard;
}

} // namespace

TEST_SUITE_BEGIN("process");

TEST_CASE("A target is never given more than it announced") {
    auto guard = busy_guard(4);
    CHECK(guard.in_flight == 4);
    const auto decision = dm::decide_arrival(guard, make_request(9), start + std::chrono::seconds(1), start);
    CHECK(decision.what == dm::arrival_decision::action::queue);
    CHECK_FALSE(dm::next_start(guard));
    dm::note_end(guard, dm::call_end::answered, milliseconds(5), start);
    CHECK(dm::next_start(guard)->ticket == 9);
}

TEST_CASE("Work that can't finish in its deadline is refused on arrival") {
    auto guard = busy_guard(2);
    guard.service_time = milliseconds(100);
    const auto decision = dm::decide_arrival(guard, make_request(9), start + milliseconds(120), start);
    CHECK(decision.what == dm::arrival_decision::action::refuse);
    CHECK(decision.why == dm::reason::cannot_finish);
}

TEST_CASE("A target that sheds is given less, and more again when it answers") {
    dm::target_guard guard;
    dm::set_ceiling(guard, 50);
    const auto end_call = [&](dm::call_end end) {
        (void)dm::decide_arrival(guard, make_request(1), start + std::chrono::seconds(1), start);
        dm::note_end(guard, end, milliseconds(5), start);
    };
    for (int call = 0; call < 10; ++call) {
        end_call(dm::call_end::overloaded);
    }
    CHECK(guard.limit < 20);
    CHECK(guard.limit >= 1);
    for (int call = 0; call < 2000; ++call) {
        end_call(dm::call_end::answered);
    }
    CHECK(guard.limit == doctest::Approx(50));
}

TEST_CASE("The admission level rises while requests are shed and falls when none is") {
    dm::target_guard guard;
    auto now = start;
    for (int window = 0; window < 20; ++window) {
        guard.arrived_in_window = 10;
        guard.shed_in_window = 10;
        guard.lowest_in_window = 4;
        now += milliseconds(150);
        dm::update_level(guard, now);
        CHECK(guard.admission_level > 4);
    }
    // Never so high that the next priority would be shed, too.
    CHECK(guard.admission_level == doctest::Approx(4.9));
    for (int window = 0; window < 200; ++window) {
        now += milliseconds(150);
        dm::update_level(guard, now);
    }
    CHECK(guard.admission_level == 0);
}

TEST_CASE("An important request takes the place of a less important one in a full queue") {
    auto guard = busy_guard(1);
    std::uint64_t ticket = 100;
    while (dm::decide_arrival(guard, make_request(ticket), start + std::chrono::hours(1), start).what ==
           dm::arrival_decision::action::queue) {
        ++ticket;
    }
    const auto decision =
        dm::decide_arrival(guard, make_request(7000, 9), start + std::chrono::hours(1), start);
    CHECK(decision.what == dm::arrival_decision::action::queue);
    REQUIRE(decision.evicted);
    CHECK(decision.evicted->priority == 4);
}

TEST_SUITE_END();
