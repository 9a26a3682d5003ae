#include "dandelionmount/process/operator_service.h"

#include "dandelionmount/process/crypto.h"

#include <json/json.h>

namespace dandelionmount {

namespace {

using jsonrpc::JSON_INTEGER;
using jsonrpc::JSON_OBJECT;
using jsonrpc::JSON_STRING;
using jsonrpc::PARAMS_BY_NAME;
using jsonrpc::Procedure;

constexpr std::size_t key_hash_digits = 64;

Json::Value error_values(const std::vector<file_error>& errors) {
    Json::Value values(Json::arrayValue);
    for (const auto& error : errors) {
        Json::Value value;
        value["file"] = error.file;
        value["line"] = error.line;
        value["key"] = error.key;
        value["allowed"] = error.allowed;
        values.append(value);
    }
    return values;
}

std::string outcome_name(change_outcome outcome) {
    switch (outcome) {
    case change_outcome::accepted:
        return "accepted";
    case change_outcome::conflict:
        return "conflict";
    case change_outcome::repeated:
        return "repeated";
    default:
        return "invalid";
    }
}

std::string target_state_name(wire::target_state state) {
    switch (state) {
    case wire::target_starting:
        return "starting";
    case wire::target_ready:
        return "ready";
    case wire::target_draining:
        return "draining";
    default:
        return "none";
    }
}

configuration_outcome read_files(const Json::Value& request) {
    const configuration_file base{request["base_name"].asString(), request["base"].asString()};
    std::optional<configuration_file> overlay;
    if (!request["overlay_name"].asString().empty()) {
        overlay = configuration_file{request["overlay_name"].asString(), request["overlay"].asString()};
    }
    return read_configuration(base, overlay);
}

Json::Value to_value(std::uint64_t number) {
    return Json::Value(static_cast<Json::UInt64>(number));
}

} // namespace

operator_service::operator_service(operator_context context, jsonrpc::AbstractServerConnector& connector)
    : jsonrpc::AbstractServer<operator_service>(connector, jsonrpc::JSONRPC_SERVER_V2),
      context_(std::move(context)) {
    using self = operator_service;
    bindAndAddMethod(Procedure("status", PARAMS_BY_NAME, JSON_OBJECT, NULL), &self::status);
    bindAndAddMethod(Procedure("show", PARAMS_BY_NAME, JSON_OBJECT, NULL), &self::show);
    bindAndAddMethod(Procedure("check", PARAMS_BY_NAME, JSON_OBJECT, "base", JSON_STRING, "base_name",
                               JSON_STRING, "overlay", JSON_STRING, "overlay_name", JSON_STRING, NULL),
                     &self::check);
    bindAndAddMethod(Procedure("apply", PARAMS_BY_NAME, JSON_OBJECT, "base", JSON_STRING, "base_name",
                               JSON_STRING, "overlay", JSON_STRING, "overlay_name", JSON_STRING, "change_id",
                               JSON_STRING, "from_version", JSON_INTEGER, NULL),
                     &self::apply);
    bindAndAddMethod(Procedure("change", PARAMS_BY_NAME, JSON_OBJECT, "change_id", JSON_STRING, NULL),
                     &self::change);
    bindAndAddMethod(Procedure("give_key", PARAMS_BY_NAME, JSON_OBJECT, "account", JSON_STRING, "key_hash",
                               JSON_STRING, "change_id", JSON_STRING, NULL),
                     &self::give_key);
    bindAndAddMethod(Procedure("withdraw_key", PARAMS_BY_NAME, JSON_OBJECT, "key_id", JSON_STRING, NULL),
                     &self::withdraw_key);
    bindAndAddMethod(Procedure("withdrawal", PARAMS_BY_NAME, JSON_OBJECT, "key_id", JSON_STRING, NULL),
                     &self::withdrawal);
    bindAndAddMethod(Procedure("list_keys", PARAMS_BY_NAME, JSON_OBJECT, NULL), &self::list_keys);
    bindAndAddMethod(Procedure("drain", PARAMS_BY_NAME, JSON_OBJECT, "on", jsonrpc::JSON_BOOLEAN, NULL),
                     &self::drain);
}

std::string operator_service::status_text() const {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, status_value()) + "\n";
}

