#ifndef DANDELIONMOUNT_PROCESS_CRASH_TABLE_H
#define DANDELIONMOUNT_PROCESS_CRASH_TABLE_H

#include "dandelionmount/process/clock.h"
#include "dandelionmount/wire/peer.pb.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

// Finds requests that crash the targets that run them, among all that were running when targets crashed. Each
// crash counts against every request that was running, and a run that ends with a response clears its
// request: a request that crashes all targets never gets one.

namespace dandelionmount {

/// What is known of one request.
struct crash_evidence {
    /// When targets crashed during a run of the request, by the crash's id.
    std::map<std::uint64_t, steady_time> crashes;
    /// End of the latest run that ended with a response. Earlier crashes do not count.
    std::optional<steady_time> responded_at;
};

/// Evidence by request fingerprint.
struct crash_table {
    std::map<std::string, crash_evidence, std::less<>> requests;
};

/// How a request may run.
struct crash_verdict {
    /// Crashes that count against the request.
    std::size_t crashes{0};
    /// Whether it has crashed so many targets that it must not run for now.
    bool quarantined{false};
    /// Whether it must not run except as a trial at one target, which shows whether it still crashes targets.
    bool trial_only{false};
};

/// Identifies what a request asks for, whoever sends it again: a hash of its client account, route, method,
/// path and body, as 32 hexadecimal digits.
[[nodiscard]] std::string request_fingerprint(const wire::forward_request& request);
/// Records the crash of a target during a run of the request.
void record_crash(crash_table& table, const std::string& fingerprint, std::uint64_t crash, steady_time at);
/// Records that a run of the request ended with a response; returns whether that cleared it.
bool record_response(crash_table& table, std::string_view fingerprint, steady_time now);
[[nodiscard]] crash_verdict assess(const crash_table& table, std::string_view fingerprint, steady_time now);
/// Adds what another host knows.
void merge(crash_table& table, const wire::crash_report& report, steady_time now);
/// The requests with the most crashes, at most `max_requests` of them.
[[nodiscard]] wire::crash_report make_report(const crash_table& table, std::size_t max_requests,
                                             steady_time now);
/// Writes what is known of one request.
void write_evidence(const std::string& fingerprint, const crash_evidence& evidence, steady_time now,
                    wire::crash_evidence& message);
/// Removes requests whose evidence is too old to count.
void remove_expired(crash_table& table, steady_time now);

} // namespace dandelionmount

#endif
