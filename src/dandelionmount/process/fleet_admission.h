#ifndef DANDELIONMOUNT_PROCESS_FLEET_ADMISSION_H
#define DANDELIONMOUNT_PROCESS_FLEET_ADMISSION_H

#include "dandelionmount/process/clock.h"
#include "dandelionmount/request/priority_shedder.h"
#include "dandelionmount/wire/peer.pb.h"

namespace dandelionmount {

/// Decides for all ingress nodes together which requests are shed. Reports and decisions travel with those of
/// the client accounts; see `fleet_limiter`.
class fleet_admission {
public:
    /// The references must outlive this object.
    fleet_admission(const time_source& time, priority_shedder& own) : time_(time), own_(own) {}

    /// Adds to a report what this ingress node saw since the last one.
    void write_report(wire::rate_report& report);
    /// As the deciding host: adds another host's report, and the decision to the answer.
    void decide(const wire::rate_report& report, wire::rate_grants& grants);
    /// Applies the answer to the report sent at `requested_at`, a time without suspensions.
    void read_shares(const wire::rate_grants& grants, steady_time requested_at);

private:
    const time_source& time_;
    priority_shedder& own_;
    /// Demand of the whole fleet; used by the deciding host.
    priority_shedder fleet_;
};

} // namespace dandelionmount

#endif
