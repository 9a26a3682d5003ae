#include "dandelionmount/process/stop_wait.h"

#include "dandelionmount/connection/async_event.h"

namespace dandelionmount {

namespace asio = boost::asio;

namespace {

constexpr duration quiet_poll = std::chrono::milliseconds(20);

bool is_quiet_now(const stop_wait_context& parts) {
    std::size_t busy = parts.runs.busy();
    for (const auto* server : parts.servers) {
        busy += server->busy();
    }
    return busy == 0;
}

// A request may still arrive on a connection that is open, and a reply counts only once the system has it.
bool is_delivered(const stop_wait_context& parts) {
    std::size_t open = parts.peers.unsent_bytes();
    for (auto* server : parts.servers) {
        server->close_idle();
        open += server->connections();
    }
    return open == 0 && parts.runs.busy() == 0;
}

} // namespace

asio::awaitable<void> wait_until_idle(stop_wait_context parts, steady_time deadline) {
    while (!is_quiet_now(parts) && parts.time.now() < deadline) {
        co_await sleep_for(parts.context, quiet_poll);
    }
}

asio::awaitable<void> wait_until_flushed(stop_wait_context parts, steady_time deadline) {
    while (!is_delivered(parts) && parts.time.now() < deadline) {
        co_await sleep_for(parts.context, quiet_poll);
    }
}

} // namespace dandelionmount
