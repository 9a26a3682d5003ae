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

/// Rounds of probing; a suspected host is probed in each of them.
constexpr duration probe_round = std::chrono::milliseconds(150);
/// Every that many rounds a new host is probed.
constexpr int rounds_between_probes = 3;
/// Rounds without any answer after which a suspected host counts as dead.
constexpr int rounds_until_dead = 10;
/// Other hosts asked to probe a host that did not answer.
constexpr std::size_t indirect_probes = 4;
/// Member records in one datagram, so that it fits an Ethernet frame.
constexpr std::size_t most_records_in_datagram = 8;

/// Names a host slot.
struct slot_key {
    std::string zone;
    std::uint32_t slot{0};
    auto operator<=>(const slot_key&) const = default;
};

/// What one process knows of the hosts, itself included.
///
/// Records of other hosts change through store_record only, which keeps the indexes beside them; with these
/// the cost of a request and of a datagram does not grow with the fleet.
struct member_table {
    wire::member_record self;
    std::map<std::string, wire::member_record, std::less<>> others;
    /// Other hosts by slot, whatever their state.
    std::map<slot_key, std::set<std::string>> hosts_by_slot;
    /// Other hosts by the service of their target.
    std::map<std::string, std::set<std::string>, std::less<>> hosts_by_service;
    /// Living other hosts in no order, to draw from.
    std::vector<std::string> alive;
    std::map<std::string, std::size_t, std::less<>> alive_position;
    /// Digest of the living other hosts' records.
    std::uint64_t alive_digest{0};
    /// Records that still have to be told, with the number of datagrams they go into.
    std::map<std::string, int, std::less<>> to_spread;
    /// When each dead or departed record may be forgotten.
    std::map<std::string, steady_time, std::less<>> gone_since;
};

/// What a record changed.
enum class merge_outcome { unchanged, changed, refuted };

/// Puts a record of another host into the table in place of the one before it.
void store_record(member_table& table, const wire::member_record& record);
/// Takes a record out of the table.
void erase_record(member_table& table, const std::string& host);
/// Whether `left` is newer than `right`, for records of one host.
[[nodiscard]] bool is_newer(const wire::member_record& left, const wire::member_record& right);
/// Takes in a record that was heard. A false report on this host is refuted by a higher counter.
merge_outcome merge_record(member_table& table, const wire::member_record& record, steady_time now);
/// Declares a host dead that answered no probe.
void declare_dead(member_table& table, std::string_view host, steady_time now);
/// Changes this host's own record and spreads it.
void announce_self(member_table& table);
/// Forgets hosts that have been gone for so long that no old record of them is on its way.
void forget_gone(member_table& table, steady_time now);
/// The records that the next datagram carries, least told first.
[[nodiscard]] std::vector<wire::member_record> records_to_send(member_table& table);
/// Some records drawn at random, so that differences heal.
[[nodiscard]] std::vector<wire::member_record> sample_records(const member_table& table, std::size_t count,
                                                              std::mt19937_64& random);
/// Equal for equal tables, whatever the order in which they came about.
[[nodiscard]] std::uint64_t table_digest(const member_table& table);
/// Hosts that count as alive, without this one.
[[nodiscard]] std::vector<std::string> alive_hosts(const member_table& table);
/// The living host in a slot, this one included; nullptr when there is none.
[[nodiscard]] const wire::member_record* find_slot(const member_table& table, std::string_view zone,
                                                   std::uint32_t slot);
/// The highest incarnation known for a slot; 0 when there is none.
[[nodiscard]] std::uint64_t slot_incarnation(const member_table& table, std::string_view zone,
                                             std::uint32_t slot);

/// Probes on their way and hosts under suspicion.
struct probe_state {
    /// Hosts in the order in which they are probed; drawn anew when it is used up.
    std::deque<std::string> order;
    /// Rounds without an answer, for each host that is being probed.
    std::map<std::string, int, std::less<>> unanswered;
    int rounds{0};
};

/// Starts a round: returns the hosts to probe now, and adds to `dead` those that stayed silent too long.
[[nodiscard]] std::vector<std::string> next_probes(probe_state& state, const member_table& table,
                                                   std::mt19937_64& random, std::vector<std::string>& dead);
/// Notes that a host answered.
void note_answer(probe_state& state, std::string_view host);
/// Draws `count` living hosts other than `besides`.
[[nodiscard]] std::vector<std::string> draw_hosts(const member_table& table, std::size_t count,
                                                  std::string_view besides, std::mt19937_64& random);

} // namespace dandelionmount

#endif
