#ifndef DANDELIONMOUNT_PROCESS_TOPIC_SHARING_H
#define DANDELIONMOUNT_PROCESS_TOPIC_SHARING_H

#include "dandelionmount/connection/frame_stream.h"
#include "dandelionmount/process/peer_directory.h"
#include "dandelionmount/process/topic_follower.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionmount {

/// Exchanges the ends and records of the store's topics between hosts, so that few hosts have to read the
/// store and a host whose calls the store refuses keeps up through the others.
class topic_sharing {
public:
    /// `time` and `peers` must outlive this object.
    topic_sharing(const time_source& time, peer_directory& peers) : time_(time), peers_(peers) {}

    /// Adds a topic. Its follower must outlive all calls.
    void add(topic_follower& follower);
    /// Adds the topic ends known to this host to an answer.
    void write_topic_ends(wire::rate_grants& grants) const;
    /// Applies the topic ends of an answer to a request sent at `sent_at`, a time that counts suspensions.
    void apply_topic_ends(const wire::rate_grants& grants, std::string_view host, steady_time sent_at);
    /// Fetches the records of a topic, from an offset of an era on, that another host has read.
    boost::asio::awaitable<result<topic_records>> fetch(std::string topic, std::string host,
                                                        std::uint64_t era, std::uint64_t from);
    /// Fetches the record that the other host has set with set_newest().
    boost::asio::awaitable<result<topic_records>> fetch_newest(std::string topic, std::string host);
    /// Keeps the newest record of a topic for other hosts, which the store may have lost.
    void set_newest(std::string topic, keyed_record record);
    /// Answers another host's request for records.
    void answer(const wire::topic_request& request, std::shared_ptr<frame_stream> stream) const;

private:
    boost::asio::awaitable<result<topic_records>> request_records(std::string host,
                                                                  wire::topic_request request);
    [[nodiscard]] std::optional<std::vector<keyed_record>>
    find_records(const wire::topic_request& request) const;
    [[nodiscard]] topic_follower* find(std::string_view topic) const;

    const time_source& time_;
    peer_directory& peers_;
    std::vector<topic_follower*> followers_;
    /// By topic.
    std::map<std::string, keyed_record, std::less<>> newest_;
};

} // namespace dandelionmount

#endif
