#ifndef DANDELIONMOUNT_CONNECTION_HTTP_CLIENT_H
#define DANDELIONMOUNT_CONNECTION_HTTP_CLIENT_H

#include "dandelionmount/connection/response_receiver.h"
#include "dandelionmount/connection/http_headers.h"
#include "dandelionmount/process/result.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstddef>
#include <optional>
#include <string>

namespace dandelionmount {

/// A keep-alive connection to one server, opened on demand and reused after successful exchanges if
/// the server keeps it open. One exchange at a time.
class http_client {
public:
    /// `address` is "IP:PORT"; `max_response_bytes` limits the body of a response.
    http_client(std::string address, std::size_t max_response_bytes);

    /// Connects if necessary, sends a request and receives its response, all within `timeout`. Sets the Host
    /// header.
    boost::asio::awaitable<result<http_response>> exchange(http_request request, duration timeout);

private:
    struct connection {
        explicit connection(const boost::asio::any_io_executor& executor) : stream(executor) {}
        boost::beast::tcp_stream stream;
        boost::beast::flat_buffer buffer{max_unparsed_bytes};
    };

    boost::asio::awaitable<result<void>> connect();
    boost::asio::awaitable<result<received_response>>
    exchange_over(connection& open, const http_request& request, steady_time deadline);

    std::string address_;
    std::size_t max_response_bytes_;
    std::optional<connection> open_;
};

/// Performs one exchange on a new connection, which is closed afterwards.
[[nodiscard]] boost::asio::awaitable<result<http_response>>
http_exchange(std::string address, http_request request, duration timeout, std::size_t max_response_bytes);

} // namespace dandelionmount

#endif
