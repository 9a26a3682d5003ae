#include "dandelionmount/request/traffic_split.h"

#include "dandelionmount/process/result.h"

namespace dandelionmount {

std::string_view choose_service(std::span<const weighted_service> services, double draw) {
    DANDELIONMOUNT_INVARIANT(!services.empty());
    double total = 0;
    for (const auto& entry : services) {
        total += entry.weight;
    }
    double left = draw * total;
    for (const auto& entry : services) {
        left -= entry.weight;
        if (left < 0) {
            return entry.service;
        }
    }
    return services.back().service;
}

} // namespace dandelionmount
