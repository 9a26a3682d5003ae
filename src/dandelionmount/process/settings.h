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

/// Bounds on what one caller may use of a host.
struct caller_limits {
    std::uint32_t header_bytes{16 * 1024};
    std::uint32_t body_bytes{1024 * 1024};
    std::uint32_t connections{2000};
    /// How long a connection may be open without a request.
    std::chrono::milliseconds idle{30000};
    /// How long a request may take to arrive.
    std::chrono::milliseconds receive{10000};
};

/// Mechanisms that a benchmark can take away, to see what each is worth. All are on in service.
struct mechanism_switches {
    /// Concurrency limit and queue in front of the target.
    bool guard{true};
    /// Refusal at the entrance by the shares of demand that the workers can take.
    bool shares{true};
    /// One retry allowance over the whole tree of calls; without it each hop retries by itself.
    bool allowance{true};
    /// The question what became of a request whose connection was lost.
    bool settle{true};
};

/// What a process knows before it hears from anybody. Addresses are "IP:PORT".
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
    /// Peer addresses to ask first when the platform cannot be reached.
    std::vector<std::string> seeds;
    /// Host slots of each availability zone, used while the configuration names none.
    std::vector<zone_settings> zones;
    std::string log_level{"info"};
    /// How long a planned stop waits for requests that run.
    std::chrono::milliseconds stop_wait{30000};
    caller_limits limits;
    mechanism_switches mechanisms;
};

/// Settings, or the errors that keep them from being used.
struct settings_outcome {
    std::optional<settings> value;
    std::vector<file_error> errors;
};

/// Reads a TOML settings file's text.
[[nodiscard]] settings_outcome read_settings(const configuration_file& file);
/// Whether the text is an IP address, a colon and a port.
[[nodiscard]] bool is_address(std::string_view text);

} // namespace dandelionmount

#endif
