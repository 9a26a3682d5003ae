#include "dandelionmount/connection/peer_server.h"

#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/connection/listen.h"
#include "dandelionmount/process/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace dandelionmount {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Limit for connections that have not completed the handshake; any more are closed at once, so that
// unauthenticated peers cost little.
constexpr std::size_t max_unauthenticated = 128;
constexpr duration accept_retry_delay = std::chrono::milliseconds(10);

} // namespace

peer_server::peer_server(asio::any_io_executor executor, const peer_identity& self, metrics& counters,
                         peer_frame_handler handler, stream_end_handler on_end)
    : executor_(std::move(executor)), self_(self), counters_(counters), handler_(std::move(handler)),
      on_end_(std::move(on_end)), acceptor_(executor_) {}

result<void> peer_server::listen(std::string_view address) {
    auto opened = open_acceptor(acceptor_, address);
    if (opened) {
        asio::co_spawn(executor_, accept_connections(), asio::detached);
    }
    return opened;
}

void peer_server::stop() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    const auto streams = streams_;
    for (const auto& stream : streams) {
        stream->close();
    }
}

std::size_t peer_server::unsent_bytes() const {
    std::size_t bytes = 0;
    for (const auto& stream : streams_) {
        bytes += stream->unsent_bytes();
    }
    return bytes;
}

asio::awaitable<void> peer_server::accept_connections() {
    while (acceptor_.is_open()) {
        auto [error, socket] = co_await acceptor_.async_accept(as_result);
        if (error) {
            co_await sleep_for(executor_, accept_retry_delay);
            continue;
        }
        if (unauthenticated_ >= max_unauthenticated) {
            counters_.count(event::peer_strangers);
            continue;
        }
        asio::co_spawn(executor_, serve(std::move(socket)), asio::detached);
    }
}

// Task of one connection.
asio::awaitable<void> peer_server::serve(tcp::socket socket) {
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto stream = std::make_shared<frame_stream>(std::move(socket));
    ++unauthenticated_;
    const auto peer = co_await accept_handshake(*stream, self_);
    --unauthenticated_;
    if (!peer) {
        counters_.count(event::peer_strangers);
        log_event(log_level::warning, "peer handshake rejected", {{"cause", peer.error().message}});
        stream->close();
        co_return;
    }
    counters_.count(event::peer_connections);
    streams_.insert(stream);
    while (true) {
        const auto frame = co_await stream->read(max_frame_bytes);
        if (!frame) {
            break;
        }
        handler_(frame.value(), peer.value(), stream);
    }
    if (stream->was_malformed()) {
        counters_.count(event::peer_malformed);
    }
    stream->close();
    streams_.erase(stream);
    if (on_end_) {
        on_end_(stream);
    }
}

} // namespace dandelionmount
