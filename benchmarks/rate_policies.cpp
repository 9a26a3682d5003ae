// Compares policies for limiting an account's rate over a fleet on the same traces, in simulated time.
//
// Prints for each trace and policy the fraction of requests that were refused although an ideal limiter
// admits them, the largest number of admissions by which any time window exceeded rate and burst, and the
// messages per request. With --check the program fails when the `shares` policy misses its aims: nothing
// above rate and burst, and at most 0.1 % of the requests wrongly refused in traces without disturbances, 1 %
// in the others.

#include "tests/support/token_fleet.h"

#include <cstdio>
#include <cstring>
#include <string>
#include <vector>

namespace {

using tests::rate_policy;
using tests::token_run;

struct trace {
    std::string name;
    token_run run;
    double max_wrongly_refused;
};

std::vector<trace> make_traces() {
    constexpr double steady_aim = 0.001;
    constexpr double disturbed_aim = 0.01;
    token_run even;
    token_run skewed = even;
    skewed.skew = 0.9;
    token_run moving = skewed;
    moving.hotspot_move_interval = 3;
    token_run owner_dead = skewed;
    owner_dead.dead_from = 10;
    owner_dead.dead_until = 15;
    token_run partitioned = even;
    partitioned.demand = 0.5;
    partitioned.partition_from = 10;
    partitioned.partition_until = 20;
    token_run lossy = skewed;
    lossy.loss = 0.05;
    lossy.duplicates = 0.05;
    token_run distant = skewed;
    distant.max_delay_ms = 8;
    token_run small = skewed;
    small.rate = 10;
    small.burst = 20;
    return {{"even", even, steady_aim},
            {"skewed to one host", skewed, steady_aim},
            {"skew moves every 3 s", moving, disturbed_aim},
            {"a share owner dies for 5 s", owner_dead, disturbed_aim},
            {"a zone is cut off for 10 s", partitioned, disturbed_aim},
            {"5 % of messages lost", lossy, disturbed_aim},
            {"zones 8 ms apart", distant, steady_aim},
            {"small account, skewed", small, steady_aim}};
}

// Result of a trace with one policy, over the runs of all seeds.
struct trace_result {
    double wrongly_refused{0};
    double excess{-1e9};
    double messages_per_request{0};
};

trace_result measure(token_run run, rate_policy policy) {
    constexpr std::uint64_t runs = 5;
    std::uint64_t requests = 0;
    std::uint64_t refused = 0;
    std::uint64_t messages = 0;
    trace_result total;
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        run.seed = seed;
        run.policy = policy;
        const auto outcome = tests::token_fleet(run).run();
        requests += outcome.requests;
        refused += outcome.wrongly_refused;
        messages += outcome.messages;
        total.excess = std::max(total.excess, outcome.excess);
    }
    total.wrongly_refused = static_cast<double>(refused) / static_cast<double>(requests);
    total.messages_per_request = static_cast<double>(messages) / static_cast<double>(requests);
    return total;
}

} // namespace

int main(int argc, char** argv) {
    const bool check = argc > 1 && std::strcmp(argv[1], "--check") == 0;
    const std::vector<std::pair<std::string, rate_policy>> policies = {
        {"shares", rate_policy::shares},
        {"static split", rate_policy::static_split},
        {"central owner", rate_policy::central_owner}};
    bool aims_met = true;
    std::printf("%-28s %-14s %16s %10s %14s\n", "trace", "policy", "wrongly refused", "excess",
                "messages each");
    for (const auto& trace_case : make_traces()) {
        for (const auto& [name, policy] : policies) {
            const trace_result result = measure(trace_case.run, policy);
            std::printf("%-28s %-14s %15.3f%% %10.2f %14.2f\n", trace_case.name.c_str(), name.c_str(),
                        result.wrongly_refused * 100, result.excess, result.messages_per_request);
            const bool missed =
                result.excess > 1e-3 || result.wrongly_refused > trace_case.max_wrongly_refused;
            if (policy == rate_policy::shares && missed) {
                std::printf("  misses its aim of %.1f %%\n", trace_case.max_wrongly_refused * 100);
                aims_met = false;
            }
        }
    }
    return check && !aims_met ? 1 : 0;
}
