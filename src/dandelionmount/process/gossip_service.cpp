#include "dandelionmount/process/gossip_service.h"

#include "dandelionmount/connection/address.h"
#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/process/crypto.h"
#include "dandelionmount/process/logging.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace dandelionmount {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

constexpr std::size_t mac_bytes = 32;
constexpr std::size_t max_datagram_bytes = 8192;
// Hosts that are sent a change at once; each of them gossips it to as many in turn.
constexpr std::size_t gossip_fan_out = 4;
constexpr duration gossip_delay = std::chrono::milliseconds(5);
// Each lease voter is probed twice within the time for which its reply counts.
constexpr int rounds_between_voter_probes = 8;
constexpr int rounds_between_discoveries = 6;
constexpr int rounds_until_indirect_probe = 2;
constexpr duration probe_retention = std::chrono::seconds(3);
constexpr int max_withdrawals_per_datagram = 32;

} // namespace

std::string seal_datagram(const wire::gossip_datagram& datagram, std::string_view secret) {
    const std::string body = datagram.SerializeAsString();
    return hmac_sha256(secret, body) + body;
}

result<wire::gossip_datagram> open_datagram(std::string_view bytes, std::string_view secret) {
    if (bytes.size() <= mac_bytes) {
        return failure{"datagram is too short"};
    }
    const std::string_view body = bytes.substr(mac_bytes);
    if (!equal_secrets(bytes.substr(0, mac_bytes), hmac_sha256(secret, body))) {
        return failure{"wrong message authentication code"};
    }
    wire::gossip_datagram datagram;
    if (!datagram.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
        return failure{"datagram body is malformed"};
    }
    return datagram;
}

std::vector<std::string> outdated_hosts(const member_table& members,
                                        const peer_configuration_map& configurations,
                                        std::uint64_t next_offset) {
    std::vector<std::string> outdated = alive_hosts(members);
    std::erase_if(outdated, [&](const std::string& host) {
        const auto found = configurations.find(host);
        return found != configurations.end() && found->second.next_offset >= next_offset;
    });
    return outdated;
}

gossip_service::gossip_service(gossip_context context)
    : context_(std::move(context)), socket_(context_.executor), next_sequence_(random_number()) {}

result<void> gossip_service::listen(std::string_view address) {
    const auto parsed = parse_address(address);
    if (!parsed) {
        return failure{std::string(address) + ": not an IP address and a port"};
    }
    const udp::endpoint endpoint(parsed->ip, parsed->port);
    boost::system::error_code error;
    socket_.open(endpoint.protocol(), error);
    if (!error) {
        socket_.bind(endpoint, error);
    }
    if (error) {
        return failure{std::string(address) + ": " + error.message()};
    }
    asio::co_spawn(context_.executor, receive_datagrams(), asio::detached);
    asio::co_spawn(context_.executor, run_rounds(), asio::detached);
    return boost::outcome_v2::success();
}

void gossip_service::stop() {
    boost::system::error_code ignored;
    socket_.close(ignored);
}

asio::awaitable<void> gossip_service::receive_datagrams() {
    std::array<char, max_datagram_bytes> bytes{};
    while (socket_.is_open()) {
        udp::endpoint from;
        auto [error, count] = co_await socket_.async_receive_from(asio::buffer(bytes), from, as_result);
        if (error) {
            co_await sleep_for(context_.executor, gossip_delay);
            continue;
        }
        context_.counters.count(event::datagrams_received);
        const auto datagram = open_datagram({bytes.data(), count}, context_.self.secret);
        if (datagram) {
            handle_datagram(datagram.value(), from);
        } else {
            context_.counters.count(event::datagrams_rejected);
        }
    }
}

asio::awaitable<void> gossip_service::run_rounds() {
    while (socket_.is_open()) {
        run_round();
        co_await sleep_for(context_.executor, probe_interval);
    }
}

void gossip_service::run_round() {
    const auto now = context_.time.now();
    std::vector<std::string> dead;
    const auto hosts_to_probe = next_probes(probe_state_, context_.members, context_.random, dead);
    for (const auto& host : dead) {
        declare_dead(context_.members, host, now);
        context_.counters.count(event::members_declared_dead);
        log_event(log_level::warning, "host declared dead", {{"host", host}});
    }
    if (!dead.empty()) {
        schedule_gossip();
        on_member_change_();
    }
    for (const auto& host : hosts_to_probe) {
        ping(host, address_of(host));
        if (probe_state_.unanswered[host] > rounds_until_indirect_probe) {
            for (const auto& relay :
                 draw_hosts(context_.members, indirect_probe_count, host, context_.random)) {
                ping_indirectly(relay, host);
            }
        }
    }
    ++round_;
    if (round_ % rounds_between_voter_probes == 0) {
        probe_lease_voters();
    }
    if (round_ % rounds_between_discoveries == 1) {
        discover_hosts();
        remove_departed(context_.members, now);
        remove_expired_probes();
    }
}

