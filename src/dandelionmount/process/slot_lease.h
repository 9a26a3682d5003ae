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

/// How long a voter's answer or a read of the log allows a process to use its host slot, counted from the
/// sending of the probe or the start of the read.
constexpr duration lease_validity = std::chrono::milliseconds(3000);
/// How long a share owner counts granted tokens as spendable.
constexpr duration grant_validity = std::chrono::milliseconds(1500);
/// Margin for clocks that run at different speeds: granted tokens expire this much earlier at the receiver
/// than at the owner, and a successor waits this much longer for each validity that must have expired.
constexpr duration clock_drift_margin = std::chrono::milliseconds(50);
/// How long a receiver may spend granted tokens, counted from its request.
constexpr duration spend_validity = grant_validity - clock_drift_margin;
/// Time that a new process waits after acquiring the slot, so that its predecessor's lease and the tokens
/// that the predecessor granted have expired.
constexpr duration takeover_delay = lease_validity + grant_validity + 2 * clock_drift_margin;
/// Maximum number of voters for one slot.
constexpr std::size_t max_lease_voters = 4;

/// Lease of a host slot by one process: the right to use the shares of rates that the slot owns.
///
/// Voters are other slots in the same zone; they answer a probe with the highest incarnation that has been
/// reported to them for the slot.
/// The holder may use the slot while at least half of the voters have answered within `lease_validity`, or
/// the log has been read within it and names this process. A process that takes the slot over needs answers
/// from more than half of the voters, which from then on confirm no older process, and its own record in the
/// log; then it waits for `takeover_delay`. Two processes therefore never use the slot at the same time, even
/// with pauses and network partitions.
struct slot_lease {
    std::uint64_t incarnation{0};
    /// Names of the voter slots.
    std::vector<std::string> voters;
    /// For each voter, when the latest probe that it answered was sent.
    std::map<std::string, steady_time, std::less<>> answered_probe_sent_at;
    /// Start of the latest read of the log that named this process as the holder.
    std::optional<steady_time> log_confirmed_at;
    /// When a majority of the voters and the log had confirmed this process.
    std::optional<steady_time> acquired_at;
    /// A newer process holds the slot; this one must never use it again.
    bool superseded{false};
};

/// Chooses the voters of a slot among the other slots in its zone.
[[nodiscard]] std::vector<std::string> choose_lease_voters(std::string_view zone, std::uint32_t slot,
                                                           std::uint32_t slots_in_zone);
/// Records a voter's answer; `known_incarnation` is the highest reported to the voter for the slot.
void record_voter_reply(slot_lease& lease, std::string_view voter, std::uint64_t known_incarnation,
                        steady_time probe_sent, steady_time now);
/// Records a read of the log; `holder` is the incarnation that it names for the slot, 0 for none.
void record_log_reading(slot_lease& lease, std::uint64_t holder, steady_time read_started_at,
                        steady_time now);
/// Whether this process may use the slot now.
[[nodiscard]] bool may_use_slot(const slot_lease& lease, steady_time now);

} // namespace dandelionmount

#endif
