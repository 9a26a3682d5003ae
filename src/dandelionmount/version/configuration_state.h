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

/// A key given by an operator's command, beside those of the configuration file.
struct given_key {
    std::string account;
    std::string hash;
};

/// The process that holds a host slot by the log's order.
struct slot_holder {
    std::string host;
    std::uint64_t incarnation{0};
    std::string address;
};

/// What became of a change.
enum class change_outcome { accepted, conflict, invalid, repeated };

/// The outcome of one change, kept so that its author can look for it.
struct change_record {
    std::string change_id;
    change_outcome outcome{change_outcome::invalid};
    std::uint64_t version{0};
};

/// All that the log says, up to one offset. Two processes at the same offset hold the same state.
struct configuration_state {
    /// Offset of the next record to apply.
    std::uint64_t next_offset{0};
    /// Offset after the record that last changed the document, the keys or the withdrawals; 0 before any.
    std::uint64_t version{0};
    /// The same for the document alone: a new one names the version it was made from.
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
    /// How often a document changed the zones, and the lists of zones before the latest of these changes,
    /// oldest first. Slots named by them may still keep shares and idempotency records.
    std::uint64_t zone_changes{0};
    std::deque<std::vector<zone_settings>> earlier_zones;
    /// Offset of the newest snapshot record that was read.
    std::uint64_t snapshot_offset{0};
};

/// Texts of log records.
[[nodiscard]] std::string make_document_record(std::string_view change_id, std::uint64_t from_version,
                                               std::string_view document_text);
[[nodiscard]] std::string make_give_record(std::string_view change_id, std::string_view account,
                                           std::string_view key_hash);
[[nodiscard]] std::string make_withdraw_record(std::string_view change_id, std::string_view key_id);
[[nodiscard]] std::string make_holder_record(std::string_view zone, std::uint32_t slot,
                                             const slot_holder& holder);
[[nodiscard]] std::string make_snapshot_record(const configuration_state& state);

/// Applies the record at state.next_offset and moves on by one; what is not understood changes nothing else.
change_outcome apply_record(configuration_state& state, std::string_view record);
/// The state in a snapshot record or in a peer's answer.
[[nodiscard]] result<configuration_state> read_snapshot(std::string_view record);
/// What became of a change, when it is among the recent ones.
[[nodiscard]] const change_record* find_change(const configuration_state& state, std::string_view change_id);
/// A text that is equal for equal states at one offset.
[[nodiscard]] std::string state_fingerprint(const configuration_state& state);
/// The name of a host slot in maps and hashes.
[[nodiscard]] std::string slot_name(std::string_view zone, std::uint32_t slot);

} // namespace dandelionmount

#endif
