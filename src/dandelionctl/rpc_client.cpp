// Compiled as C++14: the client headers of libjson-rpc-cpp use dynamic exception specifications, which C++17
// removed.

#include "dandelionctl/rpc_client.h"

#include <jsonrpccpp/client.h>

namespace dandelionctl {

namespace {

class transport_connector : public jsonrpc::IClientConnector {
public:
    explicit transport_connector(const rpc_transport& transport) : transport_(transport) {}
    void SendRPCMessage(const std::string& message,
                        std::string& result) throw(jsonrpc::JsonRpcException) override {
        if (!transport_(message, result)) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, result);
        }
    }

private:
    const rpc_transport& transport_;
};

} // namespace

rpc_result rpc_call(const rpc_transport& transport, const std::string& method,
                    const Json::Value& parameters) {
    transport_connector connector(transport);
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    try {
        return {true, client.CallMethod(method, parameters), ""};
    } catch (const jsonrpc::JsonRpcException& error) {
        return {false, Json::Value(), error.what()};
    }
}

} // namespace dandelionctl
