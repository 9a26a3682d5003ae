#ifndef DANDELIONMOUNT_PROCESS_CONFIGURATION_SOURCE_H
#define DANDELIONMOUNT_PROCESS_CONFIGURATION_SOURCE_H

#include "dandelionmount/process/configuration_store.h"
#include "dandelionmount/process/topic_follower.h"
#include "dandelionmount/process/version_comparison.h"

#include <functional>
#include <string>
#include <string_view>

namespace dandelionmount {

/// Dependencies of a source. All of them outlive it.
struct configuration_source_context {
    boost::asio::any_io_executor executor;
    const time_source& time;
    metrics& counters;
    record_store& store;
    std::mt19937_64& random;
    /// Topic of the configuration, and the key whose record holds the whole of it.
    std::string topic;
    std::string key;
    topic_peers peers;
    configuration_store& configuration;
    /// Puts a document in force unless a later one is.
    std::function<void(std::string_view document)> apply;
    /// Fetches the newest record of the topic that another host knows.
    std::function<boost::asio::awaitable<result<topic_records>>(std::string host)> fetch_newest;
    std::function<host_contact()> contact;
};

/// Keeps the configuration of a host up to date, from the platform's store and from other hosts, and records
/// when it is proved to be fresh.
class configuration_source {
public:
    explicit configuration_source(configuration_source_context context);

    void start() { follower_.start(); }
    void stop() { follower_.stop(); }
    [[nodiscard]] topic_follower& follower() { return follower_; }
    [[nodiscard]] const topic_follower& follower() const { return follower_; }
    /// Compares the version that another host has reported; fetches that version where this host lacks it and
    /// is not about to read it.
    void compare_version(const std::string& host, std::uint64_t version);

private:
    void apply_records(std::span<const keyed_record> records);
    void record_freshness(steady_time as_of);
    void update_trust();
    boost::asio::awaitable<void> fetch_from(std::string host);

    configuration_source_context context_;
    version_comparison comparison_;
    topic_follower follower_;
    bool is_fetching_{false};
};

} // namespace dandelionmount

#endif
