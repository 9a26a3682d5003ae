#include "dandelionmount/connection/frame_stream.h"

#include "dandelionmount/connection/async_event.h"

#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace dandelionmount {

namespace asio = boost::asio;

namespace {

constexpr unsigned bits_per_byte = 8;
// Limit for the send queue of one peer. A peer that does not read is disconnected when it is exceeded.
constexpr std::size_t max_queued_bytes = 2 * max_frame_bytes;

} // namespace

std::string encode_frame(const wire::peer_frame& frame) {
    std::string text(frame_header_bytes, '\0');
    frame.AppendToString(&text);
    std::size_t length = text.size() - frame_header_bytes;
    for (std::size_t index = frame_header_bytes; index > 0; --index) {
        text[index - 1] = static_cast<char>(length & 0xFFU);
        length >>= bits_per_byte;
    }
    return text;
}

result<wire::peer_frame> decode_frame(std::string_view body) {
    wire::peer_frame frame;
    const bool parsed = frame.ParseFromArray(body.data(), static_cast<int>(body.size()));
    if (!parsed || frame.body_case() == wire::peer_frame::BODY_NOT_SET) {
        return failure{"malformed frame"};
    }
    return frame;
}

result<std::size_t> decode_frame_length(std::string_view header, std::size_t max_bytes) {
    if (header.size() < frame_header_bytes) {
        return failure{"incomplete frame length prefix"};
    }
    std::size_t length = 0;
    for (std::size_t index = 0; index < frame_header_bytes; ++index) {
        length = (length << bits_per_byte) | static_cast<unsigned char>(header[index]);
    }
    if (length == 0 || length > max_bytes) {
        return failure{"invalid frame length: " + std::to_string(length) + " bytes"};
    }
    return length;
}

frame_stream::frame_stream(asio::ip::tcp::socket socket) : socket_(std::move(socket)) {}

asio::awaitable<result<wire::peer_frame>> frame_stream::read(std::size_t max_bytes) {
    std::array<char, frame_header_bytes> header{};
    auto [header_error, header_bytes] = co_await asio::async_read(socket_, asio::buffer(header), as_result);
    if (header_error) {
        co_return failure{header_error.message()};
    }
    const auto length = decode_frame_length({header.data(), header_bytes}, max_bytes);
    if (!length) {
        malformed_ = true;
        co_return length.error();
    }
    std::string body(length.value(), '\0');
    auto [body_error, body_bytes] = co_await asio::async_read(socket_, asio::buffer(body), as_result);
    if (body_error) {
        co_return failure{body_error.message()};
    }
    auto frame = decode_frame(body);
    malformed_ = !frame;
    co_return frame;
}

void frame_stream::send(const wire::peer_frame& frame) {
    if (!socket_.is_open()) {
        return;
    }
    queued_ += encode_frame(frame);
    if (queued_.size() > max_queued_bytes) {
        close();
    } else if (writing_.empty()) {
        write_queued();
    }
}

void frame_stream::send_with_next(const wire::peer_frame& frame) {
    if (socket_.is_open()) {
        queued_ += encode_frame(frame);
    }
}

void frame_stream::write_queued() {
    writing_ = std::move(queued_);
    queued_.clear();
    auto self = shared_from_this();
    asio::async_write(socket_, asio::buffer(writing_),
                      [self](const boost::system::error_code& error, std::size_t) {
                          self->writing_.clear();
                          if (error) {
                              self->close();
                          } else if (!self->queued_.empty()) {
                              self->write_queued();
                          }
                      });
}

void frame_stream::close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
}

} // namespace dandelionmount
