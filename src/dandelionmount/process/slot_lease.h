#ifndef DANDELIONMOUNT_PROCESS_SLOT_LEASE_H
#define DANDELIONMOUNT_PROCESS_SLOT_LEASE_H

#include "dandelionmount/process/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionmount {

/// How long an answer of a witness, or a reading of the log, lets a process use what its host slot holds.
constexpr duration witness_term = std::chrono::milliseconds(3000);
/// How long tokens that were granted may be spent.
constexpr duration grant_term = std::chrono::milliseconds(1500);
/// Allowance for clocks that run at different speeds; both sides of a term are this far apart.
constexpr duration drift_margin = std::chrono::milliseconds(50);
/// How long a receiver spends tokens, counted from when it asked for them.
constexpr duration spend_term = grant_term - drift_margin;
/// Wait of a new process after the proof that its predecessor in the slot has stopped using it.
constexpr duration takeover_wait = witness_term + grant_term + 2 * drift_margin;
/// Host slots of the same zone that vouch for one slot.
constexpr std::size_t most_witnesses = 4;

/// The right of one process to use what belongs to its host slot: shares of rates.
///
/// A process that holds the slot uses it while at least half of the witnesses answered within the term, or
/// the log was read within the term and names no other process. A process that takes the slot over needs more
/// than half of the witnesses, which from then on vouch for no older process, and its own record in the log;
/// then it waits. So the two cannot both use the slot, whatever pauses or cuts there are.
struct slot_lease {
    std::uint64_t incarnation{0};
    /// Names of the witness slots.
    std::vector<std::string> voters;
    /// For each witness, when the newest probe was sent that it answered.
    std::map<std::string, steady_time, std::less<>> answered;
    /// When the newest reading of the log began that named this process as the holder.
    std::optional<steady_time> log_confirmed_at;
    /// When the proof was complete that no older process can use the slot.
    std::optional<steady_time> proved;
    /// A newer process is in the slot: never use it again.
    bool superseded{false};
};

/// The witnesses of a slot: other slots of its zone.
[[nodiscard]] std::vector<std::string> choose_lease_voters(std::string_view zone, std::uint32_t slot,
                                                           std::uint32_t slots_of_zone);
/// Takes in a witness's answer; `known_incarnation` is the highest that it knows for the slot.
void record_voter_reply(slot_lease& lease, std::string_view witness, std::uint64_t known_incarnation,
                        steady_time probe_sent, steady_time now);
/// Takes in a reading of the log; `holder` is the incarnation that it names for the slot, 0 for none.
void record_log_reading(slot_lease& lease, std::uint64_t holder, steady_time read_began, steady_time now);
/// Whether what the slot holds may be used now.
[[nodiscard]] bool may_use_slot(const slot_lease& lease, steady_time now);

} // namespace dandelionmount

#endif
