#include "dandelionmount/version/configuration_state.h"

#include "dandelionmount/process/crypto.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace dandelionmount {

namespace {

using nlohmann::json;

// Lets an operator's tool find its change minutes later at the usual daily rate of changes.
constexpr std::size_t max_recent_changes = 256;
// More zone changes within one idempotency window are not expected.
constexpr std::size_t max_earlier_zones = 8;
// Hexadecimal digits of a SHA-256 hash.
constexpr std::size_t key_hash_digits = 64;

std::string text_of(const json& record, const char* key) {
    const auto found = record.find(key);
    if (found == record.end() || !found->is_string()) {
        return {};
    }
    return found->get<std::string>();
}

std::uint64_t number_of(const json& record, const char* key) {
    const auto found = record.find(key);
    if (found == record.end() || !found->is_number_unsigned()) {
        return 0;
    }
    return found->get<std::uint64_t>();
}

void add_recent_change(configuration_state& state, std::string change_id, change_outcome outcome) {
    if (change_id.empty()) {
        return;
    }
    state.recent_changes.push_back({std::move(change_id), outcome, state.version});
    if (state.recent_changes.size() > max_recent_changes) {
        state.recent_changes.pop_front();
    }
}

void add_earlier_zones(configuration_state& state) {
    state.earlier_zones.push_back(state.document.zones);
    ++state.zone_changes;
    if (state.earlier_zones.size() > max_earlier_zones) {
        state.earlier_zones.pop_front();
    }
}

change_outcome apply_document(configuration_state& state, const json& record) {
    const auto from_version = record.find("from_version");
    const auto document = record.find("document");
    if (from_version == record.end() || !from_version->is_number_unsigned() || document == record.end() ||
        !document->is_string()) {
        return change_outcome::invalid;
    }
    if (from_version->get<std::uint64_t>() != state.document_version) {
        return change_outcome::conflict;
    }
    std::string text = document->get<std::string>();
    auto read = read_configuration({"log", text}, std::nullopt);
    if (!read.value) {
        return change_outcome::invalid;
    }
    if (state.document_version > 0 && read.value->zones != state.document.zones) {
        add_earlier_zones(state);
    }
    state.document = std::move(*read.value);
    state.document_text = std::move(text);
    state.document_version = state.next_offset + 1;
    return change_outcome::accepted;
}

change_outcome apply_given_key(configuration_state& state, const json& record) {
    const std::string account = text_of(record, "account");
    const std::string hash = text_of(record, "key_hash");
    if (hash.size() != key_hash_digits || find_account(state.document, account) == nullptr) {
        return change_outcome::invalid;
    }
    const std::string id = key_id_of(hash);
    if (state.withdrawn.contains(id)) {
        return change_outcome::conflict;
    }
    state.given_keys[id] = {account, hash};
    return change_outcome::accepted;
}

change_outcome apply_withdrawal(configuration_state& state, const json& record) {
    const std::string id = text_of(record, "key_id");
    if (id.empty()) {
        return change_outcome::invalid;
    }
    const bool inserted = state.withdrawn.insert(id).second;
    return inserted ? change_outcome::accepted : change_outcome::repeated;
}

void apply_holder(configuration_state& state, const json& record) {
    const std::string slot = text_of(record, "slot");
    const slot_holder holder{text_of(record, "host"), number_of(record, "incarnation"),
                             text_of(record, "address")};
    if (!slot.empty() && holder.incarnation != 0) {
        state.holders[slot] = holder;
    }
}

change_outcome apply_change(configuration_state& state, const json& record, const std::string& kind) {
    if (kind == "document") {
        return apply_document(state, record);
    }
    if (kind == "give") {
        return apply_given_key(state, record);
    }
    if (kind == "withdraw") {
        return apply_withdrawal(state, record);
    }
    return change_outcome::invalid;
}

json holders_json(const configuration_state& state) {
    json holders = json::object();
    for (const auto& [slot, holder] : state.holders) {
        holders[slot] = {
            {"host", holder.host}, {"incarnation", holder.incarnation}, {"address", holder.address}};
    }
    return holders;
}

json keys_json(const configuration_state& state) {
    json keys = json::object();
    for (const auto& [id, key] : state.given_keys) {
        keys[id] = {{"account", key.account}, {"hash", key.hash}};
    }
    return keys;
}

json changes_json(const configuration_state& state) {
    json changes = json::array();
    for (const auto& change : state.recent_changes) {
        changes.push_back({{"id", change.change_id},
                           {"outcome", static_cast<int>(change.outcome)},
                           {"version", change.version}});
    }
    return changes;
}

json earlier_zones_json(const configuration_state& state) {
    json lists = json::array();
    for (const auto& zones : state.earlier_zones) {
        json list = json::array();
        for (const auto& zone : zones) {
            list.push_back({{"name", zone.name}, {"hosts", zone.hosts}});
        }
        lists.push_back(std::move(list));
    }
    return lists;
}

// Everything except snapshot_offset, which may differ between processes at the same offset: one that received
// its state from a peer has not read the snapshot record.
json state_json(const configuration_state& state) {
    return {{"next_offset", state.next_offset},
            {"version", state.version},
            {"document_version", state.document_version},
            {"document", state.document_text},
            {"keys", keys_json(state)},
            {"withdrawn", state.withdrawn},
            {"holders", holders_json(state)},
            {"changes", changes_json(state)},
            {"zone_changes", state.zone_changes},
            {"earlier_zones", earlier_zones_json(state)}};
}

// Snapshots of earlier program versions lack these fields.
void read_earlier_zones(const json& source, configuration_state& state) {
    state.zone_changes = number_of(source, "zone_changes");
    for (const auto& list : source.value("earlier_zones", json::array())) {
        std::vector<zone_settings> zones;
        for (const auto& zone : list) {
            zones.push_back({text_of(zone, "name"), static_cast<std::uint32_t>(number_of(zone, "hosts"))});
        }
        state.earlier_zones.push_back(std::move(zones));
    }
}

void read_lists(const json& source, configuration_state& state) {
    for (const auto& [id, key] : source.at("keys").items()) {
        state.given_keys[id] = {text_of(key, "account"), text_of(key, "hash")};
    }
    for (const auto& id : source.at("withdrawn")) {
        state.withdrawn.insert(id.get<std::string>());
    }
    for (const auto& [slot, holder] : source.at("holders").items()) {
        state.holders[slot] = {text_of(holder, "host"), number_of(holder, "incarnation"),
                               text_of(holder, "address")};
    }
    for (const auto& change : source.at("changes")) {
        state.recent_changes.push_back({text_of(change, "id"),
                                        static_cast<change_outcome>(change.at("outcome").get<int>()),
                                        number_of(change, "version")});
    }
    read_earlier_zones(source, state);
}

} // namespace