void gossip_service::probe_lease_voters() {
    for (const auto& slot : context_.lease.voters) {
        const auto number = static_cast<std::uint32_t>(std::stoul(slot.substr(slot.rfind('/') + 1)));
        const auto* member = find_slot(context_.members, context_.members.self.zone(), number);
        if (member != nullptr) {
            ping(member->host(), member->address());
        }
    }
}

// Probes one address of a host that is not known to be alive, so that a partitioned fleet merges again.
void gossip_service::discover_hosts() {
    std::set<std::string> alive{context_.members.self.address()};
    std::vector<std::string> addresses = context_.seeds;
    for (const auto& [host, record] : context_.members.others) {
        if (record.state() == wire::member_alive) {
            alive.insert(record.address());
        } else {
            addresses.push_back(record.address());
        }
    }
    for (const auto& [slot, holder] : context_.configuration.state().holders) {
        addresses.push_back(holder.address);
    }
    std::erase_if(addresses, [&alive](const std::string& address) { return alive.contains(address); });
    if (!addresses.empty()) {
        std::uniform_int_distribution<std::size_t> draw(0, addresses.size() - 1);
        ping("", addresses[draw(context_.random)]);
    }
}

void gossip_service::remove_expired_probes() {
    const auto now = context_.time.now();
    std::erase_if(probes_, [now](const auto& entry) { return now - entry.second.sent_at > probe_retention; });
    std::erase_if(relayed_probes_,
                  [now](const auto& entry) { return now - entry.second.sent_at > probe_retention; });
}

void gossip_service::probe_all() {
    for (const auto& host : alive_hosts(context_.members)) {
        ping(host, address_of(host));
    }
}

std::vector<std::string> gossip_service::probe_outdated_hosts() {
    auto outdated =
        outdated_hosts(context_.members, peer_configurations_, context_.configuration.state().version);
    for (const auto& host : outdated) {
        ping(host, address_of(host));
    }
    return outdated;
}

void gossip_service::schedule_gossip() {
    if (gossip_scheduled_) {
        return;
    }
    gossip_scheduled_ = true;
    const auto send_updates = [this]() -> asio::awaitable<void> {
        co_await sleep_for(context_.executor, gossip_delay);
        gossip_scheduled_ = false;
        for (const auto& host : draw_hosts(context_.members, gossip_fan_out, "", context_.random)) {
            const auto address = parse_address(address_of(host));
            if (address) {
                wire::gossip_datagram datagram;
                datagram.set_kind(wire::datagram_update);
                send(std::move(datagram), udp::endpoint(address->ip, address->port));
            }
        }
    };
    asio::co_spawn(context_.executor, send_updates, asio::detached);
}

std::string gossip_service::address_of(std::string_view host) const {
    const auto found = context_.members.others.find(host);
    return found == context_.members.others.end() ? std::string() : found->second.address();
}

void gossip_service::ping(const std::string& host, const std::string& address) {
    const auto parsed = parse_address(address);
    if (!parsed) {
        return;
    }
    wire::gossip_datagram datagram;
    datagram.set_kind(wire::datagram_ping);
    datagram.set_sequence(next_sequence_++);
    probes_[datagram.sequence()] = {host, context_.time.now()};
    const auto found = context_.members.others.find(host);
    if (found != context_.members.others.end()) {
        const auto& record = found->second;
        datagram.set_slot_incarnation(slot_incarnation(context_.members, record.zone(), record.slot()));
    }
    send(std::move(datagram), udp::endpoint(parsed->ip, parsed->port));
}

void gossip_service::ping_indirectly(const std::string& relay, const std::string& subject) {
    const auto address = parse_address(address_of(relay));
    if (!address) {
        return;
    }
    wire::gossip_datagram datagram;
    datagram.set_kind(wire::datagram_ping_request);
    datagram.set_sequence(next_sequence_++);
    datagram.set_subject(subject);
    probes_[datagram.sequence()] = {subject, context_.time.now()};
    send(std::move(datagram), udp::endpoint(address->ip, address->port));
}

void gossip_service::add_piggybacked_state(wire::gossip_datagram& datagram) {
    datagram.set_from(context_.self.host);
    datagram.set_from_incarnation(context_.self.incarnation);
    datagram.set_state_version(context_.configuration.state().next_offset);
    datagram.set_members_digest(table_digest(context_.members));
    int withdrawals = 0;
    for (const auto& id : context_.configuration.pending_withdrawals()) {
        if (withdrawals++ < max_withdrawals_per_datagram) {
            datagram.add_withdrawn_keys(id);
        }
    }
    *datagram.add_members() = context_.members.self;
    for (const auto& record : records_to_send(context_.members)) {
        *datagram.add_members() = record;
    }
}

