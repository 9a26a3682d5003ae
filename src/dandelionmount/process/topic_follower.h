#ifndef DANDELIONMOUNT_PROCESS_TOPIC_FOLLOWER_H
#define DANDELIONMOUNT_PROCESS_TOPIC_FOLLOWER_H

#include "dandelionmount/process/record_store.h"

#include "dandelionmount/connection/async_event.h"

#include <boost/asio/any_io_executor.hpp>
#include <deque>
#include <functional>
#include <random>
#include <span>
#include <string>

namespace dandelionmount {

/// What a follower tells its owner.
struct topic_handlers {
    /// Records that are new. `whole` says that they are the newest of all keys, so that others are gone.
    std::function<void(std::span<const keyed_record>, bool whole)> records;
    /// All that the topic held at `asked`, a time that counts suspensions, has been handed over.
    std::function<void(steady_time asked)> caught_up;
};

/// That a topic ended at `next` at some time, which counts suspensions.
struct topic_proof {
    std::uint64_t next{0};
    steady_time asked;
};

/// How a follower learns of its topic from other hosts.
struct topic_peers {
    /// Whether this host reads the store for the others.
    std::function<bool()> reads_store;
    /// Records that a host has read from an offset on.
    std::function<boost::asio::awaitable<result<topic_records>>(std::string host, std::uint64_t from)> fetch;
    /// How long the proof of another host spares this one its own reads.
    duration proof_validity{};
};

/// What a follower needs of its process. All of it outlives the follower.
struct topic_follower_context {
    boost::asio::any_io_executor executor;
    const time_source& time;
    record_store& store;
    std::mt19937_64& random;
    std::string topic;
    /// How long one read waits for a record.
    duration wait;
    /// Time between records and the next read, so that records in quick succession come with one read.
    duration gather{0};
    /// Nothing for a host that always reads the store itself.
    std::optional<topic_peers> peers;
};

/// Follows a topic of the store as long as the process runs, through outages and trimmed history. Rests while
/// other hosts prove often enough that nothing is new.
class topic_follower {
public:
    topic_follower(topic_follower_context context, topic_handlers handlers);

    void start();
    void stop();
    [[nodiscard]] const std::string& topic() const { return context_.topic; }
    /// What this host can prove of the topic; nothing before it was read to its end.
    [[nodiscard]] std::optional<topic_proof> proof() const;
    /// Takes what another host proved.
    void take_proof(std::string_view host, const topic_proof& proof);
    /// Records from an offset on, for another host; nothing when they are not all here.
    [[nodiscard]] std::optional<std::vector<keyed_record>> records_from(std::uint64_t offset) const;
    /// Where the topic ended when it was last read.
    [[nodiscard]] std::uint64_t next() const { return next_; }
    [[nodiscard]] bool is_connected() const { return failures_ == 0 && caught_up_; }

private:
    boost::asio::awaitable<void> run();
    [[nodiscard]] bool is_behind_peers() const { return !whole_ && peers_next_ > next_; }
    /// Whether other hosts read the store for this one.
    [[nodiscard]] bool relies_on_peers() const;
    [[nodiscard]] bool may_rest() const;
    boost::asio::awaitable<void> rest();
    boost::asio::awaitable<bool> read_from_peer();
    boost::asio::awaitable<result<topic_records>> read_once();
    void take_page(const topic_records& page);
    void note_proven(steady_time asked);
    boost::asio::awaitable<void> pause_after_failure(std::string cause);

    topic_follower_context context_;
    topic_handlers handlers_;
    std::uint64_t next_{0};
    int failures_{0};
    bool whole_{true};
    bool caught_up_{false};
    bool stopped_{false};
    /// When the topic was last known to hold nothing later.
    std::optional<steady_time> proven_;
    /// Where the topic ended, by what other hosts proved, and which of them said so last.
    std::uint64_t peers_next_{0};
    std::string latest_peer_;
    async_event behind_peers_;
    /// The records just before `next_`.
    std::deque<keyed_record> recent_;
};

} // namespace dandelionmount

#endif
