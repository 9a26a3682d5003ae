#ifndef DANDELIONMOUNT_CONNECTION_RESPONSE_RECEIVER_H
#define DANDELIONMOUNT_CONNECTION_RESPONSE_RECEIVER_H

#include "dandelionmount/connection/http_headers.h"
#include "dandelionmount/process/byte_budget.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstddef>

namespace dandelionmount {

/// Limit for response headers, in bytes; the same as the default limit for request headers.
constexpr std::size_t max_response_head_bytes = 16UL * 1024;
/// Capacity of the parse buffer, in bytes: one header section, plus bytes that were read together with its
/// end.
constexpr std::size_t max_unparsed_bytes = max_response_head_bytes + 4096;
/// Limit for interim responses to one request. Servers send 100, 102 or 103, each once or a few times.
constexpr int max_interim_responses = 8;

/// Limits for one response.
struct response_limits {
    std::size_t body_bytes;
    /// Time by which the response must be complete, on the clock of the stream's timer.
    steady_time deadline;
    /// Memory budget shared with other responses; nullptr where few responses are received concurrently.
    byte_reservation* memory{nullptr};
};

/// A final response, or the error that prevented its reception.
struct received_response {
    /// A response above a limit yields an error for which `is_too_large` is true; bytes that are not a
    /// response, a status below 100, and fields that are folded over several lines yield an error of the HTTP
    /// parser.
    boost::system::error_code error;
    /// Whether any byte arrived, of a response or not.
    bool has_started{false};
    /// Whether the response ends when the connection closes (close-delimited).
    bool close_delimited{false};
    /// Whether the connection can be reused: the response keeps it alive and no bytes follow.
    bool keep_alive{false};
    http_response message;
};

/// Receives the next final response and discards interim ones before it. The buffer holds at most
/// `max_unparsed_bytes`. The connection must not be reused after an error.
[[nodiscard]] boost::asio::awaitable<received_response> receive_response(boost::beast::tcp_stream& stream,
                                                                         boost::beast::flat_buffer& buffer,
                                                                         bool is_head_response,
                                                                         response_limits limits);
/// Whether the response was abandoned because it exceeded a limit.
[[nodiscard]] bool is_too_large(const boost::system::error_code& error);

} // namespace dandelionmount

#endif
