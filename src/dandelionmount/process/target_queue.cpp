#include "dandelionmount/process/target_queue.h"

#include <algorithm>

namespace dandelionmount {

namespace {

constexpr double call_preference = 2;
// Counts are halved when they reach this, so that they follow the present demand.
constexpr double most_counted = 200;

double turn_of(const kind_turns& turns, double preference) {
    return turns.started / (preference * std::max(1.0, turns.arrived));
}

bool is_turn_of_calls(const target_queue& queue) {
    if (queue.calls.size == 0 || queue.entering.size == 0) {
        return queue.calls.size > 0;
    }
    return turn_of(queue.call_turns, call_preference) <= turn_of(queue.entering_turns, 1);
}

admission_queue& queue_of(target_queue& queue, bool is_call) {
    return is_call ? queue.calls : queue.entering;
}

} // namespace

void record_arrival(target_queue& queue, const queued_request& request) {
    kind_turns& turns = request.is_call ? queue.call_turns : queue.entering_turns;
    turns.arrived += 1;
    if (queue.call_turns.arrived + queue.entering_turns.arrived > most_counted) {
        for (kind_turns* kind : {&queue.call_turns, &queue.entering_turns}) {
            kind->arrived /= 2;
            kind->started /= 2;
        }
    }
}

void push_request(target_queue& queue, queued_request request) {
    admission_queue& own = queue_of(queue, request.is_call);
    push_request(own, std::move(request));
}

std::optional<queued_request> pop_request(target_queue& queue) {
    const bool calls = is_turn_of_calls(queue);
    kind_turns& turns = calls ? queue.call_turns : queue.entering_turns;
    auto request = pop_request(queue_of(queue, calls));
    turns.started += request ? 1 : 0;
    return request;
}

bool remove_request(target_queue& queue, std::uint64_t ticket) {
    return remove_request(queue.entering, ticket) || remove_request(queue.calls, ticket);
}

std::optional<queued_request> evict_for(target_queue& queue, const queued_request& newcomer) {
    return evict_for(queue_of(queue, newcomer.is_call), newcomer.priority, newcomer.account);
}

std::size_t requests_ahead(const target_queue& queue, const queued_request& newcomer) {
    const admission_queue& own = newcomer.is_call ? queue.calls : queue.entering;
    const admission_queue& other = newcomer.is_call ? queue.entering : queue.calls;
    const std::size_t ahead = requests_ahead(own, newcomer.priority);
    return ahead + std::min(ahead, other.size);
}

std::size_t size_of_kind(const target_queue& queue, const queued_request& newcomer) {
    return newcomer.is_call ? queue.calls.size : queue.entering.size;
}

} // namespace dandelionmount
