#ifndef DANDELIONMOUNT_CONNECTION_HTTP_SERVER_H
#define DANDELIONMOUNT_CONNECTION_HTTP_SERVER_H

#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/connection/http_headers.h"
#include "dandelionmount/process/metrics.h"
#include "dandelionmount/process/result.h"
#include "dandelionmount/process/settings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace dandelionmount {

/// Answers one request; the token is asked to cancel when the caller is gone.
using http_handler =
    std::function<boost::asio::awaitable<http_response>(http_request, std::shared_ptr<cancel_token>)>;

/// Accepts HTTP/1.1 connections and answers their requests one after another.
class http_server {
public:
    http_server(boost::asio::any_io_executor executor, const caller_limits& limits, metrics& counters,
                http_handler handler, http_protocol protocol = {});

    /// Opens the port; fails with the system's message.
    result<void> listen(std::string_view address);
    /// Puts other limits in force for requests that arrive from now on.
    void set_limits(const caller_limits& limits) { limits_ = limits; }
    /// Asks callers to leave: each connection that is open is closed after its next answer.
    void disable_keep_alive() { draining_ = true; }
    /// Takes no new connection; those that are open are closed after their next answer.
    void drain();
    /// Closes connections that wait for a request; one that has arrived meanwhile is still answered.
    void close_idle();
    [[nodiscard]] std::size_t connections() const { return connections_.size(); }
    /// Requests that have begun to arrive and whose answers are not written whole.
    [[nodiscard]] std::size_t busy() const;
    /// Logs each request that has begun to arrive and has not been answered whole, and counts them.
    std::size_t log_unanswered(std::string_view cause);

private:
    enum class phase { idle, receiving, working, sending };
    struct connection {
        explicit connection(boost::asio::ip::tcp::socket socket) : stream(std::move(socket)) {}
        boost::beast::tcp_stream stream;
        boost::beast::flat_buffer buffer;
        phase now{phase::idle};
        /// The caller's name for the request, where callers name them; empty until it has arrived.
        std::string request;
        /// How the caller was seen to be gone.
        std::string_view gone;
        /// Whether the request took too long to arrive.
        bool too_slow{false};
    };
    using connection_pointer = std::shared_ptr<connection>;
    enum class receive_outcome { request, refused, ended };

    boost::asio::awaitable<void> accept_connections();
    boost::asio::awaitable<void> serve(connection_pointer conn);
    boost::asio::awaitable<void> serve_requests(connection_pointer conn);
    boost::asio::awaitable<http_response> handle(http_request request, std::shared_ptr<cancel_token> cancel);
    boost::asio::awaitable<receive_outcome> receive(connection_pointer conn, http_request& request);
    boost::asio::awaitable<boost::system::error_code> wait_for_first_bytes(connection_pointer conn);
    boost::asio::awaitable<boost::system::error_code>
    read_request(connection_pointer conn,
                 boost::beast::http::request_parser<boost::beast::http::string_body>& parser);
    boost::asio::awaitable<bool> answer(connection_pointer conn, http_request request);
    boost::asio::awaitable<void> refuse(connection_pointer conn, reason why);
    void note_unanswered(const connection& conn, std::string_view cause);
    [[nodiscard]] static std::string_view phase_name(phase which);
    boost::asio::awaitable<void> watch(connection_pointer conn, std::shared_ptr<cancel_token> cancel,
                                       std::shared_ptr<bool> done);

    boost::asio::any_io_executor executor_;
    caller_limits limits_;
    metrics& counters_;
    http_handler handler_;
    http_protocol protocol_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::set<connection_pointer> connections_;
    bool draining_{false};
};

} // namespace dandelionmount

#endif
