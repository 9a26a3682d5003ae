#ifndef DANDELIONMOUNT_DANDELIONCTL_RPC_CLIENT_H
#define DANDELIONMOUNT_DANDELIONCTL_RPC_CLIENT_H

#include <functional>
#include <json/json.h>
#include <string>

namespace dandelionctl {

/// Carries one text to a node and brings its answer; false with the cause in `answer` when it can't.
using rpc_transport = std::function<bool(const std::string& message, std::string& answer)>;

/// The result of a call, or what went wrong.
struct rpc_answer {
    bool good;
    Json::Value value;
    std::string error;
};

/// Makes one JSON-RPC 2.0 call.
rpc_answer rpc_call(const rpc_transport& transport, const std::string& method, const Json::Value& parameters);

} // namespace dandelionctl

#endif
