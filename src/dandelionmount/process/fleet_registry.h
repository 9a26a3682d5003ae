#ifndef DANDELIONMOUNT_PROCESS_FLEET_REGISTRY_H
#define DANDELIONMOUNT_PROCESS_FLEET_REGISTRY_H

#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/process/membership.h"
#include "dandelionmount/process/topic_follower.h"

#include <functional>
#include <optional>
#include <string>

namespace dandelionmount {

/// What a registry needs of its process. All of it outlives the registry.
struct fleet_registry_context {
    boost::asio::any_io_executor executor;
    const time_source& time;
    record_store& store;
    std::mt19937_64& random;
    member_table& members;
    std::string topic;
    /// Called when the secret becomes known and after each change of the members.
    std::function<void()> on_change;
    topic_peers peers;
};

/// The hosts of the fleet and the secret that they share, as the platform's store keeps them. Hosts join and
/// leave there; whether one can be reached, its links tell.
class fleet_registry {
public:
    explicit fleet_registry(fleet_registry_context context);

    void start();
    void stop();
    /// The fleet's secret; empty while it is not known.
    [[nodiscard]] const std::string& secret() const { return secret_; }
    [[nodiscard]] bool is_connected() const { return follower_.is_connected(); }
    [[nodiscard]] topic_follower& follower() { return follower_; }
    /// Makes this host's own record, `members.self`, known to the others.
    void publish();
    /// Takes this host's record away; gives up after a while.
    boost::asio::awaitable<void> leave();
    /// Whether the store has taken it away.
    [[nodiscard]] bool has_left() const { return has_left_; }
    /// Takes the record of another host away that nobody can reach any more. A host that lives after all
    /// writes its own anew.
    boost::asio::awaitable<void> remove(std::string host);

private:
    void take_records(std::span<const keyed_record> records, bool whole);
    void take_record(const keyed_record& record);
    boost::asio::awaitable<void> offer_secret();
    boost::asio::awaitable<void> write_own_record();

    fleet_registry_context context_;
    steady_time started_;
    topic_follower follower_;
    std::string secret_;
    /// The text of this host's record that the store was last seen to hold.
    std::string own_seen_;
    bool writing_{false};
    bool offering_{false};
    bool leaving_{false};
    bool has_left_{false};
};

} // namespace dandelionmount

#endif
