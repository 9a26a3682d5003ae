#ifndef DANDELIONMOUNT_CONNECTION_TARGET_CONNECTION_H
#define DANDELIONMOUNT_CONNECTION_TARGET_CONNECTION_H

#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/connection/http_headers.h"
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

/// Calls to the target of this host.
class target_connections {
public:
    target_connections(boost::asio::any_io_executor executor, const time_source& time,
                       std::size_t most_answer_bytes);

    /// Sends the request to the target and waits for its whole answer. Only an answer that is framed and
    /// complete is `ran`; `not_run` is said only when the request was not sent. The token closes the
    /// connection, by which the target learns that the call is cancelled.
    boost::asio::awaitable<wire::forward_reply> call(boost::asio::ip::tcp::endpoint target,
                                                     const wire::forward_request& request,
                                                     steady_time deadline,
                                                     std::shared_ptr<cancel_token> cancel);
    /// Drops idle connections, since the target behind them may be another one.
    void forget_idle() { idle_.clear(); }

private:
    struct connection {
        explicit connection(const boost::asio::any_io_executor& executor) : stream(executor) {}
        boost::beast::tcp_stream stream;
        steady_time last_used;
    };
    using connection_pointer = std::shared_ptr<connection>;

    [[nodiscard]] connection_pointer take_idle();
    boost::asio::awaitable<wire::forward_reply> exchange(connection_pointer conn,
                                                         const wire::forward_request& request, duration left);

    boost::asio::any_io_executor executor_;
    const time_source& time_;
    std::size_t most_answer_bytes_;
    std::vector<connection_pointer> idle_;
};

} // namespace dandelionmount

#endif
