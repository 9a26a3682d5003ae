#include "tests/support/relay.h"

#include "dandelionmount/connection/address.h"
#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/connection/listen.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

namespace tests {

namespace asio = boost::asio;
using asio::ip::tcp;
using dandelionmount::as_result;

relay::relay(asio::any_io_executor executor, std::string destination)
    : executor_(std::move(executor)), destination_(std::move(destination)), acceptor_(executor_) {}

std::string relay::listen() {
    const auto opened = dandelionmount::open_acceptor(acceptor_, "127.0.0.1:0");
    DANDELIONMOUNT_INVARIANT(opened);
    asio::co_spawn(executor_, accept_connections(), asio::detached);
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void relay::cut_connections() {
    boost::system::error_code ignored;
    for (const auto& relayed : pairs_) {
        relayed->downstream.close(ignored);
        relayed->upstream.close(ignored);
    }
}

void relay::drop_traffic() {
    for (const auto& relayed : pairs_) {
        relayed->drops_traffic = true;
    }
}

void relay::stop() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    cut_connections();
}

asio::awaitable<void> relay::accept_connections() {
    while (acceptor_.is_open()) {
        auto [error, socket] = co_await acceptor_.async_accept(as_result);
        if (error) {
            co_return;
        }
        auto relayed = std::make_shared<connection_pair>(executor_);
        relayed->downstream = std::move(socket);
        const auto address = dandelionmount::parse_address(destination_);
        auto [failed] =
            co_await relayed->upstream.async_connect(tcp::endpoint(address->ip, address->port), as_result);
        if (failed) {
            continue;
        }
        pairs_.insert(relayed);
        asio::co_spawn(executor_, copy(relayed, relayed->downstream, relayed->upstream), asio::detached);
        asio::co_spawn(executor_, copy(relayed, relayed->upstream, relayed->downstream), asio::detached);
    }
}

asio::awaitable<void> relay::copy(connection_pair_pointer relayed, tcp::socket& from, tcp::socket& to) {
    std::array<char, 65536> bytes{};
    while (true) {
        auto [error, count] = co_await from.async_read_some(asio::buffer(bytes), as_result);
        if (error) {
            break;
        }
        if (relayed->drops_traffic) {
            continue;
        }
        auto [write_error, written] =
            co_await asio::async_write(to, asio::buffer(bytes.data(), count), as_result);
        if (write_error) {
            break;
        }
    }
    boost::system::error_code ignored;
    if (!relayed->drops_traffic) {
        relayed->downstream.close(ignored);
        relayed->upstream.close(ignored);
    }
    pairs_.erase(relayed);
}

} // namespace tests
