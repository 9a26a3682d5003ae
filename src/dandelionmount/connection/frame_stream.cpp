#include "dandelionmount/connection/frame_stream.h"

#include "dandelionmount/connection/async_event.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <utility>

namespace dandelionmount {

namespace asio = boost::asio;

namespace {

constexpr unsigned bits_per_byte = 8;
// Limit for the send queue of one peer. A peer that does not read is disconnected when it is exceeded.
constexpr std::size_t max_queued_bytes = 2 * max_frame_bytes;
constexpr std::size_t min_read_bytes = 1024;
constexpr std::size_t max_read_bytes = 64UL * 1024;
// A buffer of more than this many times the size of recent reads is released.
constexpr std::size_t max_kept_factor = 4;

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

frame_stream::frame_stream(asio::ip::tcp::socket socket)
    : socket_(std::move(socket)), read_size_(min_read_bytes) {
    boost::system::error_code ignored;
    socket_.non_blocking(true, ignored);
}

asio::awaitable<result<wire::peer_frame>> frame_stream::read(std::size_t max_bytes) {
    while (true) {
        auto frame = take_received(max_bytes);
        if (frame) {
            co_return std::move(*frame);
        }
        const auto error = co_await receive();
        if (error) {
            co_return failure{error.message()};
        }
    }
}

std::optional<result<wire::peer_frame>> frame_stream::take_received(std::size_t max_bytes) {
    const std::string_view left = std::string_view(received_).substr(taken_);
    if (left.size() < frame_header_bytes) {
        return std::nullopt;
    }
    const auto length = decode_frame_length(left, max_bytes);
    if (!length) {
        malformed_ = true;
        return length.error();
    }
    frame_bytes_ = frame_header_bytes + length.value();
    if (left.size() < frame_bytes_) {
        return std::nullopt;
    }
    auto frame = decode_frame(left.substr(frame_header_bytes, length.value()));
    malformed_ = !frame;
    taken_ += std::exchange(frame_bytes_, 0);
    return frame;
}

// Receives all that has arrived, within a limit: a process that is late learns of a cancellation before it
// starts the request, and a few frames cost one system call. An idle connection keeps a small buffer only.
asio::awaitable<boost::system::error_code> frame_stream::receive() {
    received_.erase(0, std::exchange(taken_, 0));
    if (received_.empty() && received_.capacity() > max_kept_factor * read_size_) {
        received_ = {};
    }
    const std::size_t before = received_.size();
    const std::size_t missing = frame_bytes_ - std::min(frame_bytes_, before);
    const std::size_t chunk = std::clamp(missing, read_size_, max_read_bytes);
    received_.resize(before + chunk);
    auto [error, count] =
        co_await socket_.async_read_some(asio::buffer(received_.data() + before, chunk), as_result);
    std::size_t end = before + count;
    while (!error && count == chunk && end - before < max_read_bytes) {
        received_.resize(end + chunk);
        boost::system::error_code nothing_left;
        count = socket_.read_some(asio::buffer(received_.data() + end, chunk), nothing_left);
        end += count;
    }
    received_.resize(end);
    read_size_ = std::clamp(2 * (end - before), min_read_bytes, max_read_bytes);
    co_return error;
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
