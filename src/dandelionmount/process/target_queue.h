#ifndef DANDELIONMOUNT_PROCESS_TARGET_QUEUE_H
#define DANDELIONMOUNT_PROCESS_TARGET_QUEUE_H

#include "dandelionmount/process/admission_queue.h"

#include <cstdint>
#include <optional>
#include <string>

namespace dandelionmount {

/// Arrivals and starts of one kind of request. Halved whenever the arrivals exceed a bound, so that recent
/// ones weigh most.
struct kind_counts {
    double arrived{0};
    double started{0};
};

/// Queue in front of a target, with two kinds of requests: those of callers, which enter the fleet at any
/// ingress node, and calls of other targets, for whose requests work has already been spent. While both wait,
/// the same share of the arrivals of either kind is started. Ingress nodes shed the requests that lead to
/// calls until about all calls can run, so a preference of calls here would be paid by requests of callers
/// alone.
struct target_queue {
    admission_queue ingress;
    admission_queue calls;
    kind_counts ingress_counts;
    kind_counts call_counts;

    [[nodiscard]] std::size_t size() const { return ingress.size + calls.size; }
};

/// Records an arrival, whether the request has to wait or not.
void record_arrival(target_queue& queue, const queued_request& request);
void push_request(target_queue& queue, queued_request request);
/// Removes the next request; see the admission queue for `earliest_end`.
[[nodiscard]] std::optional<queued_request> pop_request(target_queue& queue,
                                                        steady_time earliest_end = steady_time::min());
/// Removes one request wherever it is queued; false if it is not queued.
bool remove_request(target_queue& queue, std::uint64_t ticket);
/// Removes the request of the same kind that the new one displaces, if any.
[[nodiscard]] std::optional<queued_request> evict_for(target_queue& queue, const queued_request& new_request);
/// Estimated number of requests that would start before the new one.
[[nodiscard]] std::size_t requests_ahead(const target_queue& queue, const queued_request& new_request);
/// Number of queued requests of the same kind as the new one.
[[nodiscard]] std::size_t size_of_kind(const target_queue& queue, const queued_request& new_request);

} // namespace dandelionmount

#endif
