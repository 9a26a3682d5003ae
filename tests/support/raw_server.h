#ifndef DANDELIONMOUNT_TESTS_RAW_SERVER_H
#define DANDELIONMOUNT_TESTS_RAW_SERVER_H

#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/connection/listen.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <string>

namespace tests {

/// How a server ends a connection on which it has not read the whole request.
enum class connection_end { none, half_close, reset, half_close_and_reset };

/// TCP server that sends a fixed response after each read, then keeps or closes the connection.
struct raw_server {
    explicit raw_server(std::string text, bool closes = false)
        : response(std::move(text)), closes_after_response(closes) {
        REQUIRE(dandelionmount::open_acceptor(acceptor, "127.0.0.1:0"));
        boost::asio::co_spawn(io, accept(), boost::asio::detached);
    }

    boost::asio::awaitable<void> accept() {
        while (true) {
            auto [error, socket] = co_await acceptor.async_accept(dandelionmount::as_result);
            if (error) {
                co_return;
            }
            ++connections;
            boost::asio::co_spawn(io, serve(std::move(socket)), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket) {
        std::array<char, 4096> bytes{};
        while (true) {
            auto [error, count] =
                co_await socket.async_read_some(boost::asio::buffer(bytes), dandelionmount::as_result);
            if (error) {
                ++closed_by_client;
                co_return;
            }
            received.append(bytes.data(), count);
            co_await send_response(socket);
            if (closes_after_response) {
                co_return;
            }
            if (end_after_response != connection_end::none) {
                co_await end_connection(socket);
                co_return;
            }
            if (!repeated.empty()) {
                co_await dandelionmount::sleep_for(io.get_executor(), pause);
                co_await send_repeatedly(socket);
                co_return;
            }
            if (reads_once) {
                boost::asio::steady_timer keep_open(io, std::chrono::hours(1));
                co_await keep_open.async_wait(dandelionmount::as_result);
            }
        }
    }

    boost::asio::awaitable<void> end_connection(boost::asio::ip::tcp::socket& socket) {
        co_await dandelionmount::sleep_for(io.get_executor(), pause);
        if (end_after_response != connection_end::reset) {
            socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
        }
        if (end_after_response != connection_end::half_close) {
            socket.set_option(boost::asio::socket_base::linger(true, 0));
            socket.close();
            co_return;
        }
        boost::asio::steady_timer keep_open(io, std::chrono::hours(1));
        co_await keep_open.async_wait(dandelionmount::as_result);
    }

    boost::asio::awaitable<void> send_response(boost::asio::ip::tcp::socket& socket) {
        const std::size_t piece_bytes = sends_bytewise ? 1 : std::max<std::size_t>(response.size(), 1);
        for (std::size_t sent_bytes = 0; sent_bytes < response.size(); sent_bytes += piece_bytes) {
            auto [error, count] = co_await boost::asio::async_write(
                socket, boost::asio::buffer(response.data() + sent_bytes, piece_bytes),
                dandelionmount::as_result);
            if (error) {
                co_return;
            }
            if (sends_bytewise) {
                co_await dandelionmount::sleep_for(io.get_executor(), std::chrono::milliseconds(1));
            }
        }
    }

    // Sends `repeated` until the client closes or `max_sent_bytes` are sent, then keeps the connection open.
    boost::asio::awaitable<void> send_repeatedly(boost::asio::ip::tcp::socket& socket) {
        for (std::size_t sent = 0; sent < max_sent_bytes;) {
            auto [error, count] = co_await boost::asio::async_write(socket, boost::asio::buffer(repeated),
                                                                    dandelionmount::as_result);
            if (error) {
                ++closed_by_client;
                co_return;
            }
            sent += count;
        }
        boost::asio::steady_timer keep_open(io, std::chrono::hours(1));
        co_await keep_open.async_wait(dandelionmount::as_result);
    }

    boost::asio::io_context io{1};
    boost::asio::ip::tcp::acceptor acceptor{io};
    std::string response;
    bool closes_after_response;
    connection_end end_after_response{connection_end::none};
    /// Whether to stop reading after the first read, and keep the connection open.
    bool reads_once{false};
    /// Whether to send the response one byte at a time, 1 ms apart.
    bool sends_bytewise{false};
    /// Bytes sent repeatedly, `pause` after the response; none by default.
    std::string repeated;
    /// Between the response and what follows it.
    std::chrono::milliseconds pause{0};
    std::size_t max_sent_bytes{4UL * 1024 * 1024};
    int connections{0};
    int closed_by_client{0};
    std::string received;
};

} // namespace tests

#endif
