#ifndef DANDELIONMOUNT_PROCESS_OUTLIER_DETECTOR_H
#define DANDELIONMOUNT_PROCESS_OUTLIER_DETECTOR_H

#include "dandelionmount/process/local_target.h"
#include "dandelionmount/process/target_comparison.h"
#include "dandelionmount/wire/peer.pb.h"

#include <functional>
#include <set>
#include <string>
#include <string_view>

namespace dandelionmount {

/// Tells the hosts that divide the rates of this host's target, compares what is told there, and hands on
/// what the comparison found. It goes with the reports that hosts make anyway.
class outlier_detector {
public:
    using note_handler = std::function<void(const std::string& host, const target_health& note)>;

    /// All outlive this; `on_note` is called for each note that arrives.
    outlier_detector(const time_source& time, const std::string& host, const local_target& target,
                     note_handler on_note)
        : time_(time), host_(host), target_(target), on_note_(std::move(on_note)) {}

    /// Writes what is known of this host's target.
    void write_state(wire::rate_report& report) const;
    /// Takes in what another host told of its target.
    void read_state(const wire::rate_report& report, std::string_view host);
    /// Writes what the comparison found.
    void write_outliers(wire::rate_grants& grants);
    void read_outliers(const wire::rate_grants& grants) const;

private:
    [[nodiscard]] target_state own_state() const;
    void log_changes();

    const time_source& time_;
    const std::string& host_;
    const local_target& target_;
    note_handler on_note_;
    heard_targets heard_;
    target_outliers notes_;
    /// Hosts of targets that were logged as standing out.
    std::set<std::string, std::less<>> logged_;
    steady_time compared_;
};

} // namespace dandelionmount

#endif
