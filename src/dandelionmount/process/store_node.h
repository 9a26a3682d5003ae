#ifndef DANDELIONMOUNT_PROCESS_STORE_NODE_H
#define DANDELIONMOUNT_PROCESS_STORE_NODE_H

#include "dandelionmount/connection/caller_server.h"
#include "dandelionmount/connection/peer_server.h"
#include "dandelionmount/process/configuration_source.h"
#include "dandelionmount/process/configuration_store.h"
#include "dandelionmount/process/crash_monitor.h"
#include "dandelionmount/process/fleet_limiter.h"
#include "dandelionmount/process/fleet_registry.h"
#include "dandelionmount/process/fleet_retry_limiter.h"
#include "dandelionmount/process/local_target.h"
#include "dandelionmount/process/membership.h"
#include "dandelionmount/process/metrics.h"
#include "dandelionmount/process/peer_directory.h"
#include "dandelionmount/process/platform_adapter.h"
#include "dandelionmount/process/service_pressure.h"
#include "dandelionmount/process/store_settings.h"
#include "dandelionmount/process/outlier_detector.h"
#include "dandelionmount/process/topic_sharing.h"
#include "dandelionmount/request/dispatcher.h"
#include "dandelionmount/request/executor.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <random>

namespace dandelionmount {

/// All parts of one daemon on a platform whose store keeps the configuration and the list of hosts.
class store_node {
public:
    store_node(boost::asio::io_context& io, const store_settings& own, const platform_adapter& adapter,
               record_store& store, const time_source& time);

    /// Opens the ports and starts; on failure returns the system's message.
    result<void> start();
    /// Stops gracefully: reports the stop to the platform and the peers, finishes running requests, and
    /// leaves the fleet. Stops the `io_context` at the end.
    boost::asio::awaitable<void> stop();

private:
    void apply_configuration(std::string_view text);
    [[nodiscard]] bool is_any_host_connected() const;
    void handle_registry_change();
    [[nodiscard]] topic_peers make_topic_peers(std::string topic, duration end_validity);
    void handle_frame(const wire::peer_frame& frame, const peer_id& from,
                      std::shared_ptr<frame_stream> stream);
    boost::asio::awaitable<void> run_maintenance();
    boost::asio::awaitable<void> wait_until_unready_reported(steady_time deadline);
    void remove_unreachable_hosts();
    void record_loop_delay(duration delay);
    void log_store_calls() const;
    /// Logs the progress of a stop, and what it still waits for.
    void log_stop_progress(std::string_view step, steady_time stop_began);
    void publish_target();
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] std::string status_text() const;
    boost::asio::awaitable<http_response> handle_readiness_request(http_request request);
    boost::asio::awaitable<http_response> handle_target_request(http_request request);
    boost::asio::awaitable<http_response> handle_operator_request(http_request request);

    boost::asio::io_context& io_;
    store_settings settings_;
    platform_adapter adapter_;
    const time_source& time_;
    stop_schedule stop_;
    std::mt19937_64 random_;
    metrics counters_;
    peer_identity identity_;
    member_table members_;
    configuration_store configuration_;
    local_target target_;
    service_pressure pressure_;
    peer_directory peers_;
    target_connections connections_;
    crash_monitor crash_monitor_;
    executor executor_;
    fleet_retry_limiter retry_limiter_;
    dispatcher dispatcher_;
    topic_sharing topics_;
    outlier_detector outlier_detector_;
    fleet_limiter limiter_;
    fleet_registry registry_;
    configuration_source configuration_source_;
    peer_server peer_server_;
    caller_server caller_server_;
    http_server readiness_server_;
    http_server announcement_server_;
    http_server operator_server_;
    /// Since when each host has been unreachable.
    std::map<std::string, steady_time> unreachable_since_;
    bool peer_server_open_{false};
    bool stopping_{false};
    /// Readiness checks answered with "not ready" since the stop began.
    int unready_responses_{0};
};

} // namespace dandelionmount

#endif
