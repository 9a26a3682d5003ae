#ifndef DANDELIONMOUNT_PROCESS_OPERATOR_SERVICE_H
#define DANDELIONMOUNT_PROCESS_OPERATOR_SERVICE_H

#include "dandelionmount/process/claim_service.h"
#include "dandelionmount/process/configuration_store.h"
#include "dandelionmount/process/gossip_service.h"
#include "dandelionmount/process/local_target.h"
#include "dandelionmount/process/log_reader.h"
#include "dandelionmount/process/membership.h"
#include "dandelionmount/process/metrics.h"

#include <functional>
#include <jsonrpccpp/server/abstractserver.h>
#include <string>

namespace dandelionmount {

/// Dependencies of an operator service. All of them outlive it.
struct operator_context {
    const time_source& time;
    metrics& counters;
    configuration_store& configuration;
    const member_table& members;
    const slot_lease& lease;
    gossip_service& gossip;
    log_reader& log;
    claim_service& claims;
    local_target& target;
    std::function<void(bool)> set_drain;
};

/// JSON-RPC methods for operators. A change is answered with its id; `change` returns its outcome.
class operator_service : public jsonrpc::AbstractServer<operator_service> {
public:
    operator_service(operator_context context, jsonrpc::AbstractServerConnector& connector);

    /// The state of this process as JSON.
    [[nodiscard]] std::string status_text() const;

private:
    void status(const Json::Value& request, Json::Value& response);
    void show(const Json::Value& request, Json::Value& response);
    void check(const Json::Value& request, Json::Value& response);
    void apply(const Json::Value& request, Json::Value& response);
    void change(const Json::Value& request, Json::Value& response);
    void give_key(const Json::Value& request, Json::Value& response);
    void withdraw_key(const Json::Value& request, Json::Value& response);
    void withdrawal(const Json::Value& request, Json::Value& response);
    void list_keys(const Json::Value& request, Json::Value& response);
    void drain(const Json::Value& request, Json::Value& response);

    [[nodiscard]] Json::Value status_value() const;
    [[nodiscard]] Json::Value member_values() const;
    /// Probes the hosts that have not confirmed the configuration in force, and returns their names.
    [[nodiscard]] Json::Value probe_unconfirmed();
    [[nodiscard]] bool has_withdrawal(const wire::member_record& member, const std::string& key_id) const;

    operator_context context_;
};

} // namespace dandelionmount

#endif
