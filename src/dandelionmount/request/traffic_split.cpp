#include "dandelionmount/request/traffic_split.h"

#include "dandelionmount/process/result.h"

namespace dandelionmount {

std::string_view choose_service(std::span<const weighted_service> parts, double draw) {
    DANDELIONMOUNT_INVARIANT(!parts.empty());
    double total = 0;
    for (const auto& part : parts) {
        total += part.weight;
    }
    double left = draw * total;
    for (const auto& part : parts) {
        left -= part.weight;
        if (left < 0) {
            return part.service;
        }
    }
    return parts.back().service;
}

} // namespace dandelionmount