Json::Value operator_service::member_values() const {
    Json::Value values(Json::arrayValue);
    const auto add = [&](const wire::member_record& member) {
        Json::Value value;
        value["host"] = member.host();
        value["zone"] = member.zone();
        value["slot"] = member.slot();
        value["address"] = member.address();
        value["state"] = member.state() == wire::member_alive  ? "alive"
                         : member.state() == wire::member_dead ? "dead"
                                                               : "left";
        value["service"] = member.service();
        value["target"] = target_state_name(member.target());
        const auto reported = context_.gossip.peer_configurations().find(member.host());
        if (reported != context_.gossip.peer_configurations().end()) {
            value["next_offset"] = to_value(reported->second.next_offset);
        }
        values.append(value);
    };
    add(context_.members.self);
    for (const auto& [host, member] : context_.members.others) {
        add(member);
    }
    return values;
}

Json::Value operator_service::status_value() const {
    const auto& state = context_.configuration.state();
    Json::Value value;
    value["host"] = context_.members.self.host();
    value["zone"] = context_.members.self.zone();
    value["incarnation"] = to_value(context_.members.self.incarnation());
    value["daemon"] = DANDELIONMOUNT_VERSION;
    value["version"] = to_value(state.version);
    value["document_version"] = to_value(state.document_version);
    value["next_offset"] = to_value(state.next_offset);
    value["ready"] = context_.configuration.is_ready();
    value["holds_slot"] = may_use_slot(context_.lease, context_.time.now());
    value["idempotency_records_complete"] = context_.claims.has_all_records();
    value["pending_withdrawals"] = to_value(context_.configuration.pending_withdrawals().size());
    const auto& target = context_.target.announced();
    value["target"]["service"] = target.service;
    value["target"]["state"] = target_state_name(target.state);
    value["target"]["slots"] = target.slots;
    const auto load = context_.target.load();
    value["target"]["in_flight"] = load.in_flight();
    value["target"]["queued"] = load.queued();
    value["target"]["limit"] = load.limit();
    value["target"]["share_of_demand"] = context_.target.share_of_demand();
    value["members"] = member_values();
    return value;
}

void operator_service::status(const Json::Value&, Json::Value& response) {
    response = status_value();
}

void operator_service::show(const Json::Value&, Json::Value& response) {
    response["document_version"] = to_value(context_.configuration.state().document_version);
    response["document"] = context_.configuration.state().document_text;
}

void operator_service::check(const Json::Value& request, Json::Value& response) {
    const auto outcome = read_files(request);
    response["errors"] = error_values(outcome.errors);
    response["document"] = outcome.value ? render_configuration(*outcome.value) : "";
}

void operator_service::apply(const Json::Value& request, Json::Value& response) {
    const auto outcome = read_files(request);
    response["errors"] = error_values(outcome.errors);
    if (!outcome.value) {
        return;
    }
    const std::string change_id = request["change_id"].asString();
    context_.log.submit(change_id, make_document_record(change_id, request["from_version"].asUInt64(),
                                                        render_configuration(*outcome.value)));
    response["change_id"] = change_id;
}

// Probes at once, as the regular rounds take seconds to reach every host of a fleet.
Json::Value operator_service::probe_unconfirmed() {
    Json::Value values(Json::arrayValue);
    for (const auto& host : context_.gossip.probe_outdated_hosts()) {
        values.append(context_.members.others.at(host).zone() + "/" + host);
    }
    return values;
}

void operator_service::change(const Json::Value& request, Json::Value& response) {
    const std::string change_id = request["change_id"].asString();
    const auto* known = find_change(context_.configuration.state(), change_id);
    if (known != nullptr) {
        response["outcome"] = outcome_name(known->outcome);
        response["version"] = to_value(known->version);
        if (known->outcome == change_outcome::accepted || known->outcome == change_outcome::repeated) {
            response["not_confirmed"] = probe_unconfirmed();
        }
    } else {
        response["outcome"] = context_.log.is_submitted(change_id) ? "pending" : "unknown";
    }
    response["document_version"] = to_value(context_.configuration.state().document_version);
}

