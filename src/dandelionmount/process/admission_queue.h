#ifndef DANDELIONMOUNT_PROCESS_ADMISSION_QUEUE_H
#define DANDELIONMOUNT_PROCESS_ADMISSION_QUEUE_H

#include "dandelionmount/process/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dandelionmount {

/// A request that waits for a slot at the target.
struct queued_request {
    std::uint64_t ticket{0};
    std::uint32_t priority{0};
    std::string account;
    steady_time arrived;
    /// Latest time at which it may start.
    steady_time start_by{steady_time::max()};
    /// When its response is due; later ones are worth less.
    steady_time due{steady_time::max()};
    /// Number of requests that it represents, including those that the ingress nodes shed; 0 for a further
    /// attempt of a request that is already counted.
    double weight{1};
    /// Whether it is a call that a target makes for a request already admitted.
    bool is_call{false};
};

/// Priority queue with fair queueing by client account within a priority.
struct admission_queue {
    using account_queues = std::map<std::string, std::deque<queued_request>>;
    /// Highest priority first.
    std::map<std::uint32_t, account_queues, std::greater<>> by_priority;
    /// Start counts by account. The account with the lowest count is next.
    std::map<std::string, double> start_counts;
    /// Requests that can't end before they are due any more, by priority, highest first. They start after all
    /// others of their priority: in an overload, first come, first served would make all requests late.
    std::map<std::uint32_t, std::deque<queued_request>, std::greater<>> late;
    std::size_t size{0};
    std::size_t late_size{0};
};

void push_request(admission_queue& queue, queued_request request);
/// Removes the next request by priority and fair queueing. Of a priority, those that are due before
/// `earliest_end`, when a request that starts now may end, come last.
[[nodiscard]] std::optional<queued_request> pop_request(admission_queue& queue,
                                                        steady_time earliest_end = steady_time::min());
/// Removes one request wherever it is queued; false if it is not queued.
bool remove_request(admission_queue& queue, std::uint64_t ticket);
/// Removes the request that a new one displaces: of the lowest queued priority, the oldest late one, or the
/// newest of the account with the most requests. Returns nothing if that priority is higher than the new
/// one's, or equal to it and the account has at most one request more than the new one's.
[[nodiscard]] std::optional<queued_request> evict_for(admission_queue& queue, std::uint32_t priority,
                                                      const std::string& account);
/// Number of queued requests that may start before a new request of that priority: all of higher priorities,
/// and those of its own that are not late.
[[nodiscard]] std::size_t requests_ahead(const admission_queue& queue, std::uint32_t priority);

} // namespace dandelionmount

#endif
