#ifndef DANDELIONMOUNT_REQUEST_TRAFFIC_SPLIT_H
#define DANDELIONMOUNT_REQUEST_TRAFFIC_SPLIT_H

#include "dandelionmount/version/configuration.h"

#include <span>
#include <string_view>

namespace dandelionmount {

/// The service to which a request goes whose route is divided; `draw` is uniform in [0, 1). The parts are not
/// empty. Each host draws for itself, so that the shares are kept without any message.
[[nodiscard]] std::string_view choose_service(std::span<const weighted_service> parts, double draw);

} // namespace dandelionmount

#endif
