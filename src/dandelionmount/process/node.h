#ifndef DANDELIONMOUNT_PROCESS_NODE_H
#define DANDELIONMOUNT_PROCESS_NODE_H

#include "dandelionmount/connection/caller_server.h"
#include "dandelionmount/connection/operator_server.h"
#include "dandelionmount/connection/peer_server.h"
#include "dandelionmount/connection/target_server.h"
#include "dandelionmount/process/claim_service.h"
#include "dandelionmount/process/configuration_store.h"
#include "dandelionmount/process/gossip_service.h"
#include "dandelionmount/process/local_target.h"
#include "dandelionmount/process/log_reader.h"
#include "dandelionmount/process/membership.h"
#include "dandelionmount/process/metrics.h"
#include "dandelionmount/process/operator_service.h"
#include "dandelionmount/process/peer_directory.h"
#include "dandelionmount/process/rate_service.h"
#include "dandelionmount/process/settings.h"
#include "dandelionmount/request/dispatcher.h"
#include "dandelionmount/request/local_retry_limiter.h"
#include "dandelionmount/process/crash_monitor.h"
#include "dandelionmount/request/executor.h"

#include <boost/asio/io_context.hpp>
#include <random>

namespace dandelionmount {

/// All parts of one daemon on a platform with an append-only log.
class node {
public:
    node(boost::asio::io_context& io, const settings& own, std::string secret, platform_log& log,
         const time_source& time);

    /// Opens all ports and starts; on failure returns the system's message.
    result<void> start();
    /// Stops gracefully: announces the stop to the peers, finishes running requests, and leaves the fleet.
    /// Stops the `io_context` at the end.
    boost::asio::awaitable<void> stop();

private:
    void handle_frame(const wire::peer_frame& frame, const peer_id& from,
                      std::shared_ptr<frame_stream> stream);
    boost::asio::awaitable<void> run_maintenance();
    void publish_target();
    void update_lease_voters();

    boost::asio::io_context& io_;
    settings settings_;
    const time_source& time_;
    stop_schedule stop_;
    std::mt19937_64 random_;
    metrics counters_;
    peer_identity identity_;
    member_table members_;
    slot_lease lease_;
    configuration_store configuration_;
    local_target target_;
    peer_directory peers_;
    target_connections connections_;
    crash_monitor crash_monitor_;
    executor executor_;
    local_retry_limiter retry_limiter_;
    dispatcher dispatcher_;
    rate_service rates_;
    claim_service claims_;
    gossip_service gossip_;
    log_reader log_reader_;
    rpc_connector rpc_connector_;
    operator_service operator_service_;
    peer_server peer_server_;
    caller_server caller_server_;
    target_server target_server_;
    operator_server operator_server_;
    bool draining_{false};
    bool stopping_{false};
};

} // namespace dandelionmount

#endif
