#ifndef DANDELIONMOUNT_CONNECTION_PEER_SERVER_H
#define DANDELIONMOUNT_CONNECTION_PEER_SERVER_H

#include "dandelionmount/connection/frame_stream.h"
#include "dandelionmount/connection/peer_handshake.h"
#include "dandelionmount/process/metrics.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <set>

namespace dandelionmount {

/// Handles a frame from another host; replies go to the same stream.
using peer_frame_handler =
    std::function<void(const wire::peer_frame&, const peer_id&, std::shared_ptr<frame_stream>)>;

/// Called when a connection from another host has ended.
using stream_end_handler = std::function<void(const std::shared_ptr<frame_stream>&)>;

/// Accepts connections from other hosts and passes their frames to a handler.
class peer_server {
public:
    peer_server(boost::asio::any_io_executor executor, const peer_identity& self, metrics& counters,
                peer_frame_handler handler, stream_end_handler on_end = {});

    /// Opens the port; fails with the system's error message.
    result<void> listen(std::string_view address);
    /// Accepts no new connections and closes open ones.
    void stop();
    /// Bytes queued for other hosts or not yet accepted by the kernel.
    [[nodiscard]] std::size_t unsent_bytes() const;

private:
    boost::asio::awaitable<void> accept_connections();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    boost::asio::any_io_executor executor_;
    const peer_identity& self_;
    metrics& counters_;
    peer_frame_handler handler_;
    stream_end_handler on_end_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::set<std::shared_ptr<frame_stream>> streams_;
    std::size_t unauthenticated_{0};
};

} // namespace dandelionmount

#endif
