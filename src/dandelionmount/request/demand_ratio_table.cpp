#include "dandelionmount/request/demand_ratio_table.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace dandelionmount {

namespace {

// EWMA weight of an answer; low, as answers come from several workers, and few requests of a class reach
// each.
constexpr double ewma_weight = 0.3;
// EWMA weight of an answer with ratio 0; higher, as such an answer comes from a worker with spare capacity,
// not by chance.
constexpr double ewma_weight_of_spare_capacity = 0.6;
// Half-life of a ratio while no answer arrives.
constexpr duration half_life = std::chrono::milliseconds(500);
// Time before a ratio starts to decay, as a slow service takes as long to answer.
constexpr duration freshness_window = std::chrono::milliseconds(500);
// Share admitted in any overload, so that its end is detected.
constexpr double probe_share = 0.02;
// Classes with a smaller ratio are dropped to save memory. Must be below `ewma_weight`, so that the first
// answer with a ratio of 1 or more is recorded.
constexpr double min_ratio = 0.2;
constexpr duration min_retry_after = std::chrono::seconds(1);
constexpr duration max_retry_after = std::chrono::seconds(10);

double decayed_ratio(const smoothed_ratio& smoothed, steady_time now) {
    const duration decay_time =
        std::max<duration>(duration{0}, now - smoothed.received_at - freshness_window);
    return smoothed.ratio * std::exp2(-to_seconds(decay_time) / to_seconds(half_life));
}

demand_ratio_table::const_iterator first_of_route(const demand_ratio_table& table, std::string_view route) {
    return table.lower_bound({std::string(route), 0, {}, {}});
}

} // namespace

void record_ratio(demand_ratio_table& table, const request_class& key, double ratio, steady_time now) {
    const auto found = table.find(key);
    const double before = found == table.end() ? 0 : decayed_ratio(found->second, now);
    const double weight = ratio <= 0 ? ewma_weight_of_spare_capacity : ewma_weight;
    const double after = before + weight * (std::min(ratio, 1 / probe_share) - before);
    if (after > min_ratio) {
        table[key] = {after, now};
    } else if (table.erase(key) > 0) {
        // Also removes decayed classes: those that are no longer sent get no answers that would remove them.
        std::erase_if(table,
                      [now](const auto& entry) { return decayed_ratio(entry.second, now) < min_ratio; });
    }
}

void record_highest_ratio(demand_ratio_table& table, std::string_view route, const service_demand& highest,
                          steady_time now) {
    std::vector<request_class> reported{{std::string(route), 0, {}, highest.service}};
    for (auto entry = first_of_route(table, route); entry != table.end() && entry->first.route == route;
         ++entry) {
        if (entry->first.bottleneck != highest.service && decayed_ratio(entry->second, now) > highest.ratio) {
            reported.push_back(entry->first);
        }
    }
    for (const auto& key : reported) {
        record_ratio(table, key, highest.ratio, now);
    }
}

service_demand highest_ratio(const demand_ratio_table& table, std::string_view route, steady_time now) {
    service_demand highest;
    for (auto entry = first_of_route(table, route); entry != table.end() && entry->first.route == route;
         ++entry) {
        const double ratio = decayed_ratio(entry->second, now);
        if (ratio > highest.ratio) {
            highest = {entry->first.bottleneck, ratio};
        }
    }
    return highest;
}

double current_ratio(const demand_ratio_table& table, const request_class& key, steady_time now) {
    const auto found = table.find(key);
    return found == table.end() ? 0 : decayed_ratio(found->second, now);
}

double admitted_share(const demand_ratio_table& table, const request_class& key, steady_time now) {
    const auto found = table.find(key);
    if (found == table.end()) {
        return 1;
    }
    return std::clamp(1 / decayed_ratio(found->second, now), probe_share, 1.0);
}

duration shed_retry_after(double share, double draw) {
    const double max_seconds =
        std::min(to_seconds(min_retry_after) / std::max(share, probe_share), to_seconds(max_retry_after));
    return min_retry_after + from_seconds(draw * (max_seconds - to_seconds(min_retry_after)));
}

} // namespace dandelionmount
