#ifndef DANDELIONMOUNT_REQUEST_SUSPECT_GATE_H
#define DANDELIONMOUNT_REQUEST_SUSPECT_GATE_H

#include <cstdint>
#include <deque>
#include <vector>

// Limits how many requests run at a target at the same time that were running when other targets crashed. If
// one of them crashes this target too, few others are suspected with it: those with one crash run a few at a
// time, those with more run without other suspects.

namespace dandelionmount {

/// How a suspected request passes the gate.
enum class gate_pass { none, shared, alone };

struct suspect_gate {
    /// Suspected requests that are running.
    std::uint32_t running{0};
    bool runs_alone{false};
    struct waiting_request {
        std::uint64_t ticket{0};
        gate_pass pass{gate_pass::none};
    };
    /// In order of arrival.
    std::deque<waiting_request> waiting;
};

/// The pass for a request with that many crashes.
[[nodiscard]] gate_pass pass_for(std::size_t crashes);
/// Lets the request run if it may run now; otherwise it has to be queued.
[[nodiscard]] bool try_enter(suspect_gate& gate, gate_pass pass);
void enqueue(suspect_gate& gate, std::uint64_t ticket, gate_pass pass);
/// Removes a queued request; false if it is not queued.
bool remove_waiting(suspect_gate& gate, std::uint64_t ticket);
/// Records the end of a run; returns the queued requests that run now.
[[nodiscard]] std::vector<std::uint64_t> leave(suspect_gate& gate, gate_pass pass);

} // namespace dandelionmount

#endif
