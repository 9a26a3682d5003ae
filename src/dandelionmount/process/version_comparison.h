#ifndef DANDELIONMOUNT_PROCESS_VERSION_COMPARISON_H
#define DANDELIONMOUNT_PROCESS_VERSION_COMPARISON_H

#include "dandelionmount/process/clock.h"

#include <cstdint>
#include <optional>

// Compares a host's version of the configuration with those of other hosts. The store may have lost a version
// that hosts have acted on, so that reading it to its end does not prove that the configuration is fresh.

namespace dandelionmount {

/// What a host knows of the versions that others have. All times count suspensions.
struct version_comparison {
    /// When this process started, or learnt that the store came back from an older copy.
    steady_time trust_began_at;
    /// When another host last reported its version.
    std::optional<steady_time> compared_at;
    /// Latest version that another host has reported, and since when it is known.
    std::uint64_t latest_elsewhere{0};
    steady_time outdated_since;
    /// When the configuration was last proved to be fresh.
    std::optional<steady_time> proved_at;
};

/// Which other hosts this host can ask.
struct host_contact {
    /// Whether this host knows the fleet's secret, without which no other host talks to it.
    bool has_secret{false};
    bool knows_others{false};
    bool is_connected{false};
};

/// Records the version that another host has reported.
void record_version_elsewhere(version_comparison& comparison, std::uint64_t version, steady_time now);
/// Whether no other host is known to have a later version. A host that was up to date before has some time to
/// read a later version from the store.
[[nodiscard]] bool is_up_to_date(const version_comparison& comparison, std::uint64_t own_version,
                                 steady_time now);
/// Whether reading the store to its end proves that the configuration is fresh; records that it does.
[[nodiscard]] bool record_proof(version_comparison& comparison, std::uint64_t own_version,
                                const host_contact& contact, steady_time now);

} // namespace dandelionmount

#endif
