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

/// What this host has seen of one worker: a target behind its own host.
struct worker_record {
    /// Attempts of this host that are under way there.
    std::uint32_t in_flight{0};
    wire::load_report load;
    steady_time load_heard;
    /// What the fleet found when it compared the worker with others of its service.
    target_health note;
    steady_time note_heard;
    /// When the worker was first seen ready in its present life.
    steady_time ready_since;
    std::uint64_t incarnation{0};
    /// Whether a connection to the worker's host can be had.
    bool reachable{true};
    std::uint32_t failures_in_row{0};
    steady_time ejected_until;
};

/// Everything that a choice looks at.
struct choice_context {
    std::string_view service;
    std::string_view zone;
    std::span<const std::string> excluded;
    steady_time now;
};

/// The host to send to, or why there is none.
struct worker_choice {
    std::string host;
    reason why{reason::none};
};

/// Chooses the better of two workers drawn at random, by load and by how slow and failing they are beside
/// others; those of the own zone first until they are short. A small part of the requests goes to those in
/// trouble, so that the end of it is seen. Source: Mitzenmacher, "The Power of Two Choices in
/// Randomized Load Balancing", 2001.
[[nodiscard]] worker_choice choose_worker(const choice_context& context, const member_table& members,
                                          std::map<std::string, worker_record, std::less<>>& records,
                                          std::mt19937_64& random);
/// What the fleet asks of the service's workers for each request at once that they can be given, by the
/// reports that are fresh; 0 without any.
[[nodiscard]] double pressure_at_workers(std::string_view service, const member_table& members,
                                         const std::map<std::string, worker_record, std::less<>>& records,
                                         steady_time now);
/// Takes in a load report that came with an answer.
void note_load(worker_record& record, const wire::load_report& load, steady_time now);
/// Takes in what the comparison of the service's workers found.
void note_comparison(worker_record& record, const target_health& note, steady_time now);
/// Takes in how an attempt ended: a worker that fails several times in a row gets no work for a while.
void note_attempt_end(worker_record& record, bool good, steady_time now);

} // namespace dandelionmount

#endif
