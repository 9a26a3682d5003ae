#include "dandelionmount/process/membership.h"

#include "dandelionmount/process/rendezvous.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace dandelionmount {

namespace {

// A change is sent in this many datagrams for each doubling of the fleet (the retransmission factor of SWIM:
// Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
// Protocol", 2002).
constexpr int retransmission_factor = 4;
constexpr duration departed_retention = std::chrono::minutes(2);

int datagrams_per_update(const member_table& table) {
    const auto hosts = static_cast<unsigned>(table.others.size() + 1);
    return retransmission_factor * std::max(1, static_cast<int>(std::bit_width(hosts)));
}

void queue_update(member_table& table, std::string_view host) {
    table.pending_updates.insert_or_assign(std::string(host), datagrams_per_update(table));
}

std::uint64_t record_hash(const wire::member_record& record) {
    const std::string record_version = std::to_string(record.incarnation()) + ":" +
                                       std::to_string(record.counter()) + ":" +
                                       std::to_string(record.state());
    return rendezvous_weight(record.host(), record_version);
}

void add_alive(member_table& table, const wire::member_record& record) {
    table.alive_digest ^= record_hash(record);
    table.alive_position[record.host()] = table.alive.size();
    table.alive.push_back(record.host());
}

// Swaps the last host into the freed position.
void remove_alive(member_table& table, const wire::member_record& record) {
    table.alive_digest ^= record_hash(record);
    const auto found = table.alive_position.find(record.host());
    const std::size_t position = found->second;
    table.alive_position.erase(found);
    if (position + 1 < table.alive.size()) {
        table.alive[position] = std::move(table.alive.back());
        table.alive_position[table.alive[position]] = position;
    }
    table.alive.pop_back();
}

template <typename Index, typename Key>
void remove_from_index(Index& index, const Key& key, const std::string& host) {
    const auto found = index.find(key);
    if (found != index.end() && found->second.erase(host) > 0 && found->second.empty()) {
        index.erase(found);
    }
}

void change_state(member_table& table, const std::string& host, wire::member_state state, steady_time now) {
    wire::member_record changed = table.others.find(host)->second;
    changed.set_state(state);
    store_record(table, changed);
    table.departed_at[host] = now;
    queue_update(table, host);
}

// A newer host in a slot replaces the older one.
void retire_predecessors(member_table& table, const wire::member_record& record, steady_time now) {
    const auto found = table.hosts_by_slot.find({record.zone(), record.slot()});
    if (found == table.hosts_by_slot.end()) {
        return;
    }
    const std::set<std::string> hosts = found->second;
    for (const auto& host : hosts) {
        const auto& other = table.others.find(host)->second;
        const bool older = host != record.host() && other.incarnation() < record.incarnation();
        if (older && other.state() == wire::member_alive) {
            change_state(table, host, wire::member_left, now);
        }
    }
}

merge_outcome merge_own_record(member_table& table, const wire::member_record& record) {
    const bool same_incarnation = record.incarnation() == table.self.incarnation();
    const bool false_report = record.state() != wire::member_alive &&
                              table.self.state() == wire::member_alive &&
                              record.counter() >= table.self.counter();
    if (!same_incarnation || !false_report) {
        return merge_outcome::unchanged;
    }
    table.self.set_counter(record.counter());
    announce_self(table);
    return merge_outcome::refuted;
}

const wire::member_record* find_record(const member_table& table, std::string_view host) {
    if (host == table.self.host()) {
        return &table.self;
    }
    const auto found = table.others.find(host);
    return found == table.others.end() ? nullptr : &found->second;
}

} // namespace

void store_record(member_table& table, const wire::member_record& record) {
    erase_record(table, record.host());
    table.others[record.host()] = record;
    table.hosts_by_slot[{record.zone(), record.slot()}].insert(record.host());
    table.hosts_by_service[record.service()].insert(record.host());
    if (record.state() == wire::member_alive) {
        add_alive(table, record);
    }
}

void erase_record(member_table& table, const std::string& host) {
    const auto found = table.others.find(host);
    if (found == table.others.end()) {
        return;
    }
    const auto& record = found->second;
    if (record.state() == wire::member_alive) {
        remove_alive(table, record);
    }
    remove_from_index(table.hosts_by_slot, slot_key{record.zone(), record.slot()}, host);
    remove_from_index(table.hosts_by_service, record.service(), host);
    table.others.erase(found);
}

bool is_newer(const wire::member_record& left, const wire::member_record& right) {
    const auto rank = [](const wire::member_record& record) {
        return std::make_tuple(record.incarnation(), record.counter(), static_cast<int>(record.state()));
    };
    return rank(left) > rank(right);
}

merge_outcome merge_record(member_table& table, const wire::member_record& record, steady_time now) {
    if (record.host().empty() || record.incarnation() == 0) {
        return merge_outcome::unchanged;
    }
    if (record.host() == table.self.host()) {
        return merge_own_record(table, record);
    }
    const auto found = table.others.find(record.host());
    if (found == table.others.end() && record.state() != wire::member_alive) {
        return merge_outcome::unchanged;
    }
    if (found != table.others.end() && !is_newer(record, found->second)) {
        return merge_outcome::unchanged;
    }
    store_record(table, record);
    if (record.state() == wire::member_alive) {
        table.departed_at.erase(record.host());
        retire_predecessors(table, record, now);
    } else {
        table.departed_at[record.host()] = now;
    }
    queue_update(table, record.host());
    return merge_outcome::changed;
}

