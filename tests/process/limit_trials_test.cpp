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

// Simulates a target that its limiter keeps full with long and short requests in turn. `progress` returns the
// seconds of work that each request completes per second, by the number in progress.
struct full_target {
    full_target(std::uint32_t slots, std::function<double(double running)> progress_of)
        : progress(std::move(progress_of)) {
        dm::set_ceiling(limiter, slots);
    }

    void begin() {
        ++limiter.in_flight;
        const bool is_short = ++started_count % 2 == 0;
        const std::string route = is_short ? "/short/" : "/long/";
        dm::record_run_start(speed, route, now);
        if (is_full(limiter.in_flight)) {
            reject(route, dm::duration{0});
            return;
        }
        running.push_back({route, now, is_short ? milliseconds(10) : milliseconds(100)});
    }

    void reject(const std::string& route, dm::duration elapsed) {
        dm::record_run_end(speed, route, elapsed, dm::run_result::failed, now);
        dm::record_end_with_decision(limiter, dm::decide_on_rejection(rejections, limiter.limit, now),
                                     elapsed, now);
    }

    // Returns whether the request has ended, by completion or timeout.
    bool advance(running_request& request, double share) {
        request.work_left -= std::chrono::duration_cast<dm::duration>(step * share);
        const auto elapsed = now - request.began;
        if (elapsed >= deadline) {
            dm::record_run_end(speed, request.route, elapsed, dm::run_result::timed_out, now);
            dm::record_end_with_decision(limiter, dm::decide_on_timeout(timeouts, limiter.limit, speed, now),
                                         elapsed, now);
            return true;
        }
        if (request.work_left > dm::duration{0}) {
            return false;
        }
        if (rejects()) {
            reject(request.route, elapsed);
            return true;
        }
        dm::record_run_end(speed, request.route, elapsed, dm::run_result::answered, now);
        dm::record_answered(rejections);
        dm::record_end(limiter, dm::call_end::answered, elapsed, now);
        return true;
    }

    // Simulates that time and returns the mean limit.
    double run(dm::duration for_time) {
        const auto until = now + for_time;
        double sum = 0;
        int samples = 0;
        while (now < until) {
            const auto free = static_cast<int>(limiter.limit) - static_cast<int>(limiter.in_flight);
            for (int slot = 0; slot < free; ++slot) {
                begin();
            }
            now += step;
            const double share = progress(static_cast<double>(running.size()));
            std::erase_if(running, [&](running_request& request) { return advance(request, share); });
            sum += limiter.limit;
            ++samples;
        }
        return sum / samples;
    }

    std::function<double(double)> progress;
    /// Whether the target rejects a new request with that many in progress, including the new one.
    std::function<bool(double)> is_full = [](double) { return false; };
    /// Whether the target rejects the next request regardless of load.
    std::function<bool()> rejects = [] { return false; };
    dm::target_limiter limiter;
    dm::target_speed speed;
    dm::timeout_trial timeouts;
    dm::rejection_trial rejections;
    dm::steady_time now{start};
    std::vector<running_request> running;
    int started_count{0};
};

} // namespace

TEST_SUITE_BEGIN("process");

TEST_CASE("A target that turns slow regardless of load keeps its limit") {
    double slowness = 1;
    full_target target(40, [&](double) { return 1 / slowness; });
    CHECK(target.run(seconds(5)) > 39);
    slowness = 12;
    CHECK(target.run(seconds(30)) > 30);
    slowness = 1;
    target.run(seconds(2));
    CHECK(target.run(seconds(5)) > 35);
}

TEST_CASE("A target that is slow because of too many requests gets a lower limit") {
    // Requests beyond ten share the processors; 60 concurrent ones just meet the deadline.
    full_target target(200, [](double running) { return std::min(1.0, 10 / running); });
    target.run(seconds(10));
    CHECK(target.run(seconds(20)) < 120);
}

TEST_CASE("A target that rejects a share of all requests regardless of load keeps its limit") {
    full_target target(40, [](double) { return 1; });
    std::mt19937_64 random{1};
    target.rejects = [&] { return std::uniform_real_distribution<double>(0, 1)(random) < 0.45; };
    CHECK(target.run(seconds(30)) > 32);
}

TEST_CASE("The limit of a target that announces ten times its slots falls to about its slots") {
    full_target target(100, [](double) { return 1; });
    target.is_full = [](double running) { return running > 10; };
    target.run(seconds(20));
    CHECK(target.run(seconds(20)) < 20);
}

TEST_SUITE_END();
