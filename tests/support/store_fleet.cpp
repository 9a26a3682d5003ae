#include "tests/support/store_fleet.h"

#include "dandelionmount/process/rendezvous.h"

#include <algorithm>

namespace tests {

namespace dm = dandelionmount;
namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr dm::duration store_delay = milliseconds(4);
constexpr dm::duration link_delay = milliseconds(2);
constexpr dm::duration poll_interval = milliseconds(10);
constexpr dm::duration copy_retention = std::chrono::seconds(4);
constexpr std::size_t store_readers = 3;

dm::wire::member_record make_record(const std::string& host) {
    dm::wire::member_record record;
    record.set_host(host);
    record.set_zone("zone");
    record.set_address("127.0.0.1:7000");
    record.set_service("service");
    record.set_target(dm::wire::target_ready);
    record.set_target_slots(10);
    return record;
}

} // namespace

platform_store::platform_store(asio::io_context& io) : hosts(io), configuration(io) {}

void platform_store::take_copy() {
    copies_.push_back({time_.now(), hosts.take_copy(), configuration.take_copy()});
    while (time_.now() - copies_.front().taken_at > copy_retention) {
        copies_.pop_front();
    }
}

void platform_store::restore(dm::duration age) {
    if (copies_.empty()) {
        take_copy();
    }
    while (copies_.size() > 1 && time_.now() - copies_.back().taken_at < age) {
        copies_.pop_back();
    }
    hosts.restore(copies_.back().hosts);
    configuration.restore(copies_.back().configuration);
}

void platform_store::set_down(bool is_down) {
    hosts.refuses = is_down;
    configuration.refuses = is_down;
}

asio::awaitable<dm::result<dm::topic_records>> store_calls::read_newest(std::string topic) {
    ++calls;
    co_await dm::sleep_for(io_.get_executor(), store_delay);
    if (is_refused) {
        co_return dm::failure{"status 503"};
    }
    auto found = co_await store_.topic(topic).read_newest(topic);
    co_return found;
}

asio::awaitable<dm::result<dm::topic_records>> store_calls::read(std::string topic, std::uint64_t from,
                                                                 dm::duration wait) {
    ++calls;
    memory_store& store = store_.topic(topic);
    const auto era = store.era;
    const auto give_up_at = std::chrono::steady_clock::now() + wait;
    co_await dm::sleep_for(io_.get_executor(), store_delay);
    while (!is_refused && !store.refuses && store.era == era && from == store.end() &&
           std::chrono::steady_clock::now() < give_up_at) {
        co_await dm::sleep_for(io_.get_executor(), poll_interval);
    }
    // The connection was lost while the store was away.
    if (is_refused || store.era != era) {
        co_return dm::failure{"status 503"};
    }
    auto found = co_await store.read(topic, from, wait);
    co_return found;
}

asio::awaitable<dm::result<dm::append_outcome>>
store_calls::append(std::string topic, dm::keyed_record record, std::optional<std::uint64_t> at) {
    ++calls;
    ++appends;
    co_await dm::sleep_for(io_.get_executor(), store_delay);
    if (is_refused) {
        co_return dm::failure{"status 503"};
    }
    auto outcome = co_await store_.topic(topic).append(topic, std::move(record), at);
    co_return outcome;
}

host_process::host_process(
    asio::io_context& io, platform_store& platform, const std::string& name, std::uint64_t seed,
    std::function<dm::topic_peers(const std::string&)> peers,
    std::function<asio::awaitable<dm::result<dm::topic_records>>(std::string host)> fetch_newest,
    std::function<bool()> is_connected)
    : store(io, platform), random(seed), members{make_record(name)}, configuration({}, time),
      registry({io.get_executor(), time, counters, store, random, members, "hosts", [] {},
                [](const dm::wire::member_record&) {}, peers("hosts")}),
      source(
          {io.get_executor(), time, counters, store, random, "configuration", "document",
           peers("configuration"), configuration,
           [this](std::string_view document) {
               configuration.adopt_document(std::stoull(std::string(document)), {});
           },
           std::move(fetch_newest),
           [this, is_connected = std::move(is_connected)] {
               return dm::host_contact{!registry.secret().empty(), !members.others.empty(), is_connected()};
           }}) {
    configuration.require_freshness({store_fleet::key_validity});
    source.follower().on_later_era([this](std::uint64_t era) { registry.follower().apply_era(era); });
    registry.follower().on_later_era([this](std::uint64_t era) { source.follower().apply_era(era); });
    registry.start();
    source.start();
}

void host_process::stop() {
    is_running = false;
    store.is_refused = true;
    registry.stop();
    source.stop();
}

