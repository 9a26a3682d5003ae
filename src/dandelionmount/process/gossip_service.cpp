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

constexpr std::size_t proof_bytes = 32;
constexpr std::size_t most_datagram_bytes = 8192;
// Hosts that hear of a change at once; they tell as many in turn.
constexpr std::size_t spread_fan_out = 4;
constexpr duration spread_delay = std::chrono::milliseconds(5);
// Two probes of each witness fit into the term for which its answer counts.
constexpr int rounds_between_witness_probes = 8;
constexpr int rounds_between_searches = 6;
constexpr int rounds_until_indirect = 2;
constexpr duration probe_memory = std::chrono::seconds(3);
constexpr int most_withdrawals_in_datagram = 32;

} // namespace

std::string seal_datagram(const wire::gossip_datagram& datagram, std::string_view secret) {
    const std::string body = datagram.SerializeAsString();
    return hmac_sha256(secret, body) + body;
}

result<wire::gossip_datagram> open_datagram(std::string_view bytes, std::string_view secret) {
    if (bytes.size() <= proof_bytes) {
        return failure{"short datagram"};
    }
    const std::string_view body = bytes.substr(proof_bytes);
    if (!equal_secrets(bytes.substr(0, proof_bytes), hmac_sha256(secret, body))) {
        return failure{"the sender does not know the secret"};
    }
    wire::gossip_datagram datagram;
    if (!datagram.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
        return failure{"malformed datagram"};
    }
    return datagram;
}

std::vector<std::string> hosts_behind(const member_table& members, const heard_configurations& heard,
                                      std::uint64_t version) {
    std::vector<std::string> behind = alive_hosts(members);
    std::erase_if(behind, [&](const std::string& host) {
        const auto found = heard.find(host);
        return found != heard.end() && found->second.next_offset >= version;
    });
    return behind;
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
    std::array<char, most_datagram_bytes> bytes{};
    while (socket_.is_open()) {
        udp::endpoint from;
        auto [error, count] = co_await socket_.async_receive_from(asio::buffer(bytes), from, as_result);
        if (error) {
            co_await sleep_for(context_.executor, spread_delay);
            continue;
        }
        context_.counters.count(event::datagrams_received);
        const auto datagram = open_datagram({bytes.data(), count}, context_.self.secret);
        if (datagram) {
            take(datagram.value(), from);
        } else {
            context_.counters.count(event::datagrams_rejected);
        }
    }
}

asio::awaitable<void> gossip_service::run_rounds() {
    while (socket_.is_open()) {
        run_round();
        co_await sleep_for(context_.executor, probe_round);
    }
}

void gossip_service::run_round() {
    const auto now = context_.time.now();
    std::vector<std::string> dead;
    const auto targets = next_probes(probing_, context_.members, context_.random, dead);
    for (const auto& host : dead) {
        declare_dead(context_.members, host, now);
        context_.counters.count(event::members_declared_dead);
        log_event(log_level::warning, "host counts as dead", {{"host", host}});
    }
    if (!dead.empty()) {
        spread_soon();
        on_members_();
    }
    for (const auto& host : targets) {
        ping(host, address_of(host));
        if (probing_.unanswered[host] > rounds_until_indirect) {
            for (const auto& helper : draw_hosts(context_.members, indirect_probes, host, context_.random)) {
                ping_through(helper, host);
            }
        }
    }
    ++rounds_;
    if (rounds_ % rounds_between_witness_probes == 0) {
        probe_witnesses();
    }
    if (rounds_ % rounds_between_searches == 1) {
        look_for_hosts();
        forget_gone(context_.members, now);
        forget_probes();
    }
}

void gossip_service::probe_witnesses() {
    for (const auto& slot : context_.lease.voters) {
        const auto number = static_cast<std::uint32_t>(std::stoul(slot.substr(slot.rfind('/') + 1)));
        const auto* member = find_slot(context_.members, context_.members.self.zone(), number);
        if (member != nullptr) {
            ping(member->host(), member->address());
        }
    }
}

