#ifndef DANDELIONMOUNT_PROCESS_TOPIC_FOLLOWER_H
#define DANDELIONMOUNT_PROCESS_TOPIC_FOLLOWER_H

#include "dandelionmount/process/metrics.h"
#include "dandelionmount/process/record_store.h"

#include "dandelionmount/connection/async_event.h"

#include <boost/asio/any_io_executor.hpp>
#include <deque>
#include <functional>
#include <random>
#include <span>
#include <string>

namespace dandelionmount {

/// Callbacks of a follower.
struct topic_handlers {
    /// New records. With `is_snapshot` they are the newest record of every key, so keys that are missing no
    /// longer exist.
    std::function<void(std::span<const keyed_record>, bool is_snapshot)> records;
    /// All that the topic held at `as_of` has been passed on. The time counts suspensions.
    std::function<void(steady_time as_of)> caught_up;
};

/// Observation that a topic ended at offset `next` of an era. The time counts suspensions.
struct topic_end {
    std::uint64_t next{0};
    steady_time as_of;
    std::uint64_t era{0};
};

/// How a follower reads its topic from other hosts.
struct topic_peers {
    /// Whether this host reads the store for the others.
    std::function<bool()> reads_store;
    /// Fetches the records from an offset of an era on that another host has read.
    std::function<boost::asio::awaitable<result<topic_records>>(std::string host, std::uint64_t era,
                                                                std::uint64_t from)>
        fetch;
    /// How long the end that another host reported replaces reads of the store.
    duration end_validity{};
    /// Hosts whose end is too old read the store spread over this time, as they lack newer ends all at once.
    duration read_spread{};
};

/// Dependencies of a follower. All of them outlive it.
struct topic_follower_context {
    boost::asio::any_io_executor executor;
    const time_source& time;
    metrics& counters;
    record_store& store;
    std::mt19937_64& random;
    std::string topic;
    /// How long the next read waits for a record (long polling).
    std::function<duration()> poll_timeout;
    /// Delay between records and the next read, so that records in quick succession are read together.
    std::function<duration()> batch_delay;
    /// Empty on a host that always reads the store itself.
    std::optional<topic_peers> peers;
};

/// Follows a topic of the store for the life of the process, through outages and trimmed history. Does not
/// read the store while other hosts report often enough that nothing is new.
class topic_follower {
public:
    topic_follower(topic_follower_context context, topic_handlers handlers);

    void start();
    void stop();
    [[nodiscard]] const std::string& topic() const { return context_.topic; }
    /// The end of the topic as last known to this host; nullopt until the topic was read to its end.
    [[nodiscard]] std::optional<topic_end> known_end() const;
    /// Reads the topic anew if this era of the store is later than the known one.
    void apply_era(std::uint64_t era);
    /// Sets the action to run when the store has come back from an older copy, with its new era.
    void on_later_era(std::function<void(std::uint64_t era)> action) { era_action_ = std::move(action); }
    /// Applies the end of the topic that another host reported.
    void apply_peer_end(std::string_view host, const topic_end& end);
    /// Records from an offset of an era on, for another host; nullopt when some of them are no longer kept,
    /// when the offset is beyond `next`, or when this host reads another era.
    [[nodiscard]] std::optional<std::vector<keyed_record>> records_from(std::uint64_t era,
                                                                        std::uint64_t offset) const;
    /// Era of the store in which the topic is read; 0 if unknown.
    [[nodiscard]] std::uint64_t era() const { return era_; }
    /// When this process learnt that the store came back from an older copy; nullopt if it never did.
    [[nodiscard]] std::optional<steady_time> era_changed_at() const { return era_changed_at_; }
    /// Offset of the next record to read.
    [[nodiscard]] std::uint64_t next() const { return next_; }
    [[nodiscard]] bool is_connected() const { return failures_ == 0 && caught_up_; }

private:
    boost::asio::awaitable<void> run();
    [[nodiscard]] bool is_behind_peers() const { return !needs_snapshot_ && peers_end_ > next_; }
    /// Whether other hosts read the store for this one.
    [[nodiscard]] bool relies_on_peers() const;
    [[nodiscard]] bool can_skip_reading() const;
    boost::asio::awaitable<void> wait_for_newer_end();
    boost::asio::awaitable<bool> read_from_peer();
    [[nodiscard]] store_call cause_of_read() const;
    boost::asio::awaitable<result<topic_records>> read_once();
    void apply_page(const topic_records& page);
    void begin_era(std::uint64_t era);
    [[nodiscard]] bool is_of_later_era(const topic_records& page) const;
    boost::asio::awaitable<void> wait_for_turn();
    void record_up_to_date(steady_time as_of);
    boost::asio::awaitable<void> back_off(std::string cause);

    topic_follower_context context_;
    topic_handlers handlers_;
    std::function<void(std::uint64_t)> era_action_;
    /// Whether the store has answered, so that `era_` is known.
    bool has_read_{false};
    std::uint64_t era_{0};
    std::uint64_t next_{0};
    std::optional<steady_time> era_changed_at_;
    /// Whether the next snapshot is read at a random time, as many hosts need one at once.
    bool waits_for_turn_{false};
    int failures_{0};
    bool needs_snapshot_{true};
    bool caught_up_{false};
    bool stopped_{false};
    /// Latest time at which the topic was known to end at `next_`.
    std::optional<steady_time> up_to_date_as_of_;
    /// Furthest end of the topic that another host reported, and the host that reported it last.
    std::uint64_t peers_end_{0};
    std::string furthest_peer_;
    async_event wake_up_;
    /// The latest records before `next_`.
    std::deque<keyed_record> recent_records_;
};

} // namespace dandelionmount

#endif
