#ifndef DANDELIONMOUNT_PROCESS_TOPIC_SHARING_H
#define DANDELIONMOUNT_PROCESS_TOPIC_SHARING_H

#include "dandelionmount/connection/frame_stream.h"
#include "dandelionmount/process/peer_directory.h"
#include "dandelionmount/process/topic_follower.h"

#include <memory>
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
    void add(topic_follower& follower) { followers_.push_back(&follower); }
    /// Adds the topic ends known to this host to an answer.
    void write_topic_ends(wire::rate_grants& grants) const;
    /// Applies the topic ends of an answer to a request sent at `sent_at`, a time that counts suspensions.
    void apply_topic_ends(const wire::rate_grants& grants, std::string_view host, steady_time sent_at);
    /// Fetches the records of a topic that another host has read.
    boost::asio::awaitable<result<topic_records>> fetch(std::string topic, std::string host,
                                                        std::uint64_t from);
    /// Answers another host's request for records.
    void answer(const wire::topic_request& request, std::shared_ptr<frame_stream> stream) const;

private:
    [[nodiscard]] topic_follower* find(std::string_view topic) const;

    const time_source& time_;
    peer_directory& peers_;
    std::vector<topic_follower*> followers_;
};

} // namespace dandelionmount

#endif
