#ifndef DANDELIONMOUNT_REQUEST_WORKER_CHOICE_H
#define DANDELIONMOUNT_REQUEST_WORKER_CHOICE_H

#include "dandelionmount/process/clock.h"
#include "dandelionmount/process/membership.h"
#include "dandelionmount/process/reason.h"
#include "dandelionmount/process/target_comparison.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionmount {

/// State of one worker as seen by this host. A worker is a target that is reached through its own host.
struct worker_record {
    /// Attempts of this host in progress at the worker.
    std::uint32_t in_flight{0};
    wire::load_report load;
    steady_time load_received_at;
    /// Result of comparing the worker with others of its service.
    target_health health;
    steady_time health_received_at;
    /// When the worker became ready in its current incarnation; set to an earlier time if its slow start is
    /// over.
    steady_time ready_since;
    std::uint64_t incarnation{0};
    /// Incarnation of the worker that has said that it is leaving; 0 if none. It gets no more requests,
    /// whatever the list of hosts says.
    std::uint64_t left_incarnation{0};
    /// Until when the worker's host, which has refused a request because it is stopping, counts as stopping.
    steady_time host_stopping_until;
    /// Whether a connection to the worker's host can be established.
    bool host_reachable{true};
    std::uint32_t consecutive_failures{0};
    steady_time ejected_until;
};

/// Input of a choice: the service, the zone of this host, and the hosts to leave out.
struct choice_context {
    std::string_view service;
    std::string_view zone;
    std::span<const std::string> excluded;
    steady_time now;
};

/// The chosen host, or why there is none.
struct worker_choice {
    std::string host;
    reason why{reason::none};
    /// Whether the host is stopping and was chosen because no other worker is left. Excluded hosts are not
    /// left out then, as they may have refused the request for the stop.
    bool is_last_resort{false};
};

/// Chooses the better of two randomly drawn workers by load, slowness and failure rate. Prefers workers of
/// the own zone unless all of them are near their limit or cost far more than others. A small share of
/// requests probes degraded workers to detect their recovery. Source: Mitzenmacher, "The Power of Two Choices
/// in Randomized Load Balancing", 2001.
[[nodiscard]] worker_choice choose_worker(const choice_context& context, const member_table& members,
                                          std::map<std::string, worker_record, std::less<>>& records,
                                          std::mt19937_64& random);
/// Ratio of the fleet's concurrent demand to the capacity of the service's workers, from fresh load reports;
/// 0 without any.
[[nodiscard]] double pressure_at_workers(std::string_view service, const member_table& members,
                                         const std::map<std::string, worker_record, std::less<>>& records,
                                         steady_time now);
/// Records a load report received with an answer.
void record_load(worker_record& record, const wire::load_report& load, steady_time now);
/// Records that the worker's host has refused a request because it is stopping.
void record_host_stopping(worker_record& record, steady_time now);
/// Records the result of comparing the worker with others of its service.
void record_comparison(worker_record& record, const target_health& health, steady_time now);
/// Records the end of an attempt; several consecutive failures eject the worker for a while.
void record_attempt_end(worker_record& record, bool success, steady_time now);

} // namespace dandelionmount

#endif
