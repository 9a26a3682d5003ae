#ifndef DANDELIONMOUNT_VERSION_CONFIGURATION_STATE_H
#define DANDELIONMOUNT_VERSION_CONFIGURATION_STATE_H

#include "dandelionmount/process/result.h"
#include "dandelionmount/version/configuration.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionmount {

/// A key added by an operator's command, in addition to those of the configuration file.
struct given_key {
    std::string account;
    std::string hash;
};

/// The process that holds a host slot: that of the last holder record for the slot in the log.
struct slot_holder {
    std::string host;
    std::uint64_t incarnation{0};
    std::string address;
};

enum class change_outcome { accepted, conflict, invalid, repeated };

/// Outcome of one change, kept for lookup by its author.
struct change_record {
    std::string change_id;
    change_outcome outcome{change_outcome::invalid};
    std::uint64_t version{0};
};

/// State that results from all log records before one offset. Processes at the same offset hold the same
/// state, except for snapshot_offset.
struct configuration_state {
    /// Offset of the next record to apply.
    std::uint64_t next_offset{0};
    /// Offset after the record that last changed the document, the keys or the withdrawals; 0 before any.
    std::uint64_t version{0};
    /// The same for the document alone; a new document names the version that it is based on.
    std::uint64_t document_version{0};
    std::string document_text;
    configuration document;
    /// By key id.
    std::map<std::string, given_key> given_keys;
    /// Key ids. Only grows.
    std::set<std::string> withdrawn;
    /// By zone and slot, "zone/slot".
    std::map<std::string, slot_holder> holders;
    std::deque<change_record> recent_changes;
    /// Number of zone changes, and the zone lists before the latest of them, oldest first. Slots named in
    /// these lists may still hold shares and idempotency records.
    std::uint64_t zone_changes{0};
    std::deque<std::vector<zone_settings>> earlier_zones;
    /// Offset of the newest snapshot record that this process applied itself; 0 if there is none since it
    /// adopted a state.
    std::uint64_t snapshot_offset{0};
};

/// Serialized log records.
[[nodiscard]] std::string make_document_record(std::string_view change_id, std::uint64_t from_version,
                                               std::string_view document_text);
[[nodiscard]] std::string make_give_record(std::string_view change_id, std::string_view account,
                                           std::string_view key_hash);
[[nodiscard]] std::string make_withdraw_record(std::string_view change_id, std::string_view key_id);
[[nodiscard]] std::string make_holder_record(std::string_view zone, std::uint32_t slot,
                                             const slot_holder& holder);
[[nodiscard]] std::string make_snapshot_record(const configuration_state& state);

/// Applies the record at state.next_offset and advances it by one. A malformed record or one of an unknown
/// kind has no other effect than, at most, an entry in the recent changes.
change_outcome apply_record(configuration_state& state, std::string_view record);
/// Parses the state in a snapshot record or in a peer's answer.
[[nodiscard]] result<configuration_state> read_snapshot(std::string_view record);
/// The record of a change if it is among the recent ones, otherwise nullptr.
[[nodiscard]] const change_record* find_change(const configuration_state& state, std::string_view change_id);
/// A hash that is equal for equal states at one offset.
[[nodiscard]] std::string state_fingerprint(const configuration_state& state);
/// Key of a host slot in maps and hashes.
[[nodiscard]] std::string slot_name(std::string_view zone, std::uint32_t slot);

} // namespace dandelionmount

#endif
