#include "dandelionmount/process/target_queue.h"

#include <algorithm>

namespace dandelionmount {

namespace {

// Counts are halved when the arrivals of both kinds exceed this total, so that they follow current demand.
constexpr double max_count = 200;

double start_ratio(const kind_counts& counts) {
    return counts.started / std::max(1.0, counts.arrived);
}

bool is_call_next(const target_queue& queue) {
    const bool has_calls = queue.calls.size > queue.calls.late_size;
    const bool has_ingress = queue.ingress.size > queue.ingress.late_size;
    if (has_calls != has_ingress) {
        return has_calls;
    }
    if (queue.calls.size == 0 || queue.ingress.size == 0) {
        return queue.calls.size > 0;
    }
    return start_ratio(queue.call_counts) <= start_ratio(queue.ingress_counts);
}

admission_queue& queue_of(target_queue& queue, bool is_call) {
    return is_call ? queue.calls : queue.ingress;
}

} // namespace

void record_arrival(target_queue& queue, const queued_request& request) {
    kind_counts& counts = request.is_call ? queue.call_counts : queue.ingress_counts;
    counts.arrived += 1;
    if (queue.call_counts.arrived + queue.ingress_counts.arrived > max_count) {
        for (kind_counts* kind : {&queue.call_counts, &queue.ingress_counts}) {
            kind->arrived /= 2;
            kind->started /= 2;
        }
    }
}

void push_request(target_queue& queue, queued_request request) {
    admission_queue& own = queue_of(queue, request.is_call);
    push_request(own, std::move(request));
}

std::optional<queued_request> pop_request(target_queue& queue, steady_time earliest_end) {
    const bool is_call = is_call_next(queue);
    kind_counts& counts = is_call ? queue.call_counts : queue.ingress_counts;
    auto request = pop_request(queue_of(queue, is_call), earliest_end);
    counts.started += request ? 1 : 0;
    return request;
}

bool remove_request(target_queue& queue, std::uint64_t ticket) {
    return remove_request(queue.ingress, ticket) || remove_request(queue.calls, ticket);
}

std::optional<queued_request> evict_for(target_queue& queue, const queued_request& new_request) {
    return evict_for(queue_of(queue, new_request.is_call), new_request.priority, new_request.account);
}

std::size_t requests_ahead(const target_queue& queue, const queued_request& new_request) {
    const admission_queue& own = new_request.is_call ? queue.calls : queue.ingress;
    const admission_queue& other = new_request.is_call ? queue.ingress : queue.calls;
    const std::size_t ahead = requests_ahead(own, new_request.priority);
    return ahead + std::min(ahead, other.size - other.late_size);
}

std::size_t size_of_kind(const target_queue& queue, const queued_request& new_request) {
    return new_request.is_call ? queue.calls.size : queue.ingress.size;
}

} // namespace dandelionmount
