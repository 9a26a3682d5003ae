#include "dandelionmount/connection/operator_server.h"

namespace dandelionmount {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr unsigned ok = 200;
constexpr unsigned not_found = 404;

} // namespace

std::string rpc_connector::handle_request(const std::string& request) {
    std::string response;
    OnRequest(request, &response);
    return response;
}

bool rpc_connector::SendResponse(const std::string& response, void* destination) {
    *static_cast<std::string*>(destination) = response;
    return true;
}

operator_server::operator_server(asio::any_io_executor executor, const caller_limits& limits,
                                 metrics& counters, rpc_connector& connector,
                                 std::function<std::string()> status)
    : counters_(counters), connector_(connector), status_(std::move(status)),
      server_(std::move(executor), limits, counters,
              [this](http_request request, std::shared_ptr<cancel_token>) {
                  return handle_request(std::move(request));
              }) {}

asio::awaitable<http_response> operator_server::handle_request(http_request request) {
    const std::string path(request.target());
    if (request.method() == http::verb::get && path == "/metrics") {
        co_return make_text_response(ok, "text/plain; version=0.0.4", counters_.render());
    }
    if (request.method() == http::verb::get && path == "/status") {
        co_return make_text_response(ok, "application/json", status_());
    }
    if (request.method() == http::verb::post) {
        co_return make_text_response(ok, "application/json", connector_.handle_request(request.body()));
    }
    co_return make_text_response(not_found, "text/plain",
                                 "GET /metrics, GET /status or POST / with JSON-RPC 2.0\n");
}

} // namespace dandelionmount
