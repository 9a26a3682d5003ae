#include "dandelionmount/process/limit_trial.h"

#include "dandelionmount/process/target_guard.h"

#include <doctest/doctest.h>
#include <functional>
#include <queue>
#include <vector>

namespace dm = dandelionmount;
using std::chrono::milliseconds;

namespace {

constexpr dm::steady_time start{std::chrono::hours(1)};
constexpr dm::duration deadline = milliseconds(600);

struct run_end {
    bool operator<(const run_end& other) const { return at > other.at; }

    dm::steady_time at;
    dm::duration took;
    std::string route;
};

// A target that is kept full through its guard with requests of two routes, the second of which takes a tenth
// of the first; a run of the first takes what `run_time` says of the requests under way.
struct full_target {
    full_target(std::uint32_t slots, std::function<double(double running)> run_time_of)
        : run_time(std::move(run_time_of)) {
        dm::set_ceiling(guard, slots);
    }

    void begin() {
        ++guard.in_flight;
        const bool is_short = ++begun % 2 == 0;
        const std::string route = is_short ? "/short/" : "/long/";
        dm::note_run_start(speed, route, now);
        const double seconds = run_time(guard.in_flight);
        const auto took = dm::from_seconds(is_short ? seconds / 10 : seconds);
        ends.push({now + std::min<dm::duration>(took, deadline), took, route});
    }

    void end(const run_end& one) {
        const bool late = one.took >= deadline;
        dm::note_run_end(speed, one.route, std::min<dm::duration>(one.took, deadline),
                         late ? dm::run_result::overdue : dm::run_result::answered, now);
        if (!late) {
            dm::note_end(guard, dm::call_end::answered, one.took, now);
            return;
        }
        const auto decision = dm::decide_on_late(trial, guard.limit, speed, now);
        if (decision.what == dm::late_action::lower) {
            dm::note_end(guard, dm::call_end::overloaded, one.took, now);
            return;
        }
        dm::cancel_start(guard);
        if (decision.what == dm::late_action::restore) {
            dm::restore_limit(guard, decision.limit);
        }
    }

    // Mean limit over that time.
    double run(dm::duration for_time) {
        const auto until = now + for_time;
        double sum = 0;
        int samples = 0;
        while (now < until) {
            while (guard.in_flight < static_cast<std::uint32_t>(guard.limit)) {
                begin();
            }
            const run_end next = ends.top();
            ends.pop();
            now = std::max(now, next.at);
            end(next);
            sum += guard.limit;
            ++samples;
        }
        return sum / samples;
    }

    std::function<double(double)> run_time;
    dm::target_guard guard;
    dm::target_speed speed;
    dm::limit_trial trial;
    dm::steady_time now{start};
    int begun{0};
    std::priority_queue<run_end> ends;
};

} // namespace

TEST_SUITE_BEGIN("process");

TEST_CASE("A target that has turned slow by itself keeps its limit") {
    double slowness = 1;
    full_target target(40, [&](double) { return 0.1 * slowness; });
    CHECK(target.run(std::chrono::seconds(5)) > 39);
    slowness = 12;
    CHECK(target.run(std::chrono::seconds(30)) > 30);
    slowness = 1;
    target.run(std::chrono::seconds(2));
    CHECK(target.run(std::chrono::seconds(5)) > 35);
}

TEST_CASE("A target that is slow because of too many requests gets fewer") {
    // Ten requests at once take 0.1 s each; what comes beyond shares the same processor.
    full_target target(100, [](double running) { return 0.1 * std::max(1.0, running / 10); });
    target.run(std::chrono::seconds(10));
    CHECK(target.run(std::chrono::seconds(20)) < 62);
}

TEST_SUITE_END();
