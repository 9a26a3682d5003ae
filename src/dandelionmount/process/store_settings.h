#ifndef DANDELIONMOUNT_PROCESS_STORE_SETTINGS_H
#define DANDELIONMOUNT_PROCESS_STORE_SETTINGS_H

#include "dandelionmount/process/settings.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionmount {

/// What a process knows before it hears from anybody, on a platform whose store keeps all that lasts.
/// Addresses are "IP:PORT".
struct store_settings {
    std::string host;
    std::string zone;
    /// Service of the target on this host.
    std::string service;
    std::string caller_address;
    std::string readiness_address;
    std::string announcement_address;
    std::string target_address;
    std::string peer_address;
    std::string operator_address;
    std::string store_address;
    /// How often a target announces itself, about.
    std::chrono::milliseconds announcement_interval{1500};
    /// How long a planned stop may take.
    std::chrono::milliseconds stop_wait{6000};
    /// Time after which a withdrawn key must not start a request any more, on any host.
    std::chrono::milliseconds key_withdrawal{5000};
    /// Attempts beyond the first that a service may get over the fleet, as a share of its requests.
    double retry_share{0.2};
    /// The same as a number in ten seconds, besides the share.
    std::uint32_t retry_slack{50};
    std::string log_level{"info"};
};

/// Settings, or the errors that keep them from being used.
struct store_settings_outcome {
    std::optional<store_settings> value;
    std::vector<file_error> errors;
};

/// Whether the text of a settings file names a store.
[[nodiscard]] bool uses_record_store(const configuration_file& file);
/// Reads a TOML settings file's text.
[[nodiscard]] store_settings_outcome read_store_settings(const configuration_file& file);

} // namespace dandelionmount

#endif
