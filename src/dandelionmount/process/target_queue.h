#ifndef DANDELIONMOUNT_PROCESS_TARGET_QUEUE_H
#define DANDELIONMOUNT_PROCESS_TARGET_QUEUE_H

#include "dandelionmount/process/admission_queue.h"

#include <cstdint>
#include <optional>
#include <string>

namespace dandelionmount {

/// Requests of one kind that a target was asked for and given, recent ones weighing most.
struct kind_turns {
    double arrived{0};
    double started{0};
};

/// Requests that wait for a target: those that enter the fleet with it, and calls of other targets, for whose
/// requests work has been spent. While both wait, each kind gets its share of the starts by how much of it
/// arrives, calls twice as much: strict precedence of the calls would leave nothing to those that enter.
struct target_queue {
    admission_queue entering;
    admission_queue calls;
    kind_turns entering_turns;
    kind_turns call_turns;

    [[nodiscard]] std::size_t size() const { return entering.size + calls.size; }
};

/// Notes that a request arrived, whether it has to wait or not.
void record_arrival(target_queue& queue, const queued_request& request);
void push_request(target_queue& queue, queued_request request);
/// Takes the request whose turn it is.
[[nodiscard]] std::optional<queued_request> pop_request(target_queue& queue);
/// Takes out one request wherever it stands; false when it is not there.
bool remove_request(target_queue& queue, std::uint64_t ticket);
/// The request of the newcomer's kind that gives way to it.
[[nodiscard]] std::optional<queued_request> evict_for(target_queue& queue, const queued_request& newcomer);
/// Requests that would start before a newcomer, about.
[[nodiscard]] std::size_t requests_ahead(const target_queue& queue, const queued_request& newcomer);
/// Requests of the newcomer's kind that wait.
[[nodiscard]] std::size_t size_of_kind(const target_queue& queue, const queued_request& newcomer);

} // namespace dandelionmount

#endif
