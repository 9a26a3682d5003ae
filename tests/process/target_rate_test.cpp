#include "dandelionmount/process/target_rate.h"

#include "dandelionmount/process/target_limiter.h"

#include <deque>
#include <doctest/doctest.h>
#include <random>

namespace dm = dandelionmount;
using std::chrono::milliseconds;

namespace {

dm::queued_request make_request(std::uint64_t ticket, std::uint32_t priority, dm::steady_time now) {
    dm::queued_request request;
    request.ticket = ticket;
    request.priority = priority;
    request.account = "a";
    request.arrived = now;
    request.start_by = now + std::chrono::seconds(2);
    return request;
}

// Highest number of starts in any span of that length.
std::size_t most_within(const std::vector<dm::steady_time>& starts, dm::duration length) {
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < starts.size(); ++last) {
        while (starts[last] - starts[first] >= length) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

// A target with many slots that names a rate far below what is offered to it, as one in need does.
struct capped_target {
    capped_target(double per_second, double offered, std::uint64_t seed) : offered_(offered), random_(seed) {
        dm::set_ceiling(limiter, 100);
        dm::record_named_rate(limiter.rate, per_second, now);
    }

    // Arrivals at random times and runs of 200 ms.
    void run(dm::duration time) {
        const auto until = now + time;
        std::exponential_distribution<double> gap(offered_);
        while (now < until) {
            const auto next = now + dm::from_seconds(gap(random_));
            pass_time(next);
            ++last_ticket_;
            const auto request = make_request(last_ticket_, last_ticket_ % 3 == 0 ? 2 : 1, now);
            const auto decision = dm::decide_arrival(limiter, request, now + std::chrono::seconds(2), now);
            if (decision.what == dm::arrival_decision::action::start) {
                start(request.priority);
            }
        }
    }

    dm::target_limiter limiter;
    dm::steady_time now{std::chrono::hours(1)};
    std::vector<dm::steady_time> starts;
    std::map<std::uint32_t, int> starts_by_priority;

private:
    void pass_time(dm::steady_time until) {
        for (; now < until; now += milliseconds(1)) {
            while (!ends_.empty() && ends_.front() <= now) {
                ends_.pop_front();
                dm::record_end(limiter, dm::call_end::answered, run_time, now);
            }
            while (const auto next = dm::start_next(limiter, now)) {
                start(next->priority);
            }
        }
    }
    void start(std::uint32_t priority) {
        starts.push_back(now);
        ends_.push_back(now + run_time);
        ++starts_by_priority[priority];
    }

    static constexpr dm::duration run_time = milliseconds(200);
    double offered_;
    std::mt19937_64 random_;
    std::uint64_t last_ticket_{0};
    std::deque<dm::steady_time> ends_;
};

} // namespace

TEST_SUITE_BEGIN("process");

// Pattern: targets in need name a request rate in their answers while callers offer several times as much.
// Guards against a target that gets far more than the rate that it has named.
TEST_CASE("A target gets the rate that it names and no more, however much is offered") {
    for (const double per_second : {0.0, 3.5, 28.2, 90.0}) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            CAPTURE(per_second);
            CAPTURE(seed);
            capped_target target(per_second, 300, seed);
            target.run(std::chrono::seconds(20));
            const double allowed = 1.5 * per_second * 4 + 5;
            CHECK(static_cast<double>(most_within(target.starts, std::chrono::seconds(4))) <= allowed);
            CHECK(static_cast<double>(target.starts.size()) >= 0.9 * per_second * 20);
        }
    }
}

TEST_CASE("Under a named rate, more important requests start first") {
    capped_target target(28, 60, 3);
    target.run(std::chrono::seconds(20));
    // A third of the arrivals, 20 a second, has the higher priority.
    CHECK(target.starts_by_priority[2] > 0.9 * 20 * 20);
}

TEST_CASE("The effective limit follows the named rate, so that fewer requests are sent to the target") {
    capped_target target(20, 100, 1);
    target.run(std::chrono::seconds(5));
    CHECK(dm::effective_limit(target.limiter) == doctest::Approx(4).epsilon(0.1));
    CHECK(dm::admissible_rate(target.limiter) < 24);
}

TEST_CASE("A limit holds until an answer to a later request names none") {
    dm::target_rate rate;
    const dm::steady_time start{std::chrono::hours(1)};
    dm::record_named_rate(rate, 10, start);
    dm::record_unnamed_rate(rate, start - milliseconds(50));
    CHECK(rate.per_second == 10);
    dm::record_unnamed_rate(rate, start + milliseconds(50));
    CHECK_FALSE(rate.per_second);
    CHECK(dm::take_token(rate, start));
}

TEST_CASE("Naming a limit again, or after a moment without one, gives no new burst") {
    dm::target_rate rate;
    dm::steady_time now{std::chrono::hours(1)};
    int taken = 0;
    for (int round = 0; round < 2000; ++round) {
        now += milliseconds(10);
        dm::record_named_rate(rate, 10, now);
        while (dm::take_token(rate, now)) {
            ++taken;
        }
    }
    CHECK(taken <= 201);
    dm::record_unnamed_rate(rate, now + milliseconds(1));
    dm::record_named_rate(rate, 10, now + milliseconds(2));
    CHECK_FALSE(dm::take_token(rate, now + milliseconds(2)));
}

// Guards against a restarted host that floods its target until the target's first answer.
TEST_CASE("A host adopts the limit that another one has seen only until its target answers") {
    const dm::steady_time now{std::chrono::hours(1)};
    dm::target_rate rate;
    dm::adopt_rate(rate, 10, now);
    CHECK(rate.per_second == 10);
    dm::record_unnamed_rate(rate, now + milliseconds(1));
    dm::adopt_rate(rate, 10, now + milliseconds(2));
    CHECK_FALSE(rate.per_second);
}

TEST_CASE("Numbers that are no rate are ignored") {
    const dm::steady_time now{std::chrono::hours(1)};
    dm::target_rate rate;
    dm::record_named_rate(rate, -1, now);
    dm::record_named_rate(rate, std::numeric_limits<double>::quiet_NaN(), now);
    dm::record_named_rate(rate, std::numeric_limits<double>::infinity(), now);
    CHECK_FALSE(rate.per_second);
}

TEST_SUITE_END();
