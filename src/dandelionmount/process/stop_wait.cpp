#include "dandelionmount/process/stop_wait.h"

#include "dandelionmount/connection/async_event.h"

namespace dandelionmount {

namespace asio = boost::asio;

namespace {

constexpr duration poll_interval = std::chrono::milliseconds(20);

bool is_idle(const stop_wait_context& sources) {
    std::size_t busy = sources.requests.busy();
    for (const auto* server : sources.servers) {
        busy += server->busy();
    }
    return busy == 0;
}

// A request may still arrive on an open connection, and a reply is sent only once the system has accepted it.
bool is_flushed(const stop_wait_context& sources) {
    std::size_t open = sources.peers.unsent_bytes();
    for (auto* server : sources.servers) {
        server->close_idle();
        open += server->connections();
    }
    return open == 0 && sources.requests.busy() == 0;
}

} // namespace

asio::awaitable<void> wait_until_idle(stop_wait_context sources, steady_time deadline) {
    while (!is_idle(sources) && sources.time.now() < deadline) {
        co_await sleep_for(sources.io_executor, poll_interval);
    }
}

asio::awaitable<void> wait_until_flushed(stop_wait_context sources, steady_time deadline) {
    while (!is_flushed(sources) && sources.time.now() < deadline) {
        co_await sleep_for(sources.io_executor, poll_interval);
    }
}

} // namespace dandelionmount
