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

/// Outlier detection over the fleet. Each host adds the measurements of its target to its rate reports; the
/// rate allocators compare the reported targets and return the outliers with their grants.
class outlier_detector {
public:
    using outlier_handler = std::function<void(const std::string& host, const target_health& health)>;

    /// All references must outlive this object; `on_outlier` is called for each outlier received.
    outlier_detector(const time_source& time, const std::string& host, const local_target& target,
                     outlier_handler on_outlier)
        : time_(time), host_(host), target_(target), on_outlier_(std::move(on_outlier)) {}

    /// Adds the measurements of this host's target to the report.
    void write_measurements(wire::rate_report& report) const;
    /// Records the measurements of another host's target from its report.
    void read_measurements(const wire::rate_report& report, std::string_view host);
    /// Compares the reported targets if the last comparison is old enough, and adds the outliers to the
    /// reply.
    void write_outliers(wire::rate_grants& grants);
    /// Calls the handler for each outlier in the reply.
    void read_outliers(const wire::rate_grants& grants) const;

private:
    [[nodiscard]] target_measurements own_measurements() const;
    void log_changes();

    const time_source& time_;
    const std::string& host_;
    const local_target& target_;
    outlier_handler on_outlier_;
    measurement_reports reports_;
    target_outliers outliers_;
    /// Hosts whose targets were logged as outliers.
    std::set<std::string, std::less<>> logged_outliers_;
    steady_time compared_at_;
};

} // namespace dandelionmount

#endif
