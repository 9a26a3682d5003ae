#ifndef DANDELIONMOUNT_CONNECTION_PEER_CONNECTION_H
#define DANDELIONMOUNT_CONNECTION_PEER_CONNECTION_H

#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/connection/frame_stream.h"
#include "dandelionmount/process/clock.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace dandelionmount {

/// One connection to another host, from the end of its handshake on. Holds all that describes this connection
/// alone, so that a task of an ended connection can't affect the next one.
class peer_connection : public std::enable_shared_from_this<peer_connection> {
public:
    /// `incarnation` identifies the process at the other end.
    peer_connection(boost::asio::any_io_executor executor, const time_source& time,
                    std::shared_ptr<frame_stream> stream, std::uint64_t incarnation);

    [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }
    [[nodiscard]] bool is_open() const { return stream_->is_open(); }
    /// The stream for sending; frames are received with read().
    [[nodiscard]] frame_stream& stream() { return *stream_; }
    /// Reads the next frame; fails when the connection has ended.
    boost::asio::awaitable<result<wire::peer_frame>> read();
    /// Sends heartbeats until the connection ends: while a reply is pending, soon after the last received
    /// frame; otherwise rarely. Closes the connection when no frame follows them in time.
    boost::asio::awaitable<void> send_heartbeats(std::function<bool()> is_reply_pending);
    /// Tells the heartbeats that a reply has become pending.
    void expect_reply() { reply_pending_.set(); }
    /// Whether no frame has followed a heartbeat in time.
    [[nodiscard]] bool is_silent() const;
    /// Time since the last frame arrived.
    [[nodiscard]] duration time_since_received() const { return time_.now() - last_received_at_; }
    void close();

private:
    boost::asio::awaitable<bool> wait_until_heartbeat_due(const std::function<bool()>& is_reply_pending);
    void exclude_own_delay(steady_time due);

    boost::asio::any_io_executor executor_;
    const time_source& time_;
    std::shared_ptr<frame_stream> stream_;
    std::uint64_t incarnation_;
    /// When the first heartbeat since the last received frame was sent; nullopt if there is none.
    std::optional<steady_time> unanswered_since_;
    steady_time last_received_at_;
    /// Set when a reply becomes pending, and when the connection is closed.
    async_event reply_pending_;
};

[[nodiscard]] wire::peer_frame make_heartbeat(std::uint64_t sequence);
/// Tells the other host when this process ends.
[[nodiscard]] wire::peer_frame make_stop_notice(duration time_left);

} // namespace dandelionmount

#endif
