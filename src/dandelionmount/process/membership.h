#ifndef DANDELIONMOUNT_PROCESS_MEMBERSHIP_H
#define DANDELIONMOUNT_PROCESS_MEMBERSHIP_H

#include "dandelionmount/process/clock.h"
#include "dandelionmount/wire/peer.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionmount {

/// Interval between probe rounds. A suspected host is probed in each round.
constexpr duration probe_interval = std::chrono::milliseconds(150);
/// Probing of the next host in the probe order starts once in this many rounds.
constexpr int rounds_between_probes = 3;
/// Unanswered rounds after which a suspected host is declared dead.
constexpr int rounds_until_dead = 10;
/// Other hosts asked to probe a host that does not answer.
constexpr std::size_t indirect_probe_count = 4;
/// Limit on the queued updates in a datagram and on the sampled records in an ack. Datagrams then fit an
/// Ethernet frame, unless names are long or many keys are being withdrawn.
constexpr std::size_t max_records_per_datagram = 8;

/// Identifies a host slot.
struct slot_key {
    std::string zone;
    std::uint32_t slot{0};
    auto operator<=>(const slot_key&) const = default;
};

/// One process's view of the fleet, itself included.
///
/// Records of other hosts change only through store_record and erase_record, which keep the indexes
/// consistent. The indexes keep the cost of a request and of a datagram independent of the size of the fleet.
struct member_table {
    wire::member_record self;
    std::map<std::string, wire::member_record, std::less<>> others;
    /// Other hosts by slot, whatever their state.
    std::map<slot_key, std::set<std::string>> hosts_by_slot;
    /// Other hosts by the service of their target.
    std::map<std::string, std::set<std::string>, std::less<>> hosts_by_service;
    /// Other hosts that are alive, in no order, for random sampling.
    std::vector<std::string> alive;
    /// Index of each host in `alive`.
    std::map<std::string, std::size_t, std::less<>> alive_position;
    /// Digest of the records of the other hosts that are alive.
    std::uint64_t alive_digest{0};
    /// Updates to be gossiped: hosts, and the number of datagrams still to carry their records.
    std::map<std::string, int, std::less<>> pending_updates;
    /// When each host died or left, for removing its record later.
    std::map<std::string, steady_time, std::less<>> departed_at;
};

/// Effect of merging a record.
enum class merge_outcome { unchanged, changed, refuted };

/// Stores a record of another host, replacing the earlier one.
void store_record(member_table& table, const wire::member_record& record);
/// Removes a host's record.
void erase_record(member_table& table, const std::string& host);
/// Whether `left` is newer than `right`, for records of one host.
[[nodiscard]] bool is_newer(const wire::member_record& left, const wire::member_record& right);
/// Merges a received record. A false report on this host is refuted with a higher counter.
merge_outcome merge_record(member_table& table, const wire::member_record& record, steady_time now);
/// Declares a host dead that did not answer its probes.
void declare_dead(member_table& table, std::string_view host, steady_time now);
/// Raises the counter of this host's own record and queues it for gossip.
void announce_self(member_table& table);
/// Removes hosts that have been gone for so long that no old record of them is still in transit.
void remove_departed(member_table& table, steady_time now);
/// The updates for the next datagram, those sent least often first; counts them as sent.
[[nodiscard]] std::vector<wire::member_record> records_to_send(member_table& table);
/// Records drawn at random, which repair differences that lost updates left between tables (anti-entropy).
[[nodiscard]] std::vector<wire::member_record> sample_records(const member_table& table, std::size_t count,
                                                              std::mt19937_64& random);
/// Digest of the records of this host and of the others that are alive; the order of updates has no effect.
[[nodiscard]] std::uint64_t table_digest(const member_table& table);
/// Hosts that are alive, without this one.
[[nodiscard]] std::vector<std::string> alive_hosts(const member_table& table);
/// The host that is alive in a slot, this one included; nullptr when there is none.
[[nodiscard]] const wire::member_record* find_slot(const member_table& table, std::string_view zone,
                                                   std::uint32_t slot);
/// The highest incarnation known for a slot; 0 when there is none.
[[nodiscard]] std::uint64_t slot_incarnation(const member_table& table, std::string_view zone,
                                             std::uint32_t slot);

/// Probe order and suspected hosts.
struct probe_state {
    /// Hosts left to probe in this cycle; reshuffled when empty.
    std::deque<std::string> order;
    /// Unanswered rounds of each host that is being probed.
    std::map<std::string, int, std::less<>> unanswered;
    int rounds{0};
};

/// Starts a round: returns the hosts to probe now, and adds to `dead` those that reached the limit of
/// unanswered rounds.
[[nodiscard]] std::vector<std::string> next_probes(probe_state& state, const member_table& table,
                                                   std::mt19937_64& random, std::vector<std::string>& dead);
/// Records that a host answered a probe.
void record_probe_answer(probe_state& state, std::string_view host);
/// Draws up to `count` hosts that are alive, without `excluded`.
[[nodiscard]] std::vector<std::string> draw_hosts(const member_table& table, std::size_t count,
                                                  std::string_view excluded, std::mt19937_64& random);

} // namespace dandelionmount

#endif
