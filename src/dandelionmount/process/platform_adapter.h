#ifndef DANDELIONMOUNT_PROCESS_PLATFORM_ADAPTER_H
#define DANDELIONMOUNT_PROCESS_PLATFORM_ADAPTER_H

#include "dandelionmount/connection/http_protocol.h"
#include "dandelionmount/process/local_target.h"
#include "dandelionmount/process/result.h"
#include "dandelionmount/process/settings.h"
#include "dandelionmount/version/configuration.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace dandelionmount {

/// A validated configuration from the platform. Its version only rises.
struct versioned_configuration {
    std::uint64_t version{0};
    configuration document;
    /// Limits on callers that the same document sets.
    caller_limits limits;
};

/// Names, paths and parsers that differ between platforms.
struct platform_adapter {
    http_protocol protocol;
    std::string configuration_topic;
    std::string configuration_key;
    /// Topic for the records of the fleet's hosts; see fleet_registry.
    std::string hosts_topic;
    std::string readiness_path;
    /// Parses the text of a configuration.
    std::function<result<versioned_configuration>(std::string_view)> read_configuration;
    /// Parses a request that a target sent to the announcement address.
    std::function<result<target_heartbeat>(std::string_view method, std::string_view path,
                                           std::string_view body)>
        read_target_heartbeat;
    /// The body of the response to such a request.
    std::string heartbeat_response;
};

} // namespace dandelionmount

#endif
