#include "dandelionmount/request/suspect_gate.h"

#include "dandelionmount/process/result.h"

#include <algorithm>

namespace dandelionmount {

namespace {

// More at a time clear the requests that ran beside a crash by chance sooner, but suspect more of them again.
constexpr std::uint32_t max_shared = 4;

} // namespace

gate_pass pass_for(std::size_t crashes) {
    if (crashes == 0) {
        return gate_pass::none;
    }
    return crashes == 1 ? gate_pass::shared : gate_pass::alone;
}

bool try_enter(suspect_gate& gate, gate_pass pass) {
    const std::uint32_t limit = pass == gate_pass::alone ? 1 : max_shared;
    if (gate.runs_alone || gate.running >= limit) {
        return false;
    }
    ++gate.running;
    gate.runs_alone = pass == gate_pass::alone;
    return true;
}

void enqueue(suspect_gate& gate, std::uint64_t ticket, gate_pass pass) {
    gate.waiting.push_back({ticket, pass});
}

bool remove_waiting(suspect_gate& gate, std::uint64_t ticket) {
    return std::erase_if(gate.waiting, [ticket](const auto& request) { return request.ticket == ticket; }) >
           0;
}

std::vector<std::uint64_t> leave(suspect_gate& gate, gate_pass pass) {
    DANDELIONMOUNT_INVARIANT(gate.running > 0);
    --gate.running;
    gate.runs_alone = gate.runs_alone && pass != gate_pass::alone;
    std::vector<std::uint64_t> started;
    while (!gate.waiting.empty() && try_enter(gate, gate.waiting.front().pass)) {
        started.push_back(gate.waiting.front().ticket);
        gate.waiting.pop_front();
    }
    return started;
}

} // namespace dandelionmount
