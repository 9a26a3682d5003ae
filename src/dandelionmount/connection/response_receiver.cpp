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

using answer_parser = http::response_parser<http::string_body>;

constexpr std::string_view first_text = "HTTP/1.";
// Most answers come whole with the first read of this size.
constexpr std::size_t read_bytes = 4096;
constexpr unsigned success = 200;

std::string_view text_of(const beast::flat_buffer& buffer) {
    return {static_cast<const char*>(buffer.data().data()), buffer.size()};
}

// Whether the bytes begin an answer, or may do so when more have come.
bool may_begin_answer(std::string_view text) {
    const std::size_t length = std::min(text.size(), first_text.size());
    return text.substr(0, length) == first_text.substr(0, length);
}

// Parses what the buffer holds. That it doesn't hold enough yet is no error.
error_code parse(beast::flat_buffer& buffer, answer_parser& parser) {
    // The parser would wait for a whole head before it looks at a start that came in pieces.
    if (!parser.got_some() && !may_begin_answer(text_of(buffer))) {
        return make_error_code(http::error::bad_version);
    }
    if (!parser.got_some() && buffer.size() < first_text.size()) {
        return {};
    }
    error_code error;
    buffer.consume(parser.put(buffer.data(), error));
    return error == http::error::need_more ? error_code{} : error;
}

// Why a message that is not yet complete is given up on, if it is.
error_code check_limits(const beast::flat_buffer& buffer, const answer_parser& parser,
                        const response_limits& limits) {
    if (limits.memory != nullptr && !limits.memory->resize(parser.get().body().size())) {
        return make_error_code(boost::system::errc::not_enough_memory);
    }
    if (buffer.size() == buffer.max_size()) {
        return make_error_code(http::error::buffer_overflow);
    }
    // While bytes are always ready, each read ends before the stream's timer is looked at.
    if (std::chrono::steady_clock::now() >= limits.deadline) {
        return make_error_code(beast::error::timeout);
    }
    return {};
}

// Reads one message, final or interim. Drives the parser itself: Beast's own operations read on by themselves
// while the parser needs more, which within chunks is always.
asio::awaitable<error_code> read_message(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                         answer_parser& parser, const response_limits& limits) {
    parser.eager(true);
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
                                                    bool answers_head, response_limits limits) {
    received_response answer;
    for (int interim = 0; interim <= most_interim_answers; ++interim) {
        answer_parser parser;
        parser.header_limit(most_answer_head_bytes);
        parser.body_limit(limits.body_bytes);
        parser.skip(answers_head);
        answer.error = co_await read_message(stream, buffer, parser, limits);
        answer.began = answer.began || buffer.size() > 0 || parser.got_some();
        if (answer.error) {
            co_return answer;
        }
        if (parser.get().result_int() >= success) {
            answer.unframed = parser.need_eof();
            answer.keep_alive = parser.keep_alive() && buffer.size() == 0;
            answer.message = parser.release();
            co_return answer;
        }
    }
    answer.error = make_error_code(http::error::bad_status);
    co_return answer;
}

bool is_too_large(const error_code& error) {
    return error == http::error::header_limit || error == http::error::body_limit ||
           error == http::error::buffer_overflow || error == boost::system::errc::not_enough_memory;
}

} // namespace dandelionmount
