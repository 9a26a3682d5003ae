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

/// A server that sends fixed bytes for whatever it reads, then keeps or closes the connection.
struct raw_server {
    explicit raw_server(std::string text, bool closes = false)
        : answer(std::move(text)), closes_after(closes) {
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
                ++closed_by_caller;
                co_return;
            }
            received.append(bytes.data(), count);
            co_await send_answer(socket);
            if (closes_after) {
                co_return;
            }
            if (!repeated.empty()) {
                co_await dandelionmount::sleep_for(io.get_executor(), pause);
                co_await send_without_end(socket);
                co_return;
            }
            if (reads_once) {
                boost::asio::steady_timer stays_open(io, std::chrono::hours(1));
                co_await stays_open.async_wait(dandelionmount::as_result);
            }
        }
    }

    boost::asio::awaitable<void> send_answer(boost::asio::ip::tcp::socket& socket) {
        const std::size_t piece = sends_bytewise ? 1 : std::max<std::size_t>(answer.size(), 1);
        for (std::size_t at = 0; at < answer.size(); at += piece) {
            auto [error, count] = co_await boost::asio::async_write(
                socket, boost::asio::buffer(answer.data() + at, piece), dandelionmount::as_result);
            if (error) {
                co_return;
            }
            if (sends_bytewise) {
                co_await dandelionmount::sleep_for(io.get_executor(), std::chrono::milliseconds(1));
            }
        }
    }

    // Stops when the caller closes, or after so many bytes that the caller plainly sets no limit.
    boost::asio::awaitable<void> send_without_end(boost::asio::ip::tcp::socket& socket) {
        for (std::size_t sent = 0; sent < most_sent;) {
            auto [error, count] = co_await boost::asio::async_write(socket, boost::asio::buffer(repeated),
                                                                    dandelionmount::as_result);
            if (error) {
                ++closed_by_caller;
                co_return;
            }
            sent += count;
        }
        boost::asio::steady_timer stays_open(io, std::chrono::hours(1));
        co_await stays_open.async_wait(dandelionmount::as_result);
    }

    boost::asio::io_context io{1};
    boost::asio::ip::tcp::acceptor acceptor{io};
    std::string answer;
    bool closes_after;
    // Reads no more after the first bytes, and keeps the connection.
    bool reads_once{false};
    bool sends_bytewise{false};
    // Follows the answer again and again, after a pause.
    std::string repeated;
    std::chrono::milliseconds pause{0};
    std::size_t most_sent{4UL * 1024 * 1024};
    int connections{0};
    int closed_by_caller{0};
    std::string received;
};

} // namespace tests

#endif
