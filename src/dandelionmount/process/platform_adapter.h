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

/// A configuration as the platform keeps it: whole, checked, and with a version that only rises.
struct versioned_configuration {
    std::uint64_t version{0};
    configuration document;
    /// Bounds on callers that come with it.
    caller_limits limits;
};

/// What differs from platform to platform: names, paths and texts. Decoded here into the project's own types.
struct platform_adapter {
    http_protocol protocol;
    std::string configuration_topic;
    std::string configuration_key;
    /// Topic for the records of this system's own hosts.
    std::string hosts_topic;
    std::string readiness_path;
    /// Reads the text of a configuration.
    std::function<result<versioned_configuration>(std::string_view)> read_configuration;
    /// Reads a request that a target sent to the announcement address.
    std::function<result<target_heartbeat>(std::string_view method, std::string_view path,
                                           std::string_view body)>
        read_target_report;
    /// The body of the answer to such a request.
    std::string report_answer;
};

} // namespace dandelionmount

#endif
