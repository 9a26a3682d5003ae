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
#include <memory>
#include <string>
#include <vector>

namespace dandelionmount {

/// Where a request is sent.
struct target_address {
    boost::asio::ip::tcp::endpoint endpoint;
    /// Names the process of the target, where the protocol tells them apart.
    std::string instance;
};

/// Calls to the target of this host.
class target_connections {
public:
    /// One answer's body may have `most_answer_bytes`; those that are being received share `memory`.
    target_connections(boost::asio::any_io_executor executor, const time_source& time,
                       std::size_t most_answer_bytes, std::shared_ptr<byte_budget> memory,
                       http_protocol protocol = {});

    /// Sends the request to the target and waits for its whole answer. Only an answer that belongs to the
    /// request, is framed and complete is `ran`; `not_run` is said only when the request was not sent, or
    /// when the target itself says so. The token closes the connection, by which the target learns that the
    /// call is cancelled.
    boost::asio::awaitable<wire::forward_reply> call(target_address target,
                                                     const wire::forward_request& request,
                                                     steady_time deadline,
                                                     std::shared_ptr<cancel_token> cancel);
    /// Closes idle connections that can't be used any more: those on which something came, and old ones.
    void close_unusable();
    /// Drops idle connections, since the target behind them may be another one.
    void drop_idle() { idle_.clear(); }

private:
    struct connection {
        explicit connection(const boost::asio::any_io_executor& executor) : stream(executor) {}
        boost::beast::tcp_stream stream;
        steady_time usable_until;
    };
    using connection_pointer = std::shared_ptr<connection>;
    struct exchange_outcome {
        wire::forward_reply reply;
        /// The connection was lost before a byte of an answer came.
        bool lost_unanswered{false};
    };
    /// One request on its way to the target.
    struct sent_request {
        http_request message;
        bool written{false};
    };

    [[nodiscard]] connection_pointer take_idle();
    [[nodiscard]] bool is_usable(connection& idle) const;
    boost::asio::awaitable<connection_pointer> connect(boost::asio::ip::tcp::endpoint target,
                                                       steady_time deadline);
    boost::asio::awaitable<exchange_outcome> run(connection_pointer conn,
                                                 const wire::forward_request& request, std::string instance,
                                                 steady_time deadline, std::shared_ptr<cancel_token> cancel);
    boost::asio::awaitable<exchange_outcome> exchange(connection_pointer conn,
                                                      const wire::forward_request& request,
                                                      std::shared_ptr<sent_request> sent,
                                                      steady_time deadline);
    [[nodiscard]] http_request make_target_request(const wire::forward_request& request,
                                                   std::string_view instance, duration left) const;
    [[nodiscard]] wire::forward_reply take_answer(const wire::forward_request& request,
                                                  http_response answer) const;
    [[nodiscard]] bool belongs_to(const http_response& answer, const wire::forward_request& request) const;
    void keep(const connection_pointer& conn, const http_response& answer);

    boost::asio::any_io_executor executor_;
    const time_source& time_;
    std::size_t most_answer_bytes_;
    std::shared_ptr<byte_budget> memory_;
    http_protocol protocol_;
    std::vector<connection_pointer> idle_;
};

} // namespace dandelionmount

#endif
