#include "dandelionmount/process/target_comparison.h"

#include <algorithm>
#include <span>
#include <string_view>

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

using heard_entry = heard_targets::value_type;

// What a quarter of the values do not exceed: the better targets, also where many of them are in trouble.
double lower_quartile(std::vector<double> values) {
    const auto place = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 4);
    std::nth_element(values.begin(), place, values.end());
    return *place;
}

// What is usual at one service's targets.
struct usual_measures {
    std::map<std::string, double> run_times;
    double failing{0};
};

usual_measures find_usual(std::span<const heard_entry* const> targets) {
    std::map<std::string, std::vector<double>> run_times;
    std::vector<double> failing;
    for (const auto* target : targets) {
        const auto& state = target->second.state;
        for (const auto& [route, times] : state.routes) {
            if (times.run_time) {
                run_times[route].push_back(*times.run_time);
            }
        }
        failing.push_back(state.failing);
    }
    usual_measures usual;
    for (auto& [route, values] : run_times) {
        usual.run_times[route] = lower_quartile(std::move(values));
    }
    usual.failing = lower_quartile(std::move(failing));
    return usual;
}

// Over the routes at which others show what is usual.
double slowness_of(const target_state& state, const std::map<std::string, double>& usual) {
    double sum = 0;
    int compared = 0;
    for (const auto& [route, times] : state.routes) {
        const auto found = usual.find(route);
        if (found != usual.end()) {
            const double least = times.run_time ? 0 : 1;
            sum += std::max(least, (times.longest() + negligible_time) / (found->second + negligible_time));
            ++compared;
        }
    }
    return compared == 0 ? 1 : sum / compared;
}

// What does not stand out of itself is chance, and left out.
target_health note_on(const target_state& state, const usual_measures& usual) {
    const double slowness = slowness_of(state, usual.run_times);
    const double failing = state.failing - usual.failing;
    return {state.load, slowness >= notable_slowness ? slowness : 1,
            failing >= notable_failing ? failing : 0};
}

bool stands_out(const target_health& note) {
    return note.load >= notable_load || cost_factor(note) > 1;
}

} // namespace

double cost_factor(const target_health& note) {
    return std::max(1.0, note.slowness) * (1 + failure_cost * note.failing);
}

target_outliers compare_targets(const heard_targets& targets, steady_time now) {
    std::map<std::string_view, std::vector<const heard_entry*>> services;
    for (const auto& target : targets) {
        if (now - target.second.heard < state_life) {
            services[target.second.state.service].push_back(&target);
        }
    }
    std::vector<std::pair<std::string, target_health>> found;
    for (const auto& [service, members] : services) {
        const usual_measures usual = find_usual(members);
        for (const auto* target : members) {
            const auto note = note_on(target->second.state, usual);
            if (stands_out(note)) {
                found.emplace_back(target->first, note);
            }
        }
    }
    std::sort(found.begin(), found.end(), [](const auto& left, const auto& right) {
        const double left_cost = cost_factor(left.second) * left.second.load;
        const double right_cost = cost_factor(right.second) * right.second.load;
        return left_cost != right_cost ? left_cost > right_cost : left.first < right.first;
    });
    found.resize(std::min(found.size(), most_notes));
    return {found.begin(), found.end()};
}

} // namespace dandelionmount
