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

/// Settings that a process reads at its start, on a platform whose store keeps the configuration and the list
/// of hosts. Addresses are "IP:PORT".
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
    /// Approximate interval at which a target announces itself.
    std::chrono::milliseconds announcement_interval{1500};
    /// Upper bound on the time of a planned stop.
    std::chrono::milliseconds stop_wait{6000};
    /// Time after which a withdrawn key must not start any request, on any host.
    std::chrono::milliseconds key_withdrawal{5000};
    /// Retries that a service may receive over the whole fleet, as a share of its requests.
    double retry_share{0.2};
    /// Retries allowed in addition to that share.
    std::uint32_t retry_slack{50};
    /// Window of time within which requests and retries are counted.
    std::chrono::milliseconds retry_window{10000};
    std::string log_level{"info"};
};

/// Settings, or the errors found in the file.
struct store_settings_outcome {
    std::optional<store_settings> value;
    std::vector<file_error> errors;
};

/// Whether a settings file configures a record store.
[[nodiscard]] bool uses_record_store(const configuration_file& file);
/// Parses the text of a TOML settings file.
[[nodiscard]] store_settings_outcome read_store_settings(const configuration_file& file);

} // namespace dandelionmount

#endif