store_fleet::store_fleet(asio::io_context& io, std::uint64_t seed) : store(io), io_(io), random_(seed) {}

void store_fleet::start_host(const std::string& name) {
    if (find(name) != nullptr) {
        return;
    }
    processes_.push_back(std::make_unique<host_process>(
        io_, store, name, random_(),
        [this, name](const std::string& topic) { return make_peers(name, topic); },
        [this, name](std::string host) -> asio::awaitable<dm::result<dm::topic_records>> {
            co_await dm::sleep_for(io_.get_executor(), link_delay);
            const auto* own = find(name);
            const auto* other = find(host);
            if (own == nullptr || other == nullptr || !can_talk(*own, *other) || other->version() == 0) {
                co_return dm::failure{"no link to " + host};
            }
            dm::topic_records found;
            found.records.push_back({"document", std::to_string(other->version())});
            co_return found;
        },
        [this, name] {
            const auto others = running();
            const auto* own = find(name);
            return own != nullptr &&
                   std::any_of(others.begin(), others.end(), [&](const host_process* other) {
                       return other != own && can_talk(*own, *other);
                   });
        }));
    hosts_[name] = processes_.back().get();
}

void store_fleet::kill_host(const std::string& name) {
    if (auto* process = find(name); process != nullptr) {
        process->stop();
    }
}

asio::awaitable<void> store_fleet::stop_host(std::string name) {
    if (auto* process = find(name); process != nullptr) {
        co_await process->registry.leave();
        process->stop();
    }
}

host_process* store_fleet::find(const std::string& name) const {
    const auto found = hosts_.find(name);
    return found == hosts_.end() || !found->second->is_running ? nullptr : found->second;
}

std::vector<host_process*> store_fleet::running() const {
    std::vector<host_process*> found;
    for (const auto& [name, process] : hosts_) {
        if (process->is_running) {
            found.push_back(process);
        }
    }
    return found;
}

bool store_fleet::can_talk(const host_process& from, const host_process& to) const {
    return from.is_running && to.is_running && !from.is_isolated && !to.is_isolated &&
           !from.registry.secret().empty() && from.registry.secret() == to.registry.secret() &&
           from.members.others.contains(to.name());
}

std::vector<std::string> store_fleet::readers(const host_process& viewer) const {
    std::vector<std::string> connected{viewer.name()};
    for (const auto& [name, record] : viewer.members.others) {
        const auto* other = find(name);
        if (other != nullptr && can_talk(viewer, *other)) {
            connected.push_back(name);
        }
    }
    return dm::rendezvous_choose("reader", connected, store_readers);
}

dm::topic_peers store_fleet::make_peers(const std::string& host, const std::string& topic) {
    dm::topic_peers peers;
    peers.reads_store = [this, host] {
        const auto* own = find(host);
        if (own == nullptr || own->registry.secret().empty()) {
            return true;
        }
        const auto chosen = readers(*own);
        return std::find(chosen.begin(), chosen.end(), host) != chosen.end();
    };
    peers.fetch = [this, host, topic](std::string other_name, std::uint64_t era,
                                      std::uint64_t from) -> asio::awaitable<dm::result<dm::topic_records>> {
        co_await dm::sleep_for(io_.get_executor(), link_delay);
        const auto* own = find(host);
        auto* other = find(other_name);
        if (own == nullptr || other == nullptr || !can_talk(*own, *other)) {
            co_return dm::failure{"no link to " + other_name};
        }
        auto& follower = topic == "hosts" ? other->registry.follower() : other->source.follower();
        const auto records = follower.records_from(era, from);
        if (!records) {
            co_return dm::failure{other_name + " lacks the records"};
        }
        dm::topic_records found{*records, era, from + records->size(), from + records->size()};
        co_return found;
    };
    peers.end_validity = topic == "hosts" ? milliseconds(7000) : milliseconds(1600);
    peers.read_spread = milliseconds(500);
    return peers;
}

void store_fleet::exchange_reports() {
    for (auto* reporter : running()) {
        for (const auto& name : readers(*reporter)) {
            auto* reader = find(name);
            if (reporter == reader || !can_talk(*reporter, *reader)) {
                continue;
            }
            reader->source.compare_version(reporter->name(), reporter->version());
            reporter->source.compare_version(reader->name(), reader->version());
            if (const auto end = reader->source.follower().known_end()) {
                reporter->source.follower().apply_peer_end(reader->name(), *end);
            }
            if (const auto end = reader->registry.follower().known_end()) {
                reporter->registry.follower().apply_peer_end(reader->name(), *end);
            }
        }
    }
}

void store_fleet::publish() {
    for (auto* process : running()) {
        process->registry.publish();
    }
}

} // namespace tests
