#include "dandelionmount/connection/http_client.h"

#include "dandelionmount/connection/address.h"
#include "dandelionmount/connection/response_receiver.h"
#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/connection/socket_options.h"

#include <boost/asio/this_coro.hpp>
#include <boost/beast/http/write.hpp>

namespace dandelionmount {

namespace asio = boost::asio;
namespace http = boost::beast::http;

http_client::http_client(std::string address, std::size_t max_response_bytes)
    : address_(std::move(address)), max_response_bytes_(max_response_bytes) {}

asio::awaitable<result<http_response>> http_client::exchange(http_request request, duration timeout) {
    const auto executor = co_await asio::this_coro::executor;
    if (open_ && !is_idle(open_->stream.socket())) {
        open_.reset();
    }
    const bool is_new = !open_;
    if (is_new) {
        open_.emplace(executor);
    }
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    open_->stream.expires_at(deadline);
    if (is_new) {
        const auto connected = co_await connect();
        if (!connected) {
            open_.reset();
            co_return connected.error();
        }
    }
    request.set(http::field::host, address_);
    request.prepare_payload();
    auto response = co_await exchange_over(*open_, request, deadline);
    if (!response || !response.value().keep_alive) {
        open_.reset();
    } else {
        open_->stream.expires_never();
    }
    if (!response) {
        co_return response.error();
    }
    co_return std::move(response.value().message);
}

asio::awaitable<result<void>> http_client::connect() {
    const auto parsed = parse_address(address_);
    if (!parsed) {
        co_return failure{address_ + ": expected IP:PORT"};
    }
    auto [error] =
        co_await open_->stream.async_connect(asio::ip::tcp::endpoint(parsed->ip, parsed->port), as_result);
    if (error) {
        co_return failure{"connect: " + error.message()};
    }
    boost::system::error_code ignored;
    open_->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    co_return boost::outcome_v2::success();
}

asio::awaitable<result<received_response>>
http_client::exchange_over(connection& open, const http_request& request, steady_time deadline) {
    auto [write_error, written] = co_await http::async_write(open.stream, request, as_result);
    if (write_error) {
        co_return failure{"send: " + write_error.message()};
    }
    const response_limits limits{max_response_bytes_, deadline};
    const bool is_head_response = request.method() == http::verb::head;
    auto response = co_await receive_response(open.stream, open.buffer, is_head_response, limits);
    if (response.error) {
        co_return failure{"receive: " + response.error.message()};
    }
    co_return response;
}

asio::awaitable<result<http_response>> http_exchange(std::string address, http_request request,
                                                     duration timeout, std::size_t max_response_bytes) {
    http_client client(std::move(address), max_response_bytes);
    auto response = co_await client.exchange(std::move(request), timeout);
    co_return response;
}

} // namespace dandelionmount
