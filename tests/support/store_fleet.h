#ifndef DANDELIONMOUNT_TESTS_SUPPORT_STORE_FLEET_H
#define DANDELIONMOUNT_TESTS_SUPPORT_STORE_FLEET_H

#include "dandelionmount/process/configuration_source.h"
#include "dandelionmount/process/fleet_registry.h"
#include "tests/support/memory_store.h"

#include <boost/asio/io_context.hpp>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace tests {

/// The platform's store with the topics "hosts" and "configuration". It keeps copies of the last seconds, and
/// can come back from one of them.
class platform_store {
public:
    explicit platform_store(boost::asio::io_context& io);

    /// Keeps a copy of the present state.
    void take_copy();
    /// Comes back from the newest copy that is at least this old, or from the oldest one.
    void restore(dandelionmount::duration age);
    /// Whether every call fails.
    void set_down(bool is_down);
    [[nodiscard]] memory_store& topic(const std::string& name) {
        return name == "hosts" ? hosts : configuration;
    }

    memory_store hosts;
    memory_store configuration;

private:
    struct copies {
        dandelionmount::steady_time taken_at;
        memory_store::copy hosts;
        memory_store::copy configuration;
    };
    dandelionmount::system_time_source time_;
    std::deque<copies> copies_;
};

/// Calls of one process to the platform's store.
class store_calls : public dandelionmount::record_store {
public:
    store_calls(boost::asio::io_context& io, platform_store& store) : io_(io), store_(store) {}

    boost::asio::awaitable<dandelionmount::result<dandelionmount::topic_records>>
    read_newest(std::string topic) override;
    boost::asio::awaitable<dandelionmount::result<dandelionmount::topic_records>>
    read(std::string topic, std::uint64_t from, dandelionmount::duration wait) override;
    boost::asio::awaitable<dandelionmount::result<dandelionmount::append_outcome>>
    append(std::string topic, dandelionmount::keyed_record record, std::optional<std::uint64_t> at) override;

    /// Whether the store turns this process away.
    bool is_refused{false};
    /// Number of calls since the process started.
    int calls{0};
    int appends{0};

private:
    boost::asio::io_context& io_;
    platform_store& store_;
};

/// One process of a host: its list of hosts and its configuration.
struct host_process {
    host_process(boost::asio::io_context& io, platform_store& platform, const std::string& name,
                 std::uint64_t seed, std::function<dandelionmount::topic_peers(const std::string&)> peers,
                 std::function<boost::asio::awaitable<dandelionmount::result<dandelionmount::topic_records>>(
                     std::string host)>
                     fetch_newest,
                 std::function<bool()> is_connected);

    [[nodiscard]] const std::string& name() const { return members.self.host(); }
    [[nodiscard]] std::uint64_t version() const { return configuration.state().document_version; }
    void stop();

    dandelionmount::system_time_source time;
    dandelionmount::metrics counters;
    store_calls store;
    std::mt19937_64 random;
    dandelionmount::member_table members;
    dandelionmount::configuration_store configuration;
    bool is_running{true};
    /// Whether the host exchanges nothing with other hosts: cut off or paused.
    bool is_isolated{false};
    dandelionmount::fleet_registry registry;
    dandelionmount::configuration_source source;
};

/// A fleet in one process, on a store in memory: the real lists of hosts, configurations and topic followers,
/// with direct calls in place of links between hosts.
class store_fleet {
public:
    /// Time for which a configuration that was proved to be fresh counts.
    static constexpr dandelionmount::duration key_validity = std::chrono::milliseconds(2000);
    static constexpr dandelionmount::duration report_interval = std::chrono::milliseconds(100);

    store_fleet(boost::asio::io_context& io, std::uint64_t seed);

    void start_host(const std::string& name);
    /// Ends a process without a word.
    void kill_host(const std::string& name);
    /// Ends a process that removes its record first.
    boost::asio::awaitable<void> stop_host(std::string name);
    /// The running process of a host; nullptr if there is none.
    [[nodiscard]] host_process* find(const std::string& name) const;
    [[nodiscard]] std::vector<host_process*> running() const;
    /// Whether a host can connect to another one, and the two know the same secret.
    [[nodiscard]] bool can_talk(const host_process& from, const host_process& to) const;
    /// The few hosts that read the store for the others, as one host sees it; it may be one of them.
    [[nodiscard]] std::vector<std::string> readers(const host_process& viewer) const;
    /// Lets every host report to those that read the store, and apply their answers.
    void exchange_reports();
    /// The periodic work of every host.
    void publish();

    platform_store store;

private:
    [[nodiscard]] dandelionmount::topic_peers make_peers(const std::string& host, const std::string& topic);

    boost::asio::io_context& io_;
    std::mt19937_64 random_;
    std::map<std::string, host_process*> hosts_;
    /// All processes ever started: their tasks may still run after they were stopped.
    std::vector<std::unique_ptr<host_process>> processes_;
};

} // namespace tests

#endif