// Asks one address at which a host should be that is not known to be alive, so that parts of the fleet which
// lost each other find together again.
void gossip_service::look_for_hosts() {
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

void gossip_service::forget_probes() {
    const auto now = context_.time.now();
    std::erase_if(probes_, [now](const auto& entry) { return now - entry.second.sent > probe_memory; });
    std::erase_if(relayed_, [now](const auto& entry) { return now - entry.second.sent > probe_memory; });
}

void gossip_service::probe_all() {
    for (const auto& host : alive_hosts(context_.members)) {
        ping(host, address_of(host));
    }
}

std::vector<std::string> gossip_service::probe_behind() {
    auto behind = hosts_behind(context_.members, heard_, context_.configuration.state().version);
    for (const auto& host : behind) {
        ping(host, address_of(host));
    }
    return behind;
}

void gossip_service::spread_soon() {
    if (spreading_) {
        return;
    }
    spreading_ = true;
    const auto spread = [this]() -> asio::awaitable<void> {
        co_await sleep_for(context_.executor, spread_delay);
        spreading_ = false;
        for (const auto& host : draw_hosts(context_.members, spread_fan_out, "", context_.random)) {
            const auto address = parse_address(address_of(host));
            if (address) {
                wire::gossip_datagram datagram;
                datagram.set_kind(wire::datagram_update);
                send(std::move(datagram), udp::endpoint(address->ip, address->port));
            }
        }
    };
    asio::co_spawn(context_.executor, spread, asio::detached);
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

void gossip_service::ping_through(const std::string& helper, const std::string& subject) {
    const auto address = parse_address(address_of(helper));
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

void gossip_service::fill(wire::gossip_datagram& datagram) {
    datagram.set_from(context_.self.host);
    datagram.set_from_incarnation(context_.self.incarnation);
    datagram.set_state_version(context_.configuration.state().next_offset);
    datagram.set_members_digest(table_digest(context_.members));
    int withdrawals = 0;
    for (const auto& id : context_.configuration.pending_withdrawals()) {
        if (withdrawals++ < most_withdrawals_in_datagram) {
            datagram.add_withdrawn_keys(id);
        }
    }
    *datagram.add_members() = context_.members.self;
    for (const auto& record : records_to_send(context_.members)) {
        *datagram.add_members() = record;
    }
}

void gossip_service::send(wire::gossip_datagram datagram, const udp::endpoint& to) {
    fill(datagram);
    const std::string bytes = seal_datagram(datagram, context_.self.secret);
    boost::system::error_code ignored;
    socket_.send_to(asio::buffer(bytes), to, 0, ignored);
    context_.counters.count(event::datagrams_sent);
    context_.counters.count(event::datagram_bytes_sent, bytes.size());
}

void gossip_service::take(const wire::gossip_datagram& datagram, const udp::endpoint& from) {
    if (datagram.from() == context_.self.host) {
        return;
    }
    const bool differs = datagram.members_digest() != table_digest(context_.members);
    take_contents(datagram);
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
            for (auto& record : sample_records(context_.members, most_records_in_datagram, context_.random)) {
                *ack.add_members() = std::move(record);
            }
        }
        send(std::move(ack), from);
        break;
    }
    case wire::datagram_ack:
        take_ack(datagram);
        break;
    case wire::datagram_ping_request: {
        relayed_[next_sequence_] = {from, datagram.sequence(), datagram.subject(), context_.time.now()};
        ping(datagram.subject(), address_of(datagram.subject()));
        break;
    }
    default:
        break;
    }
}

void gossip_service::take_contents(const wire::gossip_datagram& datagram) {
    const auto now = context_.time.now();
    bool news = false;
    bool members_changed = false;
    for (const auto& record : datagram.members()) {
        const auto merged = merge_record(context_.members, record, now);
        members_changed |= merged == merge_outcome::changed;
        news |= merged != merge_outcome::unchanged;
    }
    auto& heard = heard_[datagram.from()];
    heard.next_offset = std::max<std::uint64_t>(heard.next_offset, datagram.state_version());
    for (const auto& id : datagram.withdrawn_keys()) {
        heard.pending_withdrawals.insert(id);
        news |= context_.configuration.withdraw(id);
    }
    const auto sender = context_.members.others.find(datagram.from());
    if (sender != context_.members.others.end() && sender->second.zone() != context_.members.self.zone()) {
        context_.configuration.note_contact();
    }
    if (datagram.slot_incarnation() > context_.self.incarnation) {
        context_.lease.superseded = true;
    }
    if (datagram.state_version() > context_.configuration.state().next_offset) {
        on_later_(datagram.from());
    }
    if (members_changed) {
        on_members_();
    }
    if (news) {
        spread_soon();
    }
}

void gossip_service::take_ack(const wire::gossip_datagram& datagram) {
    const auto relayed = relayed_.find(datagram.sequence());
    if (relayed != relayed_.end()) {
        wire::gossip_datagram ack;
        ack.set_kind(wire::datagram_ack);
        ack.set_sequence(relayed->second.sequence);
        ack.set_subject(relayed->second.subject);
        send(std::move(ack), relayed->second.requester);
        relayed_.erase(relayed);
    }
    const auto found = probes_.find(datagram.sequence());
    if (found == probes_.end()) {
        return;
    }
    const probe answered = found->second;
    probes_.erase(found);
    note_answer(probing_, datagram.subject().empty() ? datagram.from() : datagram.subject());
    const auto member = context_.members.others.find(datagram.from());
    const bool same_zone =
        member != context_.members.others.end() && member->second.zone() == context_.members.self.zone();
    if (datagram.subject().empty() && same_zone) {
        const std::string slot = slot_name(member->second.zone(), member->second.slot());
        record_voter_reply(context_.lease, slot, datagram.slot_incarnation(), answered.sent,
                           context_.time.now());
    }
}

} // namespace dandelionmount