void declare_dead(member_table& table, std::string_view host, steady_time now) {
    const auto found = table.others.find(host);
    if (found == table.others.end() || found->second.state() != wire::member_alive) {
        return;
    }
    change_state(table, std::string(host), wire::member_dead, now);
}

void announce_self(member_table& table) {
    table.self.set_counter(table.self.counter() + 1);
    queue_update(table, table.self.host());
}

void remove_departed(member_table& table, steady_time now) {
    for (auto entry = table.departed_at.begin(); entry != table.departed_at.end();) {
        if (now - entry->second < departed_retention) {
            ++entry;
            continue;
        }
        erase_record(table, entry->first);
        table.pending_updates.erase(entry->first);
        entry = table.departed_at.erase(entry);
    }
}

std::vector<wire::member_record> records_to_send(member_table& table) {
    std::vector<std::pair<int, std::string>> queue;
    queue.reserve(table.pending_updates.size());
    for (const auto& [host, left] : table.pending_updates) {
        queue.emplace_back(-left, host);
    }
    const std::size_t count = std::min(queue.size(), max_records_per_datagram);
    std::partial_sort(queue.begin(), queue.begin() + static_cast<std::ptrdiff_t>(count), queue.end());
    std::vector<wire::member_record> records;
    for (std::size_t index = 0; index < count; ++index) {
        const std::string& host = queue[index].second;
        const wire::member_record* record = find_record(table, host);
        if (record != nullptr) {
            records.push_back(*record);
        }
        const auto entry = table.pending_updates.find(host);
        if (--entry->second <= 0) {
            table.pending_updates.erase(entry);
        }
    }
    return records;
}

std::vector<wire::member_record> sample_records(const member_table& table, std::size_t count,
                                                std::mt19937_64& random) {
    std::vector<wire::member_record> records;
    for (const auto& host : draw_hosts(table, count, "", random)) {
        records.push_back(table.others.find(host)->second);
    }
    return records;
}

std::uint64_t table_digest(const member_table& table) {
    return record_hash(table.self) ^ table.alive_digest;
}

std::vector<std::string> alive_hosts(const member_table& table) {
    return table.alive;
}

const wire::member_record* find_slot(const member_table& table, std::string_view zone, std::uint32_t slot) {
    const bool own = table.self.zone() == zone && table.self.slot() == slot;
    const wire::member_record* best = own ? &table.self : nullptr;
    const auto found = table.hosts_by_slot.find({std::string(zone), slot});
    if (found == table.hosts_by_slot.end()) {
        return best;
    }
    for (const auto& host : found->second) {
        const auto& record = table.others.find(host)->second;
        const bool alive = record.state() == wire::member_alive;
        if (alive && (best == nullptr || record.incarnation() > best->incarnation())) {
            best = &record;
        }
    }
    return best;
}

std::uint64_t slot_incarnation(const member_table& table, std::string_view zone, std::uint32_t slot) {
    const bool own = table.self.zone() == zone && table.self.slot() == slot;
    std::uint64_t highest = own ? table.self.incarnation() : 0;
    const auto found = table.hosts_by_slot.find({std::string(zone), slot});
    if (found == table.hosts_by_slot.end()) {
        return highest;
    }
    for (const auto& host : found->second) {
        highest = std::max<std::uint64_t>(highest, table.others.find(host)->second.incarnation());
    }
    return highest;
}

std::vector<std::string> next_probes(probe_state& state, const member_table& table, std::mt19937_64& random,
                                     std::vector<std::string>& dead) {
    for (auto entry = state.unanswered.begin(); entry != state.unanswered.end();) {
        const auto found = table.others.find(entry->first);
        const bool alive = found != table.others.end() && found->second.state() == wire::member_alive;
        if (alive && entry->second >= rounds_until_dead) {
            dead.push_back(entry->first);
        }
        const bool done = !alive || entry->second >= rounds_until_dead;
        entry = done ? state.unanswered.erase(entry) : std::next(entry);
    }
    if (state.rounds++ % rounds_between_probes == 0) {
        if (state.order.empty()) {
            const auto hosts = alive_hosts(table);
            state.order.assign(hosts.begin(), hosts.end());
            std::shuffle(state.order.begin(), state.order.end(), random);
        }
        if (!state.order.empty()) {
            state.unanswered.try_emplace(state.order.front(), 0);
            state.order.pop_front();
        }
    }
    std::vector<std::string> hosts_to_probe;
    for (auto& [host, rounds] : state.unanswered) {
        ++rounds;
        hosts_to_probe.push_back(host);
    }
    return hosts_to_probe;
}

void record_probe_answer(probe_state& state, std::string_view host) {
    const auto found = state.unanswered.find(host);
    if (found != state.unanswered.end()) {
        state.unanswered.erase(found);
    }
}

std::vector<std::string> draw_hosts(const member_table& table, std::size_t count, std::string_view excluded,
                                    std::mt19937_64& random) {
    std::vector<std::string> drawn;
    if (table.alive.empty()) {
        return drawn;
    }
    std::uniform_int_distribution<std::size_t> draw(0, table.alive.size() - 1);
    // Sampling with replacement costs the same for any fleet size; the extra draws make up for duplicates.
    constexpr std::size_t draws_per_host = 4;
    for (std::size_t tries = 0; tries < draws_per_host * count && drawn.size() < count; ++tries) {
        const std::string& host = table.alive[draw(random)];
        if (host != excluded && std::find(drawn.begin(), drawn.end(), host) == drawn.end()) {
            drawn.push_back(host);
        }
    }
    return drawn;
}

} // namespace dandelionmount
