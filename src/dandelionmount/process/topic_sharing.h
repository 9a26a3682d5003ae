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

/// Spreads what the store's topics hold over the links between hosts, so that few hosts have to read the
/// store and a host that the store turns away goes on by what the others know.
class topic_sharing {
public:
    /// Both outlive this.
    topic_sharing(const time_source& time, peer_directory& peers) : time_(time), peers_(peers) {}

    /// Adds a topic; its follower outlives all calls.
    void add(topic_follower& follower) { followers_.push_back(&follower); }
    /// Adds to an answer what this host can prove.
    void write_topic_ends(wire::rate_grants& grants) const;
    /// Takes the proofs of an answer to what was sent at `sent`, a time that counts suspensions.
    void apply_topic_ends(const wire::rate_grants& grants, std::string_view host, steady_time sent);
    /// Records that a host has read of a topic.
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
