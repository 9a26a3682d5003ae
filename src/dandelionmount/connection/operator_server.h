#ifndef DANDELIONMOUNT_CONNECTION_OPERATOR_SERVER_H
#define DANDELIONMOUNT_CONNECTION_OPERATOR_SERVER_H

#include "dandelionmount/connection/http_server.h"
#include "dandelionmount/process/metrics.h"

#include <functional>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <memory>
#include <string>

namespace dandelionmount {

/// Connects the JSON-RPC library's server to HTTP connections managed here.
class rpc_connector : public jsonrpc::AbstractServerConnector {
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }
    bool SendResponse(const std::string& response, void* destination) override;
    /// Processes one JSON-RPC 2.0 request.
    [[nodiscard]] std::string handle_request(const std::string& request);
};

/// Serves operators: `GET /metrics`, `GET /status`, and JSON-RPC 2.0 by `POST /`.
class operator_server {
public:
    operator_server(boost::asio::any_io_executor executor, const caller_limits& limits, metrics& counters,
                    rpc_connector& connector, std::function<std::string()> status);

    result<void> listen(std::string_view address) { return server_.listen(address); }
    [[nodiscard]] http_server& server() { return server_; }

private:
    boost::asio::awaitable<http_response> handle_request(http_request request);

    metrics& counters_;
    rpc_connector& connector_;
    std::function<std::string()> status_;
    http_server server_;
};

} // namespace dandelionmount

#endif