std::string make_document_record(std::string_view change_id, std::uint64_t from_version,
                                 std::string_view document_text) {
    return json{{"kind", "document"},
                {"change_id", change_id},
                {"from_version", from_version},
                {"document", document_text}}
        .dump();
}

std::string make_give_record(std::string_view change_id, std::string_view account,
                             std::string_view key_hash) {
    return json{{"kind", "give"}, {"change_id", change_id}, {"account", account}, {"key_hash", key_hash}}
        .dump();
}

std::string make_withdraw_record(std::string_view change_id, std::string_view key_id) {
    return json{{"kind", "withdraw"}, {"change_id", change_id}, {"key_id", key_id}}.dump();
}

std::string make_holder_record(std::string_view zone, std::uint32_t slot, const slot_holder& holder) {
    return json{{"kind", "holder"},
                {"slot", slot_name(zone, slot)},
                {"host", holder.host},
                {"incarnation", holder.incarnation},
                {"address", holder.address}}
        .dump();
}

std::string make_snapshot_record(const configuration_state& state) {
    return json{{"kind", "snapshot"}, {"state", state_json(state)}}.dump();
}

change_outcome apply_record(configuration_state& state, std::string_view record) {
    const json parsed = json::parse(record, nullptr, false);
    const std::string kind = parsed.is_object() ? text_of(parsed, "kind") : std::string();
    const std::string change_id = parsed.is_object() ? text_of(parsed, "change_id") : std::string();
    change_outcome outcome = change_outcome::repeated;
    if (kind == "holder") {
        apply_holder(state, parsed);
        outcome = change_outcome::accepted;
    } else if (kind == "snapshot") {
        state.snapshot_offset = state.next_offset;
    } else if (find_change(state, change_id) == nullptr) {
        outcome = apply_change(state, parsed.is_object() ? parsed : json::object(), kind);
        if (outcome == change_outcome::accepted) {
            state.version = state.next_offset + 1;
        }
        add_recent_change(state, change_id, outcome);
    }
    ++state.next_offset;
    return outcome;
}

result<configuration_state> read_snapshot(std::string_view record) {
    const json parsed = json::parse(record, nullptr, false);
    if (!parsed.is_object() || text_of(parsed, "kind") != "snapshot" || !parsed.contains("state")) {
        return failure{"not a snapshot"};
    }
    configuration_state state;
    try {
        const json& source = parsed.at("state");
        state.next_offset = number_of(source, "next_offset");
        state.version = number_of(source, "version");
        state.document_version = number_of(source, "document_version");
        state.document_text = text_of(source, "document");
        read_lists(source, state);
    } catch (const json::exception& error) {
        return failure{std::string("bad snapshot: ") + error.what()};
    }
    if (state.document_version > 0) {
        auto read = read_configuration({"snapshot", state.document_text}, std::nullopt);
        if (!read.value) {
            return failure{"bad document in a snapshot: " + to_text(read.errors)};
        }
        state.document = std::move(*read.value);
    }
    return state;
}

const change_record* find_change(const configuration_state& state, std::string_view change_id) {
    if (change_id.empty()) {
        return nullptr;
    }
    const auto same_id = [change_id](const change_record& change) { return change.change_id == change_id; };
    const auto found = std::find_if(state.recent_changes.begin(), state.recent_changes.end(), same_id);
    return found == state.recent_changes.end() ? nullptr : &*found;
}

std::string state_fingerprint(const configuration_state& state) {
    return sha256_hex(state_json(state).dump());
}

std::string slot_name(std::string_view zone, std::uint32_t slot) {
    return std::string(zone) + "/" + std::to_string(slot);
}

} // namespace dandelionmount
