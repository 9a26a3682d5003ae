#ifndef DANDELIONMOUNT_PROCESS_STOP_WAIT_H
#define DANDELIONMOUNT_PROCESS_STOP_WAIT_H

#include "dandelionmount/connection/http_server.h"
#include "dandelionmount/connection/peer_server.h"
#include "dandelionmount/process/clock.h"
#include "dandelionmount/request/executor.h"

#include <boost/asio/awaitable.hpp>
#include <vector>

namespace dandelionmount {

/// What a stopping process waits for.
struct stop_wait_context {
    boost::asio::any_io_executor io_executor;
    const time_source& time;
    const executor& request_executor;
    const peer_server& peers;
    /// Servers for callers and for the target.
    std::vector<http_server*> servers;
};

/// Waits until no request is being received, run or answered, or until the deadline.
boost::asio::awaitable<void> wait_until_idle(stop_wait_context context, steady_time deadline);
/// Closes the servers' connections as they become idle, and waits until the operating system has accepted all
/// data to be sent, or until the deadline.
boost::asio::awaitable<void> wait_until_flushed(stop_wait_context context, steady_time deadline);

} // namespace dandelionmount

#endif