void operator_service::give_key(const Json::Value& request, Json::Value& response) {
    const std::string account = request["account"].asString();
    const std::string hash = request["key_hash"].asString();
    if (find_account(context_.configuration.current(), account) == nullptr) {
        response["error"] = "no such client account: " + account;
        return;
    }
    if (hash.size() != key_hash_digits) {
        response["error"] = "key_hash must have 64 hexadecimal digits";
        return;
    }
    const std::string change_id = request["change_id"].asString();
    context_.log.submit(change_id, make_give_record(change_id, account, hash));
    response["change_id"] = change_id;
    response["key_id"] = key_id_of(hash);
}

// Takes effect here at once and on the peers soon, even if the platform is unreachable.
void operator_service::withdraw_key(const Json::Value& request, Json::Value& response) {
    const std::string key_id = request["key_id"].asString();
    if (key_id.empty()) {
        response["error"] = "key_id is missing";
        return;
    }
    context_.configuration.withdraw(key_id);
    const std::string change_id = "withdraw-" + key_id;
    context_.log.submit(change_id, make_withdraw_record(change_id, key_id));
    context_.gossip.schedule_gossip();
    context_.gossip.probe_all();
    response["key_id"] = key_id;
    response["change_id"] = change_id;
}

bool operator_service::has_withdrawal(const wire::member_record& member, const std::string& key_id) const {
    if (member.host() == context_.members.self.host()) {
        return context_.configuration.is_withdrawn(key_id);
    }
    const auto reported = context_.gossip.peer_configurations().find(member.host());
    if (reported == context_.gossip.peer_configurations().end()) {
        return false;
    }
    const auto& state = context_.configuration.state();
    const bool in_log = state.withdrawn.contains(key_id) && reported->second.next_offset >= state.version;
    return in_log || reported->second.pending_withdrawals.contains(key_id);
}

void operator_service::withdrawal(const Json::Value& request, Json::Value& response) {
    const std::string key_id = request["key_id"].asString();
    std::map<std::string, std::pair<int, int>> zones;
    for (const auto& zone : context_.configuration.zones()) {
        zones[zone.name] = {0, static_cast<int>(zone.hosts)};
    }
    const auto count = [&](const wire::member_record& member) {
        auto& [confirmed, hosts] = zones[member.zone()];
        confirmed += has_withdrawal(member, key_id) ? 1 : 0;
    };
    count(context_.members.self);
    for (const auto& [host, member] : context_.members.others) {
        if (member.state() == wire::member_alive) {
            count(member);
        }
    }
    context_.gossip.probe_all();
    response["withdrawn"] = context_.configuration.is_withdrawn(key_id);
    response["in_log"] = context_.configuration.state().withdrawn.contains(key_id);
    response["zones"] = Json::Value(Json::objectValue);
    for (const auto& [zone, counts] : zones) {
        response["zones"][zone]["confirmed"] = counts.first;
        response["zones"][zone]["hosts"] = counts.second;
    }
}

void operator_service::list_keys(const Json::Value&, Json::Value& response) {
    response["keys"] = Json::Value(Json::arrayValue);
    const auto add = [&](const std::string& account, const std::string& key_id, const char* source) {
        Json::Value value;
        value["account"] = account;
        value["key_id"] = key_id;
        value["source"] = source;
        value["withdrawn"] = context_.configuration.is_withdrawn(key_id);
        response["keys"].append(value);
    };
    for (const auto& account : context_.configuration.current().accounts) {
        for (const auto& hash : account.keys) {
            add(account.name, key_id_of(hash), "file");
        }
    }
    for (const auto& [id, key] : context_.configuration.state().given_keys) {
        add(key.account, id, "command");
    }
}

void operator_service::drain(const Json::Value& request, Json::Value& response) {
    context_.set_drain(request["on"].asBool());
    response["draining"] = request["on"].asBool();
}

} // namespace dandelionmount
