#include "dandelionmount/process/target_comparison.h"

#include <algorithm>

namespace dandelionmount {

namespace {

// Hosts tell of their targets four times a second.
constexpr duration state_life = std::chrono::seconds(1);
// Below these a target does not stand out: targets differ a little from each other by nature.
constexpr double notable_load = 0.7;
constexpr double notable_slowness = 2;
constexpr double notable_failing = 0.1;
// Notes that fit into one answer; the worst come first.
constexpr std::size_t most_notes = 64;
// Added to run times before they are compared, in seconds: a few milliseconds more are no slowness.
constexpr double negligible_time = 0.01;
// A request that fails costs its caller about this many times what one takes: it is made again, or lost.
constexpr double failure_cost = 10;

// What a quarter of the values do not exceed: the better targets, also where many of them are in trouble.
double lower_quartile(std::vector<double> values) {
    const auto place = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 4);
    std::nth_element(values.begin(), place, values.end());
    return *place;
}

// The measures of one service's targets.
struct service_measures {
    std::map<std::string, std::vector<double>> run_times;
    std::vector<double> failing;
};

// Over the routes at which others show what is usual.
double slowness_of(const target_state& state, const std::map<std::string, double>& usual) {
    double sum = 0;
    int compared = 0;
    for (const auto& [route, times] : state.routes) {
        const auto found = usual.find(route);
        if (found != usual.end()) {
            const double seconds = std::max(times.run_time.value_or(0), times.running_for);
            const double least = times.run_time ? 0 : 1;
            sum += std::max(least, (seconds + negligible_time) / (found->second + negligible_time));
            ++compared;
        }
    }
    return compared == 0 ? 1 : sum / compared;
}

bool stands_out(const target_note& note) {
    return note.load >= notable_load || note.slowness >= notable_slowness || note.failing >= notable_failing;
}

} // namespace

double cost_factor(const target_note& note) {
    return std::max(1.0, note.slowness) * (1 + failure_cost * note.failing);
}

target_notes compare_targets(const heard_targets& targets, steady_time now) {
    std::map<std::string, service_measures> services;
    for (const auto& [host, heard] : targets) {
        if (now - heard.heard < state_life) {
            auto& measures = services[heard.state.service];
            for (const auto& [route, times] : heard.state.routes) {
                if (times.run_time) {
                    measures.run_times[route].push_back(*times.run_time);
                }
            }
            measures.failing.push_back(heard.state.failing);
        }
    }
    std::map<std::string, std::map<std::string, double>> usual_times;
    std::map<std::string, double> usual_failing;
    for (auto& [service, measures] : services) {
        for (auto& [route, values] : measures.run_times) {
            usual_times[service][route] = lower_quartile(std::move(values));
        }
        usual_failing[service] = lower_quartile(std::move(measures.failing));
    }
    std::vector<std::pair<std::string, target_note>> found;
    for (const auto& [host, heard] : targets) {
        if (now - heard.heard >= state_life) {
            continue;
        }
        const auto& state = heard.state;
        target_note note;
        note.load = state.load;
        note.slowness = slowness_of(state, usual_times[state.service]);
        note.failing = std::max(0.0, state.failing - usual_failing[state.service]);
        if (stands_out(note)) {
            // What does not stand out of itself is chance.
            note.slowness = note.slowness >= notable_slowness ? note.slowness : 1;
            note.failing = note.failing >= notable_failing ? note.failing : 0;
            found.emplace_back(host, note);
        }
    }
    std::stable_sort(found.begin(), found.end(), [](const auto& left, const auto& right) {
        return cost_factor(left.second) * left.second.load > cost_factor(right.second) * right.second.load;
    });
    found.resize(std::min(found.size(), most_notes));
    return {found.begin(), found.end()};
}

} // namespace dandelionmount
