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

/// One connection to a server, opened when it is needed and kept while exchanges end well. One exchange at a
/// time.
class http_client {
public:
    http_client(std::string address, std::size_t most_answer_bytes);

    /// Sends a request and waits for its answer, `limit` at the longest.
    boost::asio::awaitable<result<http_response>> exchange(http_request request, duration limit);

private:
    struct connection {
        explicit connection(const boost::asio::any_io_executor& executor) : stream(executor) {}
        boost::beast::tcp_stream stream;
        boost::beast::flat_buffer buffer{most_unparsed_bytes};
    };

    boost::asio::awaitable<result<void>> connect();
    boost::asio::awaitable<result<received_response>>
    exchange_on(connection& open, const http_request& request, steady_time deadline);

    std::string address_;
    std::size_t most_answer_bytes_;
    std::optional<connection> open_;
};

/// One request on a connection of its own.
[[nodiscard]] boost::asio::awaitable<result<http_response>>
http_exchange(std::string address, http_request request, duration limit, std::size_t most_answer_bytes);

} // namespace dandelionmount

#endif
