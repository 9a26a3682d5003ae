#ifndef DANDELIONMOUNT_TESTS_SUPPORT_HOST_PROCESS_H
#define DANDELIONMOUNT_TESTS_SUPPORT_HOST_PROCESS_H

#include "dandelionmount/connection/peer_handshake.h"
#include "dandelionmount/connection/peer_server.h"
#include "dandelionmount/request/executor.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <memory>
#include <string>

namespace tests {

constexpr std::uint16_t host_port = 18475;
constexpr std::uint16_t target_port = 18476;

inline std::string host_address(const std::string& ip) {
    return ip + ":" + std::to_string(host_port);
}

inline std::string target_address(const std::string& ip) {
    return ip + ":" + std::to_string(target_port);
}

/// One process of a host that runs the requests of other hosts at its target. After a kill, the next one
/// replaces it.
struct host_process {
    host_process(boost::asio::io_context& io, const dandelionmount::time_source& time,
                 dandelionmount::configuration_store& configuration, const std::string& ip,
                 std::uint64_t incarnation, bool idempotent_requests_are_settled)
        : identity{"receiver", incarnation, "secret"}, target(time),
          connections(io.get_executor(), time, 100000,
                      std::make_shared<dandelionmount::byte_budget>(dandelionmount::byte_budget{1000000})),
          executor({io.get_executor(), time, counters, configuration, target, connections,
                    boost::asio::ip::make_address(ip), nullptr, idempotent_requests_are_settled}),
          server(
              io.get_executor(), identity, counters,
              [this](const dandelionmount::wire::peer_frame& frame, const dandelionmount::peer_id&,
                     std::shared_ptr<dandelionmount::frame_stream> stream) {
                  executor.handle_stop_notice(frame.heartbeat(), stream);
                  if (!executor.handle_attempt_frame(frame, stream)) {
                      stream->send(frame);
                  }
              },
              [this](const std::shared_ptr<dandelionmount::frame_stream>& stream) {
                  if (ends_runs_with_connection) {
                      executor.handle_stream_end(stream);
                  }
              }) {
        announce();
        REQUIRE(server.listen(host_address(ip)));
    }

    void announce() { target.announce({"store", target_port, 3, 10, dandelionmount::wire::target_ready}); }

    void kill() {
        server.stop();
        executor.close();
    }

    /// Off to show what the sender does alone.
    bool ends_runs_with_connection{true};
    dandelionmount::metrics counters;
    dandelionmount::peer_identity identity;
    dandelionmount::local_target target;
    dandelionmount::target_connections connections;
    dandelionmount::executor executor;
    dandelionmount::peer_server server;
};

} // namespace tests

#endif
