#ifndef DANDELIONMOUNT_PROCESS_STORE_NODE_H
#define DANDELIONMOUNT_PROCESS_STORE_NODE_H

#include "dandelionmount/connection/caller_server.h"
#include "dandelionmount/connection/peer_server.h"
#include "dandelionmount/process/configuration_store.h"
#include "dandelionmount/process/fleet_limiter.h"
#include "dandelionmount/process/fleet_registry.h"
#include "dandelionmount/process/local_target.h"
#include "dandelionmount/process/membership.h"
#include "dandelionmount/process/metrics.h"
#include "dandelionmount/process/peer_directory.h"
#include "dandelionmount/process/platform_adapter.h"
#include "dandelionmount/process/service_pressure.h"
#include "dandelionmount/process/store_settings.h"
#include "dandelionmount/process/outlier_detector.h"
#include "dandelionmount/process/topic_follower.h"
#include "dandelionmount/process/topic_sharing.h"
#include "dandelionmount/request/dispatcher.h"
#include "dandelionmount/request/executor.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <random>

namespace dandelionmount {

/// Everything that one daemon consists of on a platform whose store keeps the configuration and the list of
/// hosts.
class store_node {
public:
    store_node(boost::asio::io_context& io, const store_settings& own, const platform_adapter& adapter,
               record_store& store, const time_source& time);

    /// Opens the ports and starts; fails with the system's message.
    result<void> start();
    /// Stops without cutting off any request: tells the platform and the peers, finishes what runs, and
    /// leaves. The context runs out of work when it is done.
    boost::asio::awaitable<void> stop();

private:
    void take_configuration(std::span<const keyed_record> records);
    void take_configuration_text(std::string_view text);
    void note_registry_change();
    [[nodiscard]] topic_peers make_topic_peers(std::string topic, duration proof_validity);
    void handle_frame(const wire::peer_frame& frame, const peer_name& from,
                      std::shared_ptr<frame_stream> stream);
    boost::asio::awaitable<void> run_upkeep();
    boost::asio::awaitable<void> wait_until_told(steady_time deadline);
    void remove_unreachable_hosts();
    void note_loop_delay(duration delay);
    /// Logs how far a stop has come, and what it still waits for.
    void log_stop(std::string_view step, steady_time began);
    void publish_target();
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] std::string status_text() const;
    boost::asio::awaitable<http_response> answer_readiness(http_request request);
    boost::asio::awaitable<http_response> answer_target(http_request request);
    boost::asio::awaitable<http_response> answer_operator(http_request request);

    boost::asio::io_context& io_;
    store_settings settings_;
    platform_adapter adapter_;
    const time_source& time_;
    std::mt19937_64 random_;
    metrics counters_;
    peer_identity identity_;
    member_table members_;
    configuration_store configuration_;
    local_target target_;
    service_pressure pressure_;
    peer_directory peers_;
    target_connections connections_;
    executor executor_;
    dispatcher dispatcher_;
    topic_sharing topics_;
    outlier_detector watch_;
    fleet_limiter limiter_;
    fleet_registry registry_;
    topic_follower configuration_follower_;
    peer_server peer_server_;
    caller_server caller_server_;
    http_server readiness_server_;
    http_server announcement_server_;
    http_server operator_server_;
    /// Since when each host could not be reached.
    std::map<std::string, steady_time> unreachable_since_;
    bool peers_open_{false};
    bool stopping_{false};
    /// Times that the platform was told, since the stop began, that this host is not ready.
    int told_unready_{0};
};

} // namespace dandelionmount

#endif
