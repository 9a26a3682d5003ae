#ifndef DANDELIONMOUNT_REQUEST_TRAFFIC_SPLIT_H
#define DANDELIONMOUNT_REQUEST_TRAFFIC_SPLIT_H

#include "dandelionmount/version/configuration.h"

#include <span>
#include <string_view>

namespace dandelionmount {

/// Chooses the service for a request of a route with a traffic split; `draw` is uniform in [0, 1). The list
/// must not be empty. As every host draws independently, the shares hold without coordination.
[[nodiscard]] std::string_view choose_service(std::span<const weighted_service> services, double draw);

} // namespace dandelionmount

#endif
