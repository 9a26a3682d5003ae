#include "dandelionmount/connection/response_receiver.h"

#include "dandelionmount/connection/async_event.h"

#include <algorithm>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

namespace dandelionmount {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

using message_parser = http::response_parser<http::string_body>;

constexpr std::string_view version_prefix = "HTTP/1.";
constexpr std::string_view line_end = "\r\n";
// Most responses arrive whole in one read of this size.
constexpr std::size_t read_bytes = 4096;
// Statuses below are invalid, those from here to `success` are of interim responses.
constexpr unsigned informational = 100;
constexpr unsigned success = 200;

std::string_view buffered_text(const beast::flat_buffer& buffer) {
    return {static_cast<const char*>(buffer.data().data()), buffer.size()};
}

// Whether the bytes are the start of a response, or may be once more have arrived.
bool may_begin_response(std::string_view text) {
    const std::size_t length = std::min(text.size(), version_prefix.size());
    return text.substr(0, length) == version_prefix.substr(0, length);
}

// Whether a line of a header or trailer section starts with a blank; the text starts with a line of it. The
// parser appends such a line (obsolete line folding) to the value of the field before, so that a field whose
// name starts with a blank, such as Content-Length, would be lost.
bool has_folded_line(std::string_view text) {
    const bool is_at_end = text.substr(0, line_end.size()) == line_end;
    const std::string_view section = is_at_end ? std::string_view() : text.substr(0, text.find("\r\n\r\n"));
    return section.find("\r\n ") != std::string_view::npos ||
           section.find("\r\n\t") != std::string_view::npos;
}

// Parses the buffered bytes. Incomplete input is not an error.
error_code parse(beast::flat_buffer& buffer, message_parser& parser) {
    // The parser would wait for a whole header section before it checks a start that came in pieces.
    if (!parser.got_some() && !may_begin_response(buffered_text(buffer))) {
        return make_error_code(http::error::bad_version);
    }
    if (!parser.got_some() && buffer.size() < version_prefix.size()) {
        return {};
    }
    // The parser consumes whole fields only.
    if (!parser.is_header_done() && has_folded_line(buffered_text(buffer))) {
        return make_error_code(http::error::bad_field);
    }
    error_code error;
    buffer.consume(parser.put(buffer.data(), error));
    // The parser accepts any three digits.
    if (parser.is_header_done() && parser.get().result_int() < informational) {
        return make_error_code(http::error::bad_status);
    }
    return error == http::error::need_more ? error_code{} : error;
}

// The error with which to abandon an incomplete message; none within the limits.
error_code check_limits(const beast::flat_buffer& buffer, const message_parser& parser,
                        const response_limits& limits) {
    if (limits.memory != nullptr && !limits.memory->resize(parser.get().body().size())) {
        return make_error_code(boost::system::errc::not_enough_memory);
    }
    if (buffer.size() == buffer.max_size()) {
        return make_error_code(http::error::buffer_overflow);
    }
    // While bytes are always available, each read completes before the stream's timer is checked.
    if (std::chrono::steady_clock::now() >= limits.deadline) {
        return make_error_code(beast::error::timeout);
    }
    return {};
}

// Reads one message, final or interim. Drives the parser directly, as the limits must be checked after each
// read: Beast's read operations do not return while the parser needs more, which is always so within a chunk.
asio::awaitable<error_code> read_message(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                         message_parser& parser, const response_limits& limits) {
    parser.eager(true);
    // The parser calls this for the last chunk once the trailer section, which follows the chunk's header
    // line, has arrived as a whole.
    auto check_trailer = [&buffer](std::uint64_t chunk_bytes, beast::string_view extensions,
                                   error_code& error) {
        const std::string_view text = buffered_text(buffer);
        const auto header_line_end =
            static_cast<std::size_t>(extensions.data() + extensions.size() - text.data());
        if (chunk_bytes == 0 && has_folded_line(text.substr(header_line_end + line_end.size()))) {
            error = http::error::bad_field;
        }
    };
    parser.on_chunk_header(check_trailer);
    while (true) {
        if (buffer.size() > 0) {
            const auto parse_error = parse(buffer, parser);
            if (parse_error || parser.is_done()) {
                co_return parse_error;
            }
            const auto limit_error = check_limits(buffer, parser, limits);
            if (limit_error) {
                co_return limit_error;
            }
        }
        const std::size_t room = std::min(read_bytes, buffer.max_size() - buffer.size());
        auto [error, count] = co_await stream.async_read_some(buffer.prepare(room), as_result);
        buffer.commit(count);
        if (error == asio::error::eof && parser.got_some()) {
            error_code end_error;
            parser.put_eof(end_error);
            co_return end_error;
        }
        if (error) {
            co_return error;
        }
    }
}

} // namespace

asio::awaitable<received_response> receive_response(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                                    bool is_head_response, response_limits limits) {
    received_response response;
    for (int interim = 0; interim <= max_interim_responses; ++interim) {
        message_parser parser;
        parser.header_limit(max_response_head_bytes);
        parser.body_limit(limits.body_bytes);
        parser.skip(is_head_response);
        response.error = co_await read_message(stream, buffer, parser, limits);
        response.has_started = response.has_started || buffer.size() > 0 || parser.got_some();
        if (response.error) {
            co_return response;
        }
        if (parser.get().result_int() >= success) {
            response.close_delimited = parser.need_eof();
            response.keep_alive = parser.keep_alive() && buffer.size() == 0;
            response.message = parser.release();
            co_return response;
        }
    }
    response.error = make_error_code(http::error::bad_status);
    co_return response;
}

bool is_too_large(const error_code& error) {
    return error == http::error::header_limit || error == http::error::body_limit ||
           error == http::error::buffer_overflow || error == boost::system::errc::not_enough_memory;
}

} // namespace dandelionmount
