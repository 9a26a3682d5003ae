#include "dandelionmount/process/version_comparison.h"

namespace dandelionmount {

namespace {

// Time in which a host reads a configuration that others have read from the store.
constexpr duration max_read_lag = std::chrono::milliseconds(500);
// A host that reaches no other one for this long trusts the store alone.
constexpr duration comparison_wait_limit = std::chrono::seconds(5);

// The copy that the store came back from, or that a process starts with, may lack a withdrawal that other
// hosts know of.
bool has_compared(const version_comparison& comparison, const host_contact& contact, steady_time now) {
    if (!contact.has_secret) {
        return false;
    }
    const bool compared = comparison.compared_at && *comparison.compared_at >= comparison.trust_began_at;
    if (!contact.knows_others || compared) {
        return true;
    }
    return !contact.is_connected && now - comparison.trust_began_at > comparison_wait_limit;
}

} // namespace

void record_version_elsewhere(version_comparison& comparison, std::uint64_t version, steady_time now) {
    comparison.compared_at = now;
    if (version > comparison.latest_elsewhere) {
        comparison.latest_elsewhere = version;
        comparison.outdated_since = now;
    }
}

bool is_up_to_date(const version_comparison& comparison, std::uint64_t own_version, steady_time now) {
    if (own_version >= comparison.latest_elsewhere) {
        return true;
    }
    const bool was_up_to_date = comparison.proved_at && *comparison.proved_at >= comparison.trust_began_at;
    return was_up_to_date && now - comparison.outdated_since <= max_read_lag;
}

bool record_proof(version_comparison& comparison, std::uint64_t own_version, const host_contact& contact,
                  steady_time now) {
    if (!is_up_to_date(comparison, own_version, now) || !has_compared(comparison, contact, now)) {
        return false;
    }
    comparison.proved_at = now;
    return true;
}

} // namespace dandelionmount
