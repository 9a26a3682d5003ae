#ifndef DANDELIONMOUNT_PROCESS_SERVICE_PRESSURE_H
#define DANDELIONMOUNT_PROCESS_SERVICE_PRESSURE_H

#include "dandelionmount/process/call_attribution.h"
#include "dandelionmount/process/clock.h"
#include "dandelionmount/process/target_limiter.h"
#include "dandelionmount/request/demand_ratio_table.h"
#include "dandelionmount/wire/peer.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

// How much more the fleet asks of a target, and of the services that its requests call, than they can take:
// requests for each one that may come. It answers to overload deep in a chain of calls. Refusing there wastes
// the work above, so the pressure is told upwards with each answer, and the entrances shed by it.

namespace dandelionmount {

/// One route's requests at the target of this host.
struct route_load {
    /// Requests in the present window, those shed at the entrances included, and those that arrived.
    double asked{0};
    double arrived{0};
    /// The same a second, recent windows weighing most.
    double asked_rate{0};
    double arrived_rate{0};
    /// Mean time that a request runs, in seconds.
    double run_time{0};
    std::uint32_t running{0};
    /// Seconds that requests ran in the present interval of the attribution.
    double ran_seconds{0};
};

/// What one host knows of its target's load and of the services below.
struct service_pressure {
    std::map<std::string, route_load, std::less<>> routes;
    /// Requests at once that the fleet asks of the target, and that it can be given.
    double asked{0};
    double usable{1};
    /// Pressure heard from the services that the target calls, by service.
    demand_ratio_table below;
    call_attribution attribution;
    /// Calls in the present interval of the attribution.
    std::map<std::string, double, std::less<>> calls;
    steady_time window_began;
    steady_time interval_began;
};

/// Notes a request that arrived; `weight` is how many it stands for, 0 for a further attempt.
void record_arrival(service_pressure& pressure, std::string_view route, double weight);
void record_start(service_pressure& pressure, std::string_view route);
void record_end(service_pressure& pressure, std::string_view route, duration took);
/// Notes a call that the target made.
void record_call(service_pressure& pressure, std::string_view service);
/// Notes the pressure that came with the answer to such a call.
void record_call_pressure(service_pressure& pressure, std::string_view service, double ratio,
                          steady_time now);
/// Works the pressure out anew when the window is over; called several times a second.
void update_pressure(service_pressure& pressure, const target_limiter& limiter, steady_time now);
/// Adds the target's own load to what is told with an answer. Senders add it up over the workers of a
/// service: one worker that can do little is no overload while others can do more.
void add_load(const service_pressure& pressure, wire::load_report& load);
/// The pressure that requests of the route meet at the services below.
[[nodiscard]] double downstream_pressure(const service_pressure& pressure, std::string_view route,
                                         steady_time now);
/// How many requests a call of the service stands for, by the requests that led to it.
[[nodiscard]] double call_weight(const service_pressure& pressure, std::string_view service);

} // namespace dandelionmount

#endif
