#include "dandelionmount/process/topic_sharing.h"

#include "dandelionmount/connection/peer_link.h"
#include "dandelionmount/process/crypto.h"

#include <algorithm>

namespace dandelionmount {

namespace asio = boost::asio;

namespace {

// If a host does not answer within this time, the store is read instead. Both must fit into the second within
// which a change comes into force.
constexpr duration fetch_timeout = std::chrono::milliseconds(300);
// Ages are rounded up, so that no end looks more recent than it is.
constexpr duration age_rounding = std::chrono::milliseconds(1);

} // namespace

topic_follower* topic_sharing::find(std::string_view topic) const {
    const auto found = std::find_if(followers_.begin(), followers_.end(),
                                    [topic](const auto* follower) { return follower->topic() == topic; });
    return found == followers_.end() ? nullptr : *found;
}

void topic_sharing::write_topic_ends(wire::rate_grants& grants) const {
    const auto now = time_.now_with_suspension();
    for (const auto* follower : followers_) {
        const auto known = follower->known_end();
        if (known) {
            auto* written = grants.add_proofs();
            written->set_topic(follower->topic());
            written->set_next(known->next);
            written->set_age_ms(to_milliseconds(now - known->as_of + age_rounding));
        }
    }
}

// The end was that old when the answer was sent. Counting the age back from the sending of the request gives
// a time that is never too late, so the end does not look more recent than it is.
void topic_sharing::apply_topic_ends(const wire::rate_grants& grants, std::string_view host,
                                     steady_time sent_at) {
    for (const auto& reported : grants.proofs()) {
        auto* follower = find(reported.topic());
        if (follower != nullptr) {
            follower->apply_peer_end(
                host, {reported.next(), sent_at - std::chrono::milliseconds(reported.age_ms())});
        }
    }
}

asio::awaitable<result<topic_records>> topic_sharing::fetch(std::string topic, std::string host,
                                                            std::uint64_t from) {
    const auto link = peers_.is_connected(host) ? peers_.find(host) : nullptr;
    if (link == nullptr) {
        co_return failure{"no link to " + host};
    }
    wire::peer_frame frame;
    const std::uint64_t call = random_number();
    frame.mutable_topic_request()->set_call(call);
    frame.mutable_topic_request()->set_topic(topic);
    frame.mutable_topic_request()->set_from(from);
    const auto reply = co_await link->call(frame, call_key(call), time_.now() + fetch_timeout);
    if (!reply || !reply->has_topic_reply() || !reply->topic_reply().complete()) {
        co_return failure{host + " did not return the records"};
    }
    topic_records found;
    for (const auto& record : reply->topic_reply().records()) {
        found.records.push_back(
            {record.key(), record.has_value() ? std::optional(record.value()) : std::nullopt});
    }
    found.next = from + found.records.size();
    found.end = found.next;
    co_return found;
}

void topic_sharing::answer(const wire::topic_request& request, std::shared_ptr<frame_stream> stream) const {
    wire::peer_frame frame;
    auto* reply = frame.mutable_topic_reply();
    reply->set_call(request.call());
    const auto* follower = find(request.topic());
    const auto records = follower == nullptr ? std::nullopt : follower->records_from(request.from());
    reply->set_complete(records.has_value());
    if (records) {
        for (const auto& record : *records) {
            auto* written = reply->add_records();
            written->set_key(record.key);
            if (record.value) {
                written->set_value(*record.value);
            }
        }
    }
    stream->send(frame);
}

} // namespace dandelionmount
