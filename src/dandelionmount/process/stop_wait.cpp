#include "dandelionmount/process/stop_wait.h"

#include "dandelionmount/connection/async_event.h"

namespace dandelionmount {

namespace asio = boost::asio;

namespace {

constexpr duration poll_interval = std::chrono::milliseconds(20);

bool is_idle(const stop_wait_context& context) {
    std::size_t busy = context.request_executor.busy();
    for (const auto* server : context.servers) {
        busy += server->busy();
    }
    return busy == 0;
}

// A request may still arrive on an open connection, and a reply is lost with the process unless the operating
// system has accepted it.
bool is_flushed(const stop_wait_context& context) {
    std::size_t open = context.peers.unsent_bytes();
    for (auto* server : context.servers) {
        server->close_idle();
        open += server->connections();
    }
    return open == 0 && context.request_executor.busy() == 0;
}

} // namespace

asio::awaitable<void> wait_until_idle(stop_wait_context context, steady_time deadline) {
    while (!is_idle(context) && context.time.now() < deadline) {
        co_await sleep_for(context.io_executor, poll_interval);
    }
}

asio::awaitable<void> wait_until_flushed(stop_wait_context context, steady_time deadline) {
    while (!is_flushed(context) && context.time.now() < deadline) {
        co_await sleep_for(context.io_executor, poll_interval);
    }
}

} // namespace dandelionmount
