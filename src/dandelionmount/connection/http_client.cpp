#include "dandelionmount/connection/http_client.h"

#include "dandelionmount/connection/address.h"
#include "dandelionmount/connection/async_event.h"

#include <boost/asio/this_coro.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace dandelionmount {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

asio::awaitable<result<http_response>> http_exchange(std::string address, http_request request,
                                                     duration limit, std::size_t most_answer_bytes) {
    const auto parsed = parse_address(address);
    if (!parsed) {
        co_return failure{address + ": not an IP address and a port"};
    }
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(limit);
    auto [connect_error] =
        co_await stream.async_connect(asio::ip::tcp::endpoint(parsed->ip, parsed->port), as_result);
    if (connect_error) {
        co_return failure{"connect: " + connect_error.message()};
    }
    request.set(http::field::host, address);
    request.prepare_payload();
    auto [write_error, written] = co_await http::async_write(stream, request, as_result);
    if (write_error) {
        co_return failure{"send: " + write_error.message()};
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(most_answer_bytes);
    auto [read_error, count] = co_await http::async_read(stream, buffer, parser, as_result);
    if (read_error) {
        co_return failure{"receive: " + read_error.message()};
    }
    co_return parser.release();
}

} // namespace dandelionmount
