#ifndef DANDELIONMOUNT_PROCESS_GOSSIP_SERVICE_H
#define DANDELIONMOUNT_PROCESS_GOSSIP_SERVICE_H

#include "dandelionmount/connection/peer_handshake.h"
#include "dandelionmount/process/clock.h"
#include "dandelionmount/process/configuration_store.h"
#include "dandelionmount/process/membership.h"
#include "dandelionmount/process/metrics.h"
#include "dandelionmount/process/slot_lease.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace dandelionmount {

/// Dependencies of a gossip service. All of them outlive it.
struct gossip_context {
    boost::asio::any_io_executor executor;
    const time_source& time;
    metrics& counters;
    const peer_identity& self;
    member_table& members;
    slot_lease& lease;
    configuration_store& configuration;
    std::mt19937_64& random;
    /// Peer addresses to probe unless their hosts are known to be alive.
    std::vector<std::string> seeds;
};

/// The configuration that another host last reported as in force.
struct peer_configuration {
    std::uint64_t next_offset{0};
    std::set<std::string, std::less<>> pending_withdrawals;
};

using peer_configuration_map = std::map<std::string, peer_configuration, std::less<>>;

/// Hosts that are alive and have not confirmed a state with at least this `next_offset`.
[[nodiscard]] std::vector<std::string> outdated_hosts(const member_table& members,
                                                      const peer_configuration_map& configurations,
                                                      std::uint64_t next_offset);

/// SWIM-style failure detection and gossip between hosts, by datagrams authenticated with the fleet's secret.
class gossip_service {
public:
    explicit gossip_service(gossip_context context);

    /// Opens the port; on failure returns the system's message.
    result<void> listen(std::string_view address);
    void stop();
    /// Sends pending updates to some hosts after a few milliseconds.
    void schedule_gossip();
    /// Probes all hosts that are alive, without waiting for the next round. Probes and their answers carry
    /// pending updates, pending withdrawals of keys and the offset up to which the sender has applied the
    /// log.
    void probe_all();
    /// Probes the hosts that have not confirmed the configuration in force here, and returns them.
    std::vector<std::string> probe_outdated_hosts();
    /// Called with a host that has a newer configuration.
    void on_newer_configuration(std::function<void(const std::string&)> action) {
        on_newer_configuration_ = std::move(action);
    }
    /// Called when the record of another host changes.
    void on_member_change(std::function<void()> action) { on_member_change_ = std::move(action); }
    [[nodiscard]] const peer_configuration_map& peer_configurations() const { return peer_configurations_; }

private:
    struct probe {
        std::string host;
        steady_time sent_at;
    };
    struct relayed_probe {
        boost::asio::ip::udp::endpoint requester;
        std::uint64_t sequence{0};
        std::string subject;
        steady_time sent_at;
    };

    boost::asio::awaitable<void> receive_datagrams();
    boost::asio::awaitable<void> run_rounds();
    void run_round();
    void probe_lease_voters();
    void discover_hosts();
    void handle_datagram(const wire::gossip_datagram& datagram, const boost::asio::ip::udp::endpoint& from);
    void apply_piggybacked_state(const wire::gossip_datagram& datagram);
    void handle_ack(const wire::gossip_datagram& datagram);
    void ping(const std::string& host, const std::string& address);
    void ping_indirectly(const std::string& relay, const std::string& subject);
    void send(wire::gossip_datagram datagram, const boost::asio::ip::udp::endpoint& to);
    void add_piggybacked_state(wire::gossip_datagram& datagram);
    void remove_expired_probes();
    [[nodiscard]] std::string address_of(std::string_view host) const;

    gossip_context context_;
    boost::asio::ip::udp::socket socket_;
    probe_state probe_state_;
    std::map<std::uint64_t, probe> probes_;
    std::map<std::uint64_t, relayed_probe> relayed_probes_;
    std::map<std::string, peer_configuration, std::less<>> peer_configurations_;
    std::function<void(const std::string&)> on_newer_configuration_;
    std::function<void()> on_member_change_;
    std::uint64_t next_sequence_;
    std::uint64_t round_{0};
    bool gossip_scheduled_{false};
};

/// Serialises a datagram and prefixes its message authentication code (HMAC-SHA256).
[[nodiscard]] std::string seal_datagram(const wire::gossip_datagram& datagram, std::string_view secret);
/// Parses a sealed datagram; fails when it is malformed or its authentication code is wrong.
[[nodiscard]] result<wire::gossip_datagram> open_datagram(std::string_view bytes, std::string_view secret);

} // namespace dandelionmount

#endif
