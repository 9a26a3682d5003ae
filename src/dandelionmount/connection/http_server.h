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

/// Handles one request; the token is cancelled when the caller disconnects.
using http_handler =
    std::function<boost::asio::awaitable<http_response>(http_request, std::shared_ptr<cancel_token>)>;

/// Accepts HTTP/1.1 connections and serves the requests of each in sequence.
class http_server {
public:
    http_server(boost::asio::any_io_executor executor, const caller_limits& limits, metrics& counters,
                http_handler handler, http_protocol protocol = {});

    /// Opens the port; fails with the system's error message.
    result<void> listen(std::string_view address);
    /// Changes the limits for requests that arrive from now on.
    void set_limits(const caller_limits& limits) { limits_ = limits; }
    /// Closes each open connection after its next response.
    void disable_keep_alive() { draining_ = true; }
    /// Accepts no new connections; closes open ones after their next response.
    void drain();
    /// Closes connections that wait for a request; a request that has already arrived is still served.
    void close_idle();
    [[nodiscard]] std::size_t connections() const { return connections_.size(); }
    /// Number of connections with a request in progress: from its first bytes until its response is fully
    /// written.
    [[nodiscard]] std::size_t busy() const;
    /// Logs the requests in progress, counts them in the metrics and returns their number.
    std::size_t log_unanswered(std::string_view cause);

private:
    enum class phase { idle, receiving, working, sending };
    struct connection {
        explicit connection(boost::asio::ip::tcp::socket socket) : stream(std::move(socket)) {}
        boost::beast::tcp_stream stream;
        boost::beast::flat_buffer buffer;
        phase current_phase{phase::idle};
        /// The request id where callers set it; empty until the request has arrived.
        std::string request_id;
        /// How the caller's disconnection was detected.
        std::string_view disconnect_cause;
        /// Whether the request took too long to arrive.
        bool receive_timed_out{false};
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
    boost::asio::awaitable<bool> respond(connection_pointer conn, http_request request);
    boost::asio::awaitable<void> refuse(connection_pointer conn, reason why);
    void record_unanswered(const connection& conn, std::string_view cause);
    [[nodiscard]] static std::string_view phase_name(phase which);
    boost::asio::awaitable<void> watch_for_disconnect(connection_pointer conn,
                                                      std::shared_ptr<cancel_token> cancel,
                                                      std::shared_ptr<bool> done);
    boost::asio::awaitable<void> watch_half_closed(connection_pointer conn,
                                                   std::shared_ptr<cancel_token> cancel,
                                                   std::shared_ptr<bool> done);
    [[nodiscard]] bool has_left(connection& conn) const;
    [[nodiscard]] static bool read_ahead(connection& conn);

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
