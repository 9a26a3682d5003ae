#ifndef DANDELIONMOUNT_PROCESS_CRASH_MONITOR_H
#define DANDELIONMOUNT_PROCESS_CRASH_MONITOR_H

#include "dandelionmount/process/clock.h"
#include "dandelionmount/process/crash_table.h"
#include "dandelionmount/process/membership.h"
#include "dandelionmount/process/metrics.h"
#include "dandelionmount/process/peer_directory.h"

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace dandelionmount {

/// Dependencies of a crash monitor; all outlive it.
struct crash_monitor_context {
    boost::asio::any_io_executor executor;
    const time_source& time;
    metrics& counters;
    const member_table& members;
    peer_directory& peers;
    std::mt19937_64& random;
};

/// The requests that were running when targets of this host's service crashed. The hosts of a service tell
/// each other, without the store: at once of each crash, and from time to time of all, for hosts that have
/// missed something or were restarted.
class crash_monitor {
public:
    explicit crash_monitor(crash_monitor_context context) : context_(std::move(context)) {}

    /// Whether nothing is known of any request.
    [[nodiscard]] bool is_empty() const { return table_.requests.empty(); }
    /// How the request may run at this host. Trials are made at one host only.
    [[nodiscard]] crash_verdict assess(std::string_view fingerprint) const;
    /// Records that the target's process crashed while the request ran, which had started at `started_at`;
    /// returns the id of the crash.
    std::uint64_t record_crash(const wire::forward_request& request, steady_time started_at);
    /// Records a crash that the sender of a request knows of.
    void record_earlier_crash(const std::string& fingerprint, std::uint64_t crash);
    void record_response(const std::string& fingerprint);
    /// Applies another host's report.
    void handle(const wire::crash_report& report);
    /// Reports the requests with most crashes to one other host, and forgets what is too old. Called once a
    /// second.
    void exchange();

private:
    [[nodiscard]] std::vector<std::string> other_hosts() const;
    void report_changes_soon();
    void report_changes();
    void send(const std::string& host, const wire::crash_report& report);

    crash_monitor_context context_;
    crash_table table_;
    /// Requests whose evidence has changed here since the last report to all hosts.
    std::set<std::string> changed_;
    /// Latest crash of this host's target, and when it was noticed.
    std::uint64_t latest_crash_{0};
    steady_time latest_crash_at_;
};

} // namespace dandelionmount

#endif
