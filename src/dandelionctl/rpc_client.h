#ifndef DANDELIONMOUNT_DANDELIONCTL_RPC_CLIENT_H
#define DANDELIONMOUNT_DANDELIONCTL_RPC_CLIENT_H

#include <functional>
#include <json/json.h>
#include <string>

namespace dandelionctl {

/// Sends a message to a node and stores its response. On failure returns false with the cause in `response`.
using rpc_transport = std::function<bool(const std::string& message, std::string& response)>;

/// The value that a call returned, or its error.
struct rpc_result {
    bool succeeded;
    Json::Value value;
    std::string error;
};

/// Makes one JSON-RPC 2.0 call.
rpc_result rpc_call(const rpc_transport& transport, const std::string& method, const Json::Value& parameters);

} // namespace dandelionctl

#endif
