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

/// What a gossip service needs of its process. All of it outlives the service.
struct gossip_context {
    boost::asio::any_io_executor executor;
    const time_source& time;
    metrics& counters;
    const peer_identity& self;
    member_table& members;
    slot_lease& lease;
    configuration_store& configuration;
    std::mt19937_64& random;
    /// Addresses to ask while no other host is known.
    std::vector<std::string> seeds;
};

/// What another host last said of the configuration that it has in force.
struct heard_configuration {
    std::uint64_t next_offset{0};
    std::set<std::string, std::less<>> pending_withdrawals;
};

using heard_configurations = std::map<std::string, heard_configuration, std::less<>>;

/// Hosts that are alive and have not said that they have the state that follows `next_offset` in force.
[[nodiscard]] std::vector<std::string>
hosts_behind(const member_table& members, const heard_configurations& heard, std::uint64_t next_offset);

/// Learns which hosts are alive, and spreads changes between hosts, by datagrams that carry a proof of the
/// secret.
class gossip_service {
public:
    explicit gossip_service(gossip_context context);

    /// Opens the port; fails with the system's message.
    result<void> listen(std::string_view address);
    void stop();
    /// Tells some hosts at once of what has changed here.
    void spread_soon();
    /// Probes every host that is alive, to hear of its configuration.
    void probe_all();
    /// Probes the hosts that have not confirmed the configuration that is in force here, and returns them.
    std::vector<std::string> probe_behind();
    /// Called with a host that has a later configuration.
    void on_later_configuration(std::function<void(const std::string&)> action) {
        on_later_ = std::move(action);
    }
    /// Called when the set of hosts or their targets changed.
    void on_member_change(std::function<void()> action) { on_members_ = std::move(action); }
    [[nodiscard]] const heard_configurations& heard() const { return heard_; }

private:
    struct probe {
        std::string host;
        steady_time sent;
    };
    struct relayed_probe {
        boost::asio::ip::udp::endpoint requester;
        std::uint64_t sequence{0};
        std::string subject;
        steady_time sent;
    };

    boost::asio::awaitable<void> receive_datagrams();
    boost::asio::awaitable<void> run_rounds();
    void run_round();
    void probe_witnesses();
    void look_for_hosts();
    void take(const wire::gossip_datagram& datagram, const boost::asio::ip::udp::endpoint& from);
    void take_contents(const wire::gossip_datagram& datagram);
    void take_ack(const wire::gossip_datagram& datagram);
    void ping(const std::string& host, const std::string& address);
    void ping_through(const std::string& helper, const std::string& subject);
    void send(wire::gossip_datagram datagram, const boost::asio::ip::udp::endpoint& to);
    void fill(wire::gossip_datagram& datagram);
    void forget_probes();
    [[nodiscard]] std::string address_of(std::string_view host) const;

    gossip_context context_;
    boost::asio::ip::udp::socket socket_;
    probe_state probing_;
    std::map<std::uint64_t, probe> probes_;
    std::map<std::uint64_t, relayed_probe> relayed_;
    std::map<std::string, heard_configuration, std::less<>> heard_;
    std::function<void(const std::string&)> on_later_;
    std::function<void()> on_members_;
    std::uint64_t next_sequence_;
    std::uint64_t rounds_{0};
    bool spreading_{false};
};

/// The datagram's bytes with the proof of the secret in front.
[[nodiscard]] std::string seal_datagram(const wire::gossip_datagram& datagram, std::string_view secret);
/// Reads a sealed datagram; fails when it is malformed or its proof is wrong.
[[nodiscard]] result<wire::gossip_datagram> open_datagram(std::string_view bytes, std::string_view secret);

} // namespace dandelionmount

#endif
