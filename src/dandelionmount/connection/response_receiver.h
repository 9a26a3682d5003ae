#ifndef DANDELIONMOUNT_CONNECTION_RESPONSE_RECEIVER_H
#define DANDELIONMOUNT_CONNECTION_RESPONSE_RECEIVER_H

#include "dandelionmount/connection/http_headers.h"
#include "dandelionmount/process/byte_budget.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstddef>

namespace dandelionmount {

/// Bytes of a head. The default limit for the heads of callers' requests is the same.
constexpr std::size_t most_answer_head_bytes = 16UL * 1024;
/// Bytes of an answer that may wait to be parsed: a head, and some that were read with its end.
constexpr std::size_t most_unparsed_bytes = most_answer_head_bytes + 4096;
/// Interim answers to one request. Servers send 100, 102 or 103, each once or a few times.
constexpr int most_interim_answers = 8;

/// What one answer may cost.
struct response_limits {
    std::size_t body_bytes;
    /// The latest time at which it may end, by the clock of the stream's timer.
    steady_time deadline;
    /// Memory shared with other answers; nullptr where few answers are received at a time.
    byte_reservation* memory{nullptr};
};

/// A final answer, or the error that kept it from being received.
struct received_response {
    /// An answer above a limit gives one of those that `is_too_large` names; bytes that are no answer give an
    /// error of the HTTP parser.
    boost::system::error_code error;
    /// Whether any byte came.
    bool began{false};
    /// Whether the answer ends with its connection.
    bool unframed{false};
    /// Whether the answer leaves the connection open, with nothing behind it.
    bool keep_alive{false};
    http_response message;
};

/// Receives the next final answer and drops interim ones before it. The buffer holds at most
/// `most_unparsed_bytes`. The connection is of no use after an error.
[[nodiscard]] boost::asio::awaitable<received_response> receive_response(boost::beast::tcp_stream& stream,
                                                                         boost::beast::flat_buffer& buffer,
                                                                         bool answers_head,
                                                                         response_limits limits);
/// Whether an answer was given up on since it was too large.
[[nodiscard]] bool is_too_large(const boost::system::error_code& error);

} // namespace dandelionmount

#endif
