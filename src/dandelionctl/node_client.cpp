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

constexpr auto answer_limit = std::chrono::seconds(10);
constexpr std::size_t most_answer = 256UL * 1024 * 1024;

asio::awaitable<void> exchange_into(std::string address, dandelionmount::http_request request, bool& good,
                                    std::string& answer) {
    const auto outcome =
        co_await dandelionmount::http_exchange(address, std::move(request), answer_limit, most_answer);
    good = outcome.has_value();
    answer = good ? outcome.value().body() : address + ": " + outcome.error().message;
}

bool exchange(const std::string& address, dandelionmount::http_request request, std::string& answer) {
    asio::io_context io(1);
    bool good = false;
    asio::co_spawn(io, exchange_into(address, std::move(request), good, answer), asio::detached);
    io.run();
    return good;
}

} // namespace

std::optional<Json::Value> node_client::call(const std::string& method, const Json::Value& parameters) {
    const rpc_transport transport = [this](const std::string& message, std::string& answer) {
        dandelionmount::http_request request{http::verb::post, "/", 11};
        request.set(http::field::content_type, "application/json");
        request.body() = message;
        return exchange(address_, std::move(request), answer);
    };
    const rpc_answer answer = rpc_call(transport, method, parameters);
    error_ = answer.error;
    return answer.good ? std::optional<Json::Value>(answer.value) : std::nullopt;
}

std::optional<std::string> node_client::get(const std::string& path) {
    std::string answer;
    const bool good = exchange(address_, dandelionmount::http_request{http::verb::get, path, 11}, answer);
    error_ = good ? "" : answer;
    return good ? std::optional<std::string>(answer) : std::nullopt;
}

} // namespace dandelionctl
