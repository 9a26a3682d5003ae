#ifndef DANDELIONMOUNT_VERSION_CONFIGURATION_H
#define DANDELIONMOUNT_VERSION_CONFIGURATION_H

#include "dandelionmount/version/table_reader.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionmount {

/// A client account, whose limits apply to all hosts together.
struct account_settings {
    std::string name;
    /// Requests per second over the whole fleet.
    double rate{0};
    /// Burst size in requests over the whole fleet.
    double burst{0};
    /// SHA-256 of each key, as hexadecimal.
    std::vector<std::string> keys;
    /// In an isolated availability zone, served only for `strict_isolated_serving`.
    bool strict{false};
    /// Added to the route's priority. A multiple of the number of priorities that routes have, so that the
    /// account's priority takes precedence.
    std::uint32_t priority{0};
};

/// A group of targets that answer the same requests.
struct service_settings {
    std::string name;
    /// Retries of one request over its whole call tree when it enters at this service.
    std::uint32_t retries{2};
    /// Retries allowed as a share of first attempts at this service.
    double retry_budget{0.1};
};

/// A service that gets a share of a route's requests.
struct weighted_service {
    std::string service;
    double weight{1};

    bool operator==(const weighted_service&) const = default;
};

/// Maps paths to a service.
struct route_settings {
    /// Starts with the value of the Host header where requests are routed by it.
    std::string prefix;
    std::string service;
    /// Services that share the route's requests by weight; empty means all go to `service`.
    std::vector<weighted_service> traffic_split;
    /// Maximum number of workers to try for one request; 0 leaves it to the retries of the service.
    std::uint32_t max_attempts{0};
    bool idempotent{false};
    /// Requests of lower priority are shed first. From 0 to 9 in TOML files; platforms may set higher ones.
    std::uint32_t priority{4};
    std::chrono::milliseconds timeout{1000};
    std::chrono::milliseconds timeout_limit{10000};
    /// Time within which a response is worth most to its caller; at most the timeout.
    std::chrono::milliseconds latency_objective{1000};
    /// Requests need no key.
    bool open{false};
    /// Client accounts that may use the route; empty means all.
    std::vector<std::string> accounts;
};

/// An availability zone and the number of host slots in it.
struct zone_settings {
    std::string name;
    std::uint32_t hosts{0};

    bool operator==(const zone_settings&) const = default;
};

/// Durations that apply to the whole fleet.
struct fleet_settings {
    /// How long hosts in an isolated availability zone continue to serve.
    std::chrono::seconds isolated_serving{3600};
    /// The same for client accounts marked strict.
    std::chrono::seconds strict_isolated_serving{5};
    /// How long the outcome of an idempotency key is kept.
    std::chrono::seconds idempotency_window{300};
};

/// A complete, valid configuration. Accounts, services and routes are sorted by name or prefix.
struct configuration {
    fleet_settings fleet;
    std::vector<zone_settings> zones;
    std::vector<account_settings> accounts;
    std::vector<service_settings> services;
    std::vector<route_settings> routes;
    /// Bytes of the longest route prefix.
    std::size_t longest_prefix_bytes{0};
};

/// Name and text of a file.
struct configuration_file {
    std::string name;
    std::string text;
};

/// A configuration, or the errors that make it invalid.
struct configuration_outcome {
    std::optional<configuration> value;
    std::vector<file_error> errors;
};

/// Reads a base file and the optional overlay of a site, whose entries override those of the same name.
[[nodiscard]] configuration_outcome read_configuration(const configuration_file& base,
                                                       const std::optional<configuration_file>& overlay);
/// TOML text from which read_configuration restores the same configuration, if that came from TOML files.
/// What only platforms set is left out (the priorities of accounts, and the traffic splits and maximum
/// attempts of routes) or rejected by read_configuration (such as route priorities above 9, prefixes that
/// start with a host, and accounts without a rate).
[[nodiscard]] std::string render_configuration(const configuration& config);

[[nodiscard]] const account_settings* find_account(const configuration& config, std::string_view name);
[[nodiscard]] const service_settings* find_service(const configuration& config, std::string_view name);
/// The route with the longest prefix that matches whole segments of the path.
[[nodiscard]] const route_settings* find_route(const configuration& config, std::string_view path);

/// Public identifier of a key for display and logs: the first 16 digits of its SHA-256.
[[nodiscard]] std::string key_id_of(std::string_view key_hash);

} // namespace dandelionmount

#endif
