#include "dandelionmount/process/membership.h"

#include "dandelionmount/process/rendezvous.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace dandelionmount {

namespace {

// Each change goes into this many datagrams for each doubling of the fleet. Source: Das, Gupta and Motivala,
// "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002.
constexpr int spread_factor = 4;
constexpr duration gone_memory = std::chrono::minutes(2);

int datagrams_for_change(const member_table& table) {
    const auto hosts = static_cast<unsigned>(table.others.size() + 1);
    return spread_factor * std::max(1, static_cast<int>(std::bit_width(hosts)));
}

void spread(member_table& table, std::string_view host) {
    table.to_spread.insert_or_assign(std::string(host), datagrams_for_change(table));
}

// A host in the slot of an older one has replaced it.
void retire_predecessor(member_table& table, const wire::member_record& record, steady_time now) {
    for (auto& [host, other] : table.others) {
        const bool same_slot = other.zone() == record.zone() && other.slot() == record.slot();
        const bool older = host != record.host() && other.incarnation() < record.incarnation();
        if (same_slot && older && other.state() == wire::member_alive) {
            other.set_state(wire::member_left);
            table.gone_since[host] = now;
            spread(table, host);
        }
    }
}

merge_outcome merge_own_record(member_table& table, const wire::member_record& record) {
    const bool same_life = record.incarnation() == table.self.incarnation();
    const bool false_report = record.state() != wire::member_alive &&
                              table.self.state() == wire::member_alive &&
                              record.counter() >= table.self.counter();
    if (!same_life || !false_report) {
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

std::uint64_t record_hash(const wire::member_record& record) {
    const std::string facts = std::to_string(record.incarnation()) + ":" + std::to_string(record.counter()) +
                              ":" + std::to_string(record.state());
    return rendezvous_weight(record.host(), facts);
}

} // namespace

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
    table.others[record.host()] = record;
    if (record.state() == wire::member_alive) {
        table.gone_since.erase(record.host());
        retire_predecessor(table, record, now);
    } else {
        table.gone_since[record.host()] = now;
    }
    spread(table, record.host());
    return merge_outcome::changed;
}

void declare_dead(member_table& table, std::string_view host, steady_time now) {
    const auto found = table.others.find(host);
    if (found == table.others.end() || found->second.state() != wire::member_alive) {
        return;
    }
    found->second.set_state(wire::member_dead);
    table.gone_since[found->first] = now;
    spread(table, host);
}

void announce_self(member_table& table) {
    table.self.set_counter(table.self.counter() + 1);
    spread(table, table.self.host());
}

void forget_gone(member_table& table, steady_time now) {
    for (auto entry = table.gone_since.begin(); entry != table.gone_since.end();) {
        if (now - entry->second < gone_memory) {
            ++entry;
            continue;
        }
        table.others.erase(entry->first);
        table.to_spread.erase(entry->first);
        entry = table.gone_since.erase(entry);
    }
}

std::vector<wire::member_record> records_to_send(member_table& table) {
    std::vector<std::pair<int, std::string>> queue;
    queue.reserve(table.to_spread.size());
    for (const auto& [host, left] : table.to_spread) {
        queue.emplace_back(-left, host);
    }
    const std::size_t count = std::min(queue.size(), most_records_in_datagram);
    std::partial_sort(queue.begin(), queue.begin() + static_cast<std::ptrdiff_t>(count), queue.end());
    std::vector<wire::member_record> records;
    for (std::size_t index = 0; index < count; ++index) {
        const std::string& host = queue[index].second;
        const wire::member_record* record = find_record(table, host);
        if (record != nullptr) {
            records.push_back(*record);
        }
        const auto entry = table.to_spread.find(host);
        if (--entry->second <= 0) {
            table.to_spread.erase(entry);
        }
    }
    return records;
}

std::vector<wire::member_record> sample_records(const member_table& table, std::size_t count,
                                                std::mt19937_64& random) {
    std::vector<const wire::member_record*> all;
    all.reserve(table.others.size());
    for (const auto& [host, record] : table.others) {
        all.push_back(&record);
    }
    std::vector<const wire::member_record*> drawn;
    std::sample(all.begin(), all.end(), std::back_inserter(drawn), count, random);
    std::vector<wire::member_record> records;
    records.reserve(drawn.size());
    for (const auto* record : drawn) {
        records.push_back(*record);
    }
    return records;
}

std::uint64_t table_digest(const member_table& table) {
    std::uint64_t digest = record_hash(table.self);
    for (const auto& [host, record] : table.others) {
        if (record.state() == wire::member_alive) {
            digest ^= record_hash(record);
        }
    }
    return digest;
}

std::vector<std::string> alive_hosts(const member_table& table) {
    std::vector<std::string> hosts;
    for (const auto& [host, record] : table.others) {
        if (record.state() == wire::member_alive) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

const wire::member_record* find_slot(const member_table& table, std::string_view zone, std::uint32_t slot) {
    const auto matches = [&](const wire::member_record& record) {
        return record.zone() == zone && record.slot() == slot && record.state() == wire::member_alive;
    };
    const wire::member_record* best = matches(table.self) ? &table.self : nullptr;
    for (const auto& [host, record] : table.others) {
        if (matches(record) && (best == nullptr || record.incarnation() > best->incarnation())) {
            best = &record;
        }
    }
    return best;
}

std::uint64_t slot_incarnation(const member_table& table, std::string_view zone, std::uint32_t slot) {
    std::uint64_t highest = 0;
    if (table.self.zone() == zone && table.self.slot() == slot) {
        highest = table.self.incarnation();
    }
    for (const auto& [host, record] : table.others) {
        if (record.zone() == zone && record.slot() == slot) {
            highest = std::max<std::uint64_t>(highest, record.incarnation());
        }
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
    std::vector<std::string> targets;
    for (auto& [host, rounds] : state.unanswered) {
        ++rounds;
        targets.push_back(host);
    }
    return targets;
}

void note_answer(probe_state& state, std::string_view host) {
    const auto found = state.unanswered.find(host);
    if (found != state.unanswered.end()) {
        state.unanswered.erase(found);
    }
}

std::vector<std::string> draw_hosts(const member_table& table, std::size_t count, std::string_view besides,
                                    std::mt19937_64& random) {
    std::vector<std::string> hosts = alive_hosts(table);
    std::erase(hosts, besides);
    std::vector<std::string> drawn;
    std::sample(hosts.begin(), hosts.end(), std::back_inserter(drawn), count, random);
    return drawn;
}

} // namespace dandelionmount
