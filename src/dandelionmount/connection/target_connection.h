#ifndef DANDELIONMOUNT_CONNECTION_TARGET_CONNECTION_H
#define DANDELIONMOUNT_CONNECTION_TARGET_CONNECTION_H

#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/connection/http_headers.h"
#include "dandelionmount/process/byte_budget.h"
#include "dandelionmount/process/clock.h"
#include "dandelionmount/wire/peer.pb.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dandelionmount {

/// Address of a target process.
struct target_address {
    boost::asio::ip::tcp::endpoint endpoint;
    /// Identifies the target's process, where the protocol has a header for it.
    std::string instance;
};

/// What a target says of itself in a response.
struct target_signals {
    /// The target's process that responded.
    std::string instance;
    /// When the request was sent.
    steady_time sent_at;
    /// Requests per second that it takes from all hosts together; nullopt if it names no limit.
    std::optional<double> rate_limit;
    bool is_leaving{false};
};

/// Calls to the target of this host. Connections are kept open, and only idempotent requests reuse them.
class target_connections {
public:
    /// `max_response_bytes` limits the body of one response; responses being received share `memory`.
    target_connections(boost::asio::any_io_executor executor, const time_source& time,
                       std::size_t max_response_bytes, std::shared_ptr<byte_budget> memory,
                       http_protocol protocol = {});

    /// Sends the request to the target and waits for the complete response. The outcome is `ran` only for a
    /// framed, complete response that belongs to the request (close-delimited only where the protocol accepts
    /// that and the target closed the connection without a reset), and `not_run` only when the request was
    /// not sent or the target says so. The target is told to finish by `finish_by` where that is before the
    /// deadline. An idempotent request that an idle connection loses without a response
    /// is sent again, and the outcome is that of the second attempt. Cancellation closes the connection, by
    /// which the target can detect it.
    boost::asio::awaitable<wire::forward_reply>
    call(target_address target, const wire::forward_request& request, steady_time deadline,
         std::shared_ptr<cancel_token> cancel, steady_time finish_by = steady_time::max());
    /// Whether nothing listens at the address: the target's process has ended. False if the connection is
    /// accepted or gets no response soon.
    boost::asio::awaitable<bool> refuses_connections(boost::asio::ip::tcp::endpoint target);
    /// Sets the action to run with each complete response, before the response is returned.
    void on_signals(std::function<void(const target_signals&)> action) { signal_action_ = std::move(action); }
    /// Closes idle connections that can't be reused: expired ones, and those with unread input or an end of
    /// stream.
    void close_unusable();
    /// Closes all idle connections, as the process that they lead to may have been replaced.
    void drop_idle() { idle_.clear(); }

private:
    struct connection {
        explicit connection(const boost::asio::any_io_executor& executor) : stream(executor) {}
        boost::beast::tcp_stream stream;
        steady_time usable_until;
    };
    using connection_pointer = std::shared_ptr<connection>;
    /// Until when a response is waited for, and what the target is told.
    struct exchange_deadlines {
        steady_time deadline;
        steady_time finish_by;
    };
    struct exchange_outcome {
        wire::forward_reply reply;
        /// The connection was lost before any byte arrived.
        bool lost_without_response{false};
    };
    /// A request that is being written to the target.
    struct outgoing_request {
        http_request message;
        /// Whether it has been written completely.
        bool written{false};
        /// Why it could not be written.
        boost::system::error_code write_error;
        /// The process that it is meant for, and when it was sent.
        std::string instance;
        steady_time sent_at;
    };

    [[nodiscard]] connection_pointer take_idle();
    [[nodiscard]] bool is_usable(connection& idle) const;
    boost::asio::awaitable<connection_pointer> connect(boost::asio::ip::tcp::endpoint target,
                                                       steady_time deadline);
    boost::asio::awaitable<exchange_outcome> exchange(connection_pointer conn,
                                                      const wire::forward_request& request,
                                                      std::string instance, exchange_deadlines deadlines,
                                                      std::shared_ptr<cancel_token> cancel);
    boost::asio::awaitable<exchange_outcome> await_response(connection_pointer conn,
                                                            const wire::forward_request& request,
                                                            std::shared_ptr<outgoing_request> outgoing,
                                                            steady_time deadline);
    [[nodiscard]] http_request make_target_request(const wire::forward_request& request,
                                                   std::string_view instance, duration remaining) const;
    [[nodiscard]] wire::forward_reply convert_response(const wire::forward_request& request,
                                                       http_response response) const;
    [[nodiscard]] bool belongs_to(const http_response& response, const wire::forward_request& request) const;
    [[nodiscard]] target_signals read_signals(const http_response& response) const;
    void keep_idle(const connection_pointer& conn, const http_response& response);

    boost::asio::any_io_executor executor_;
    const time_source& time_;
    std::size_t max_response_bytes_;
    std::shared_ptr<byte_budget> memory_;
    http_protocol protocol_;
    std::vector<connection_pointer> idle_;
    std::function<void(const target_signals&)> signal_action_;
};

} // namespace dandelionmount

#endif
