#ifndef DANDELIONMOUNT_TESTS_SUPPORT_MEMBER_FLEET_H
#define DANDELIONMOUNT_TESTS_SUPPORT_MEMBER_FLEET_H

#include "dandelionmount/process/membership.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace tests {

/// Simulates a fleet of members in one thread: the real membership code over links that lose messages.
class member_fleet {
public:
    /// `loss` is the fraction of messages lost.
    member_fleet(std::size_t hosts, double loss, std::uint64_t seed) : loss_(loss), random_(seed) {
        for (std::size_t index = 0; index < hosts; ++index) {
            member current;
            auto& self = current.table.self;
            self.set_host("h" + std::to_string(index));
            self.set_incarnation(1);
            self.set_counter(1);
            self.set_zone("a");
            self.set_slot(static_cast<std::uint32_t>(index));
            members_.push_back(std::move(current));
        }
        for (auto& current : members_) {
            for (const auto& other : members_) {
                if (&current != &other) {
                    dandelionmount::store_record(current.table, other.table.self);
                }
            }
        }
    }

    /// Runs one probe round of every member that is alive.
    void run_round() {
        now_ += dandelionmount::probe_interval;
        ++rounds_;
        for (std::size_t index = 0; index < members_.size(); ++index) {
            if (!members_[index].dead) {
                run_probe_round(index);
            }
            gossip_updates();
        }
    }

    void kill(std::size_t index) { members_[index].dead = true; }
    /// Number of times that a member declared a host dead that was alive.
    [[nodiscard]] std::size_t false_deaths() const { return false_deaths_; }
    /// Number of live members that list the host as alive.
    [[nodiscard]] std::size_t count_alive_views(std::size_t index) const {
        const std::string host = "h" + std::to_string(index);
        return static_cast<std::size_t>(
            std::count_if(members_.begin(), members_.end(), [&](const member& current) {
                const auto found = current.table.others.find(host);
                return !current.dead && found != current.table.others.end() &&
                       found->second.state() == dandelionmount::wire::member_alive;
            }));
    }
    /// Simulated time in seconds.
    [[nodiscard]] double seconds() const {
        return dandelionmount::to_seconds(dandelionmount::probe_interval) * static_cast<double>(rounds_);
    }
    [[nodiscard]] std::uint64_t messages() const { return messages_; }
    [[nodiscard]] std::uint64_t bytes() const { return bytes_; }

private:
    struct member {
        dandelionmount::member_table table;
        dandelionmount::probe_state probing;
        bool dead{false};
    };

    // Counts a message, and draws whether it arrives.
    bool deliver(std::size_t to) {
        ++messages_;
        return !members_[to].dead && std::uniform_real_distribution<double>(0, 1)(random_) >= loss_;
    }

    static std::size_t index_of(const std::string& host) { return std::stoul(host.substr(1)); }

    // Sends one datagram with the sender's record and its pending updates; returns whether it arrived.
    bool send(std::size_t from, std::size_t to) {
        auto records = dandelionmount::records_to_send(members_[from].table);
        records.push_back(members_[from].table.self);
        for (const auto& record : records) {
            // With the tag and the length of the field.
            bytes_ += record.ByteSizeLong() + 2;
        }
        bytes_ += fixed_bytes;
        const bool arrived = deliver(to);
        if (arrived) {
            for (const auto& record : records) {
                const auto merged = dandelionmount::merge_record(members_[to].table, record, now_);
                if (merged != dandelionmount::merge_outcome::unchanged) {
                    gossip_queue_.insert(to);
                }
            }
        }
        return arrived;
    }

    bool ping(std::size_t from, std::size_t to) { return send(from, to) && send(to, from); }

    // As in the daemon, a member that receives an update gossips it to some hosts at once.
    void gossip_updates() {
        constexpr std::size_t fan_out = 4;
        while (!gossip_queue_.empty()) {
            const std::size_t index = *gossip_queue_.begin();
            gossip_queue_.erase(gossip_queue_.begin());
            for (const auto& host : dandelionmount::draw_hosts(members_[index].table, fan_out, "", random_)) {
                send(index, index_of(host));
            }
        }
    }

    void run_probe_round(std::size_t index) {
        member& current = members_[index];
        std::vector<std::string> dead;
        const auto targets = dandelionmount::next_probes(current.probing, current.table, random_, dead);
        for (const auto& host : dead) {
            dandelionmount::declare_dead(current.table, host, now_);
            gossip_queue_.insert(index);
            false_deaths_ += members_[index_of(host)].dead ? 0 : 1;
        }
        for (const auto& host : targets) {
            const std::size_t target = index_of(host);
            bool answered = ping(index, target);
            // As in the daemon, indirect probes start after two unanswered rounds.
            if (current.probing.unanswered[host] > 2) {
                const auto relays = dandelionmount::draw_hosts(
                    current.table, dandelionmount::indirect_probe_count, host, random_);
                for (const auto& relay_host : relays) {
                    const std::size_t relay = index_of(relay_host);
                    answered = (send(index, relay) && ping(relay, target) && send(relay, index)) || answered;
                }
            }
            if (answered) {
                dandelionmount::record_probe_answer(current.probing, host);
            }
        }
    }

    // Bytes of the authentication code, sender, sequence number, version and digest of a datagram.
    static constexpr std::uint64_t fixed_bytes = 100;
    double loss_;
    std::mt19937_64 random_;
    std::vector<member> members_;
    dandelionmount::steady_time now_{std::chrono::hours(1)};
    std::uint64_t rounds_{0};
    std::uint64_t messages_{0};
    std::uint64_t bytes_{0};
    std::size_t false_deaths_{0};
    // Members with new updates, which they gossip next.
    std::set<std::size_t> gossip_queue_;
};

} // namespace tests

#endif
