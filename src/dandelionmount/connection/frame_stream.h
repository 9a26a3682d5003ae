#ifndef DANDELIONMOUNT_CONNECTION_FRAME_STREAM_H
#define DANDELIONMOUNT_CONNECTION_FRAME_STREAM_H

#include "dandelionmount/process/clock.h"
#include "dandelionmount/process/result.h"
#include "dandelionmount/wire/peer.pb.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace dandelionmount {

/// Size of the length prefix of a frame, in bytes; big-endian.
constexpr std::size_t frame_header_bytes = 4;
/// Largest frame before the handshake completes.
constexpr std::size_t max_handshake_frame_bytes = 512;
/// Largest frame; it carries a whole request or response.
constexpr std::size_t max_frame_bytes = 80UL * 1024 * 1024;

/// Encodes a frame with its length prefix.
[[nodiscard]] std::string encode_frame(const wire::peer_frame& frame);
/// Decodes the body of a frame.
[[nodiscard]] result<wire::peer_frame> decode_frame(std::string_view body);
/// Decodes the length prefix of a frame; fails for 0 and above `max_bytes`.
[[nodiscard]] result<std::size_t> decode_frame_length(std::string_view header, std::size_t max_bytes);

/// One end of a connection between hosts: a single task reads frames, any task may send them.
class frame_stream : public std::enable_shared_from_this<frame_stream> {
public:
    explicit frame_stream(boost::asio::ip::tcp::socket socket);

    /// Reads the next frame. Fails when the connection ends or the bytes are not a valid frame. Returns
    /// without suspending while frames that were received together are left.
    boost::asio::awaitable<result<wire::peer_frame>> read(std::size_t max_bytes);
    /// Queues a frame; drops it when the connection is closed. Closes the connection when the peer reads too
    /// slowly and too many bytes are queued.
    void send(const wire::peer_frame& frame);
    /// Queues a frame that is written together with the next one sent.
    void send_with_next(const wire::peer_frame& frame);
    void close();
    [[nodiscard]] bool is_open() const { return socket_.is_open(); }
    /// Bytes queued or not yet accepted by the kernel.
    [[nodiscard]] std::size_t unsent_bytes() const { return queued_.size() + writing_.size(); }
    /// Records when the process at the other end ends.
    void set_peer_end(steady_time at) { peer_end_ = at; }
    /// When the process at the other end ends; never, unless it has announced its stop.
    [[nodiscard]] steady_time peer_end() const { return peer_end_; }
    /// Whether a frame could not be decoded or was too large.
    [[nodiscard]] bool was_malformed() const { return malformed_; }

private:
    [[nodiscard]] std::optional<result<wire::peer_frame>> take_received(std::size_t max_bytes);
    boost::asio::awaitable<boost::system::error_code> receive();
    void write_queued();

    boost::asio::ip::tcp::socket socket_;
    /// Received bytes; those before `taken_` have been returned as frames.
    std::string received_;
    std::size_t taken_{0};
    /// Bytes to request with the next read, following the amount that recent reads returned.
    std::size_t read_size_;
    /// Bytes of the frame that is being received, its length prefix included; 0 while that is unknown.
    std::size_t frame_bytes_{0};
    std::string queued_;
    std::string writing_;
    steady_time peer_end_{steady_time::max()};
    bool malformed_{false};
};

} // namespace dandelionmount

#endif
