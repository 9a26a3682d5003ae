#include "dandelionmount/process/timeout_trial.h"
#include "dandelionmount/process/rejection_trial.h"
#include "dandelionmount/process/target_limiter.h"

#include <doctest/doctest.h>
#include <functional>
#include <random>
#include <vector>

namespace dm = dandelionmount;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr dm::steady_time start{std::chrono::hours(1)};
constexpr dm::duration step = milliseconds(1);
constexpr dm::duration deadline = milliseconds(600);

struct running_request {
    std::string route;
    dm::steady_time began;
    dm::duration work_left;
};

// A target that is kept full through its guard with long requests and short ones, by turns. `progress` says
// how much of its work each request gets done in a second while so many are under way.
struct full_target {
    full_target(std::uint32_t slots, std::function<double(double running)> progress_of)
        : progress(std::move(progress_of)) {
        dm::set_ceiling(limiter, slots);
    }

    void begin() {
        ++limiter.in_flight;
        const bool is_short = ++begun % 2 == 0;
        const std::string route = is_short ? "/short/" : "/long/";
        dm::record_run_start(speed, route, now);
        if (is_full(limiter.in_flight)) {
            reject(route, dm::duration{0});
            return;
        }
        running.push_back({route, now, is_short ? milliseconds(10) : milliseconds(100)});
    }

    void reject(const std::string& route, dm::duration took) {
        dm::record_run_end(speed, route, took, dm::run_result::failed, now);
        dm::apply_limit_decision(limiter, dm::decide_on_rejection(rejections, limiter.limit, now), took, now);
    }

    // Whether the request has ended, by its work or its deadline.
    bool advance(running_request& one, double share) {
        one.work_left -= std::chrono::duration_cast<dm::duration>(step * share);
        const auto took = now - one.began;
        if (took >= deadline) {
            dm::record_run_end(speed, one.route, took, dm::run_result::timed_out, now);
            dm::apply_limit_decision(limiter, dm::decide_on_timeout(late, limiter.limit, speed, now), took,
                                     now);
            return true;
        }
        if (one.work_left > dm::duration{0}) {
            return false;
        }
        if (rejects()) {
            reject(one.route, took);
            return true;
        }
        dm::record_run_end(speed, one.route, took, dm::run_result::answered, now);
        dm::record_answered(rejections);
        dm::record_end(limiter, dm::call_end::answered, took, now);
        return true;
    }

    // Mean limit over that time.
    double run(dm::duration for_time) {
        const auto until = now + for_time;
        double sum = 0;
        int samples = 0;
        while (now < until) {
            const auto free = static_cast<int>(limiter.limit) - static_cast<int>(limiter.in_flight);
            for (int place = 0; place < free; ++place) {
                begin();
            }
            now += step;
            const double share = progress(static_cast<double>(running.size()));
            std::erase_if(running, [&](running_request& one) { return advance(one, share); });
            sum += limiter.limit;
            ++samples;
        }
        return sum / samples;
    }

    std::function<double(double)> progress;
    /// Whether the target has no place for one more of so many, and whether it rejects any request.
    std::function<bool(double)> is_full = [](double) { return false; };
    std::function<bool()> rejects = [] { return false; };
    dm::target_limiter limiter;
    dm::target_speed speed;
    dm::timeout_trial late;
    dm::rejection_trial rejections;
    dm::steady_time now{start};
    std::vector<running_request> running;
    int begun{0};
};

} // namespace

TEST_SUITE_BEGIN("process");

TEST_CASE("A target that has turned slow by itself keeps its limit") {
    double slowness = 1;
    full_target target(40, [&](double) { return 1 / slowness; });
    CHECK(target.run(seconds(5)) > 39);
    slowness = 12;
    CHECK(target.run(seconds(30)) > 30);
    slowness = 1;
    target.run(seconds(2));
    CHECK(target.run(seconds(5)) > 35);
}

TEST_CASE("A target that is slow because of too many requests gets fewer") {
    // What comes beyond ten requests shares the processors with them; sixty at once just end in time.
    full_target target(200, [](double running) { return std::min(1.0, 10 / running); });
    target.run(seconds(10));
    CHECK(target.run(seconds(20)) < 120);
}

TEST_CASE("A target that rejects a part of everything keeps its limit") {
    full_target target(40, [](double) { return 1; });
    std::mt19937_64 random{1};
    target.rejects = [&] { return std::uniform_real_distribution<double>(0, 1)(random) < 0.45; };
    CHECK(target.run(seconds(30)) > 32);
}

TEST_CASE("A target that announced ten times the places that it has gets no more than about those") {
    full_target target(100, [](double) { return 1; });
    target.is_full = [](double running) { return running > 10; };
    target.run(seconds(20));
    CHECK(target.run(seconds(20)) < 20);
}

TEST_SUITE_END();
