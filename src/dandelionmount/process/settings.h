#ifndef DANDELIONMOUNT_PROCESS_SETTINGS_H
#define DANDELIONMOUNT_PROCESS_SETTINGS_H

#include "dandelionmount/version/configuration.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionmount {

/// Limits on callers of a host.
struct caller_limits {
    std::uint32_t header_bytes{16 * 1024};
    std::uint32_t body_bytes{1024 * 1024};
    std::uint32_t connections{2000};
    /// For a connection without a request.
    std::chrono::milliseconds idle_timeout{30000};
    /// For receiving a request.
    std::chrono::milliseconds receive_timeout{10000};
};

/// Mechanisms that a benchmark can switch off to measure their effect. All are on in production.
struct mechanism_switches {
    /// Concurrency limit and queue in front of the target.
    bool guard{true};
    /// Load shedding at the ingress node by the shares of demand that the targets can serve.
    bool shares{true};
    /// One retry budget for the whole call tree; without it each hop retries on its own.
    bool allowance{true};
    /// Settling the outcome of a request whose connection was lost.
    bool settle{true};
};

/// Settings that a process reads at its start. Addresses are "IP:PORT".
struct settings {
    std::string host;
    std::string zone;
    std::uint32_t slot{0};
    std::string caller_address;
    std::string peer_address;
    std::string target_address;
    std::string operator_address;
    std::string platform_address;
    std::string secret_file;
    /// Peer addresses to probe unless their hosts are known to be alive, for joining the fleet without the
    /// platform.
    std::vector<std::string> seeds;
    /// Host slots of each availability zone, used while the configuration names no zones.
    std::vector<zone_settings> zones;
    std::string log_level{"info"};
    /// How long a planned stop waits for running requests.
    std::chrono::milliseconds stop_wait{30000};
    caller_limits limits;
    mechanism_switches mechanisms;
};

/// Settings, or the errors found in the file.
struct settings_outcome {
    std::optional<settings> value;
    std::vector<file_error> errors;
};

/// Parses the text of a TOML settings file.
[[nodiscard]] settings_outcome read_settings(const configuration_file& file);
/// Whether the text is an IP address, a colon and a port.
[[nodiscard]] bool is_address(std::string_view text);

} // namespace dandelionmount

#endif
