#ifndef DANDELIONMOUNT_PROCESS_FLEET_REGISTRY_H
#define DANDELIONMOUNT_PROCESS_FLEET_REGISTRY_H

#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/process/membership.h"
#include "dandelionmount/process/topic_follower.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace dandelionmount {

/// Dependencies of a registry. All of them outlive it.
struct fleet_registry_context {
    boost::asio::any_io_executor executor;
    const time_source& time;
    metrics& counters;
    record_store& store;
    std::mt19937_64& random;
    member_table& members;
    std::string topic;
    /// Called when the secret becomes known and after each change of the members.
    std::function<void()> on_change;
    /// Called with this host's own record that an earlier process has left in the store.
    std::function<void(const wire::member_record&)> on_earlier_record;
    topic_peers peers;
};

/// The records of the fleet's hosts and their shared secret, kept in the platform's store. They tell which
/// hosts belong to the fleet; whether a host is reachable is decided by the links to it.
class fleet_registry {
public:
    explicit fleet_registry(fleet_registry_context context);

    void start();
    void stop();
    /// The fleet's secret; empty until it is known.
    [[nodiscard]] const std::string& secret() const { return secret_; }
    [[nodiscard]] bool is_connected() const { return follower_.is_connected(); }
    [[nodiscard]] topic_follower& follower() { return follower_; }
    /// Writes this host's own record, `members.self`, to the store when it has changed.
    void publish();
    /// Removes this host's record; gives up after a few attempts.
    boost::asio::awaitable<void> leave();
    /// Whether the store has accepted the removal.
    [[nodiscard]] bool has_left() const { return has_left_; }
    /// Removes the record of another host that no host can reach. A host that is alive after all writes its
    /// record again.
    boost::asio::awaitable<void> remove(std::string host);

private:
    void apply_records(std::span<const keyed_record> records, bool is_snapshot);
    void apply_record(const keyed_record& record, bool is_snapshot);
    void apply_own_record(const std::string& text, bool is_snapshot);
    void apply_snapshot_gaps(const std::set<std::string, std::less<>>& keys, bool is_older_copy);
    void apply_secret(const std::string& secret);
    [[nodiscard]] bool is_of_removed_host(const keyed_record& record, bool is_snapshot,
                                          bool is_older_copy) const;
    void record_removal(const std::string& host);
    void remove_missing_hosts();
    [[nodiscard]] duration batch_delay() const;
    boost::asio::awaitable<void> propose_secret();
    boost::asio::awaitable<void> restore_records();
    boost::asio::awaitable<void> restore(keyed_record record, store_call cause);
    boost::asio::awaitable<void> write_own_record();

    fleet_registry_context context_;
    steady_time started_;
    topic_follower follower_;
    std::string secret_;
    /// Whether the store has lost the secret.
    bool is_secret_missing_{false};
    /// When hosts were removed, by the keys of their records; and those whose records are back with an older
    /// copy of the store.
    std::map<std::string, steady_time, std::less<>> removed_at_;
    std::set<std::string, std::less<>> removals_to_restore_;
    /// This host's record as last acknowledged by the store or read from it.
    std::string stored_own_record_;
    /// Records written by this process: those that the store acknowledged, and those whose answer was lost.
    std::set<std::string> acknowledged_records_;
    std::set<std::string> unanswered_records_;
    /// Era of the store that the last snapshot was read in; nullopt before the first.
    std::optional<std::uint64_t> snapshot_era_;
    /// Hosts whose records the store has lost, and since when; they write them again if they live.
    std::map<std::string, steady_time, std::less<>> missing_since_;
    bool is_writing_{false};
    /// Whether the store has not answered the last write of the own record yet.
    bool is_write_sent_{false};
    bool is_proposing_{false};
    bool is_restoring_{false};
    bool is_leaving_{false};
    bool has_left_{false};
};

} // namespace dandelionmount

#endif
