#include "dandelionmount/request/demand_ratio_table.h"

#include <algorithm>
#include <cmath>

namespace dandelionmount {

namespace {

// Weight of the newest answer: answers come from several workers, and few requests of a class reach each.
constexpr double newest_weight = 0.3;
// The same for one that says that there is room for all: it comes from a worker with spare capacity, not by
// chance.
constexpr double idle_weight = 0.6;
// A ratio that is not heard any more halves in this time.
constexpr duration halving_time = std::chrono::milliseconds(500);
// How long a ratio counts as heard: an answer from a slow service takes as long.
constexpr duration fresh_time = std::chrono::milliseconds(500);
// However overloaded the services below are, this share passes, so that the end of it is heard.
constexpr double probe_share = 0.02;
// Ratios below this are not worth their memory. The first answer of an overload has to be above it.
constexpr double least_ratio = 0.2;
constexpr duration least_return_time = std::chrono::seconds(1);
constexpr duration most_return_time = std::chrono::seconds(10);

double ratio_now(const smoothed_ratio& known, steady_time now) {
    const duration silent = std::max<duration>(duration{0}, now - known.heard - fresh_time);
    return known.ratio * std::exp2(-to_seconds(silent) / to_seconds(halving_time));
}

} // namespace

void record_ratio(demand_ratio_table& table, const request_class& name, double ratio, steady_time now) {
    const auto found = table.find(name);
    const double before = found == table.end() ? 0 : ratio_now(found->second, now);
    const double weight = ratio <= 0 ? idle_weight : newest_weight;
    const double after = before + weight * (std::min(ratio, 1 / probe_share) - before);
    if (after > least_ratio) {
        table[name] = {after, now};
    } else if (table.erase(name) > 0) {
        // Classes that nobody sends any more have no answers that could remove them.
        std::erase_if(table, [now](const auto& entry) { return ratio_now(entry.second, now) < least_ratio; });
    }
}

double current_ratio(const demand_ratio_table& table, const request_class& name, steady_time now) {
    const auto found = table.find(name);
    return found == table.end() ? 0 : ratio_now(found->second, now);
}

double passing_share(const demand_ratio_table& table, const request_class& name, steady_time now) {
    const auto found = table.find(name);
    if (found == table.end()) {
        return 1;
    }
    return std::clamp(1 / ratio_now(found->second, now), probe_share, 1.0);
}

duration shed_return_time(double share, double draw) {
    const double most =
        std::min(to_seconds(least_return_time) / std::max(share, probe_share), to_seconds(most_return_time));
    return least_return_time + from_seconds(draw * (most - to_seconds(least_return_time)));
}

} // namespace dandelionmount
