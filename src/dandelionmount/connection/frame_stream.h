#ifndef DANDELIONMOUNT_CONNECTION_FRAME_STREAM_H
#define DANDELIONMOUNT_CONNECTION_FRAME_STREAM_H

#include "dandelionmount/process/result.h"
#include "dandelionmount/wire/peer.pb.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <string_view>

namespace dandelionmount {

/// Bytes of a frame's length that stand in front of it, most significant first.
constexpr std::size_t frame_header_bytes = 4;
/// Largest frame before the handshake is done.
constexpr std::size_t most_handshake_bytes = 512;
/// Largest frame: a whole request or answer.
constexpr std::size_t most_frame_bytes = 80UL * 1024 * 1024;

/// The frame with its length in front.
[[nodiscard]] std::string encode_frame(const wire::peer_frame& frame);
/// Reads a frame's body.
[[nodiscard]] result<wire::peer_frame> decode_frame(std::string_view body);
/// Reads the length that stands in front of a frame; fails above `most`.
[[nodiscard]] result<std::size_t> decode_frame_length(std::string_view header, std::size_t most);

/// One end of a connection between hosts: frames are read by one task and sent by any.
class frame_stream : public std::enable_shared_from_this<frame_stream> {
public:
    explicit frame_stream(boost::asio::ip::tcp::socket socket);

    /// Reads the next frame. Fails when the connection ends or sends anything else than frames.
    boost::asio::awaitable<result<wire::peer_frame>> read(std::size_t most_bytes);
    /// Queues a frame; on a closed connection it is dropped.
    void send(const wire::peer_frame& frame);
    /// Queues a frame that goes out with the next one that is sent.
    void send_with_next(const wire::peer_frame& frame);
    void close();
    [[nodiscard]] bool is_open() const { return socket_.is_open(); }
    /// Bytes that the system has not taken yet.
    [[nodiscard]] std::size_t unsent_bytes() const { return queued_.size() + writing_.size(); }
    /// Frames that could not be decoded or were too large.
    [[nodiscard]] bool was_malformed() const { return malformed_; }

private:
    void write_queued();

    boost::asio::ip::tcp::socket socket_;
    std::string queued_;
    std::string writing_;
    bool malformed_{false};
};

} // namespace dandelionmount

#endif
