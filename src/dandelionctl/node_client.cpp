#include "dandelionctl/node_client.h"

#include "dandelionctl/rpc_client.h"
#include "dandelionmount/connection/http_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace dandelionctl {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto response_timeout = std::chrono::seconds(10);
constexpr std::size_t max_response_bytes = 256UL * 1024 * 1024;

asio::awaitable<void> exchange_into(std::string address, dandelionmount::http_request request,
                                    bool& succeeded, std::string& response) {
    const auto outcome = co_await dandelionmount::http_exchange(address, std::move(request), response_timeout,
                                                                max_response_bytes);
    succeeded = outcome.has_value();
    response = succeeded ? outcome.value().body() : address + ": " + outcome.error().message;
}

bool exchange(const std::string& address, dandelionmount::http_request request, std::string& response) {
    asio::io_context io(1);
    bool succeeded = false;
    asio::co_spawn(io, exchange_into(address, std::move(request), succeeded, response), asio::detached);
    io.run();
    return succeeded;
}

} // namespace

std::optional<Json::Value> node_client::call(const std::string& method, const Json::Value& parameters) {
    const rpc_transport transport = [this](const std::string& message, std::string& response) {
        dandelionmount::http_request request{http::verb::post, "/", 11};
        request.set(http::field::content_type, "application/json");
        request.body() = message;
        return exchange(address_, std::move(request), response);
    };
    const rpc_result result = rpc_call(transport, method, parameters);
    error_ = result.error;
    return result.succeeded ? std::optional<Json::Value>(result.value) : std::nullopt;
}

std::optional<std::string> node_client::get(const std::string& path) {
    std::string response;
    const bool succeeded =
        exchange(address_, dandelionmount::http_request{http::verb::get, path, 11}, response);
    error_ = succeeded ? "" : response;
    return succeeded ? std::optional<std::string>(response) : std::nullopt;
}

} // namespace dandelionctl