void gossip_service::send(wire::gossip_datagram datagram, const udp::endpoint& to) {
    add_piggybacked_state(datagram);
    const std::string bytes = seal_datagram(datagram, context_.self.secret);
    boost::system::error_code ignored;
    socket_.send_to(asio::buffer(bytes), to, 0, ignored);
    context_.counters.count(event::datagrams_sent);
    context_.counters.count(event::datagram_bytes_sent, bytes.size());
}

void gossip_service::handle_datagram(const wire::gossip_datagram& datagram, const udp::endpoint& from) {
    if (datagram.from() == context_.self.host) {
        return;
    }
    const bool differs = datagram.members_digest() != table_digest(context_.members);
    apply_piggybacked_state(datagram);
    switch (datagram.kind()) {
    case wire::datagram_ping: {
        wire::gossip_datagram ack;
        ack.set_kind(wire::datagram_ack);
        ack.set_sequence(datagram.sequence());
        const auto sender = context_.members.others.find(datagram.from());
        if (sender != context_.members.others.end()) {
            const auto& record = sender->second;
            ack.set_slot_incarnation(slot_incarnation(context_.members, record.zone(), record.slot()));
            if (record.state() != wire::member_alive) {
                *ack.add_members() = record;
            }
        }
        if (differs) {
            for (auto& record : sample_records(context_.members, max_records_per_datagram, context_.random)) {
                *ack.add_members() = std::move(record);
            }
        }
        send(std::move(ack), from);
        break;
    }
    case wire::datagram_ack:
        handle_ack(datagram);
        break;
    case wire::datagram_ping_request: {
        relayed_probes_[next_sequence_] = {from, datagram.sequence(), datagram.subject(),
                                           context_.time.now()};
        ping(datagram.subject(), address_of(datagram.subject()));
        break;
    }
    default:
        break;
    }
}

void gossip_service::apply_piggybacked_state(const wire::gossip_datagram& datagram) {
    const auto now = context_.time.now();
    bool has_updates = false;
    bool members_changed = false;
    for (const auto& record : datagram.members()) {
        const auto merged = merge_record(context_.members, record, now);
        members_changed |= merged == merge_outcome::changed;
        has_updates |= merged != merge_outcome::unchanged;
    }
    auto& reported = peer_configurations_[datagram.from()];
    reported.next_offset = std::max<std::uint64_t>(reported.next_offset, datagram.state_version());
    for (const auto& id : datagram.withdrawn_keys()) {
        reported.pending_withdrawals.insert(id);
        has_updates |= context_.configuration.withdraw(id);
    }
    const auto sender = context_.members.others.find(datagram.from());
    if (sender != context_.members.others.end() && sender->second.zone() != context_.members.self.zone()) {
        context_.configuration.record_contact();
    }
    if (datagram.slot_incarnation() > context_.self.incarnation) {
        context_.lease.superseded = true;
    }
    if (datagram.state_version() > context_.configuration.state().next_offset) {
        on_newer_configuration_(datagram.from());
    }
    if (members_changed) {
        on_member_change_();
    }
    if (has_updates) {
        schedule_gossip();
    }
}

void gossip_service::handle_ack(const wire::gossip_datagram& datagram) {
    const auto relayed = relayed_probes_.find(datagram.sequence());
    if (relayed != relayed_probes_.end()) {
        wire::gossip_datagram ack;
        ack.set_kind(wire::datagram_ack);
        ack.set_sequence(relayed->second.sequence);
        ack.set_subject(relayed->second.subject);
        send(std::move(ack), relayed->second.requester);
        relayed_probes_.erase(relayed);
    }
    const auto found = probes_.find(datagram.sequence());
    if (found == probes_.end()) {
        return;
    }
    const probe answered = found->second;
    probes_.erase(found);
    record_probe_answer(probe_state_, datagram.subject().empty() ? datagram.from() : datagram.subject());
    const auto member = context_.members.others.find(datagram.from());
    const bool same_zone =
        member != context_.members.others.end() && member->second.zone() == context_.members.self.zone();
    if (datagram.subject().empty() && same_zone) {
        const std::string slot = slot_name(member->second.zone(), member->second.slot());
        record_voter_reply(context_.lease, slot, datagram.slot_incarnation(), answered.sent_at,
                           context_.time.now());
    }
}

} // namespace dandelionmount
