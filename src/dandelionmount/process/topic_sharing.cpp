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

// One topic may learn that the store came back from an older copy long before the next read of another.
void topic_sharing::add(topic_follower& follower) {
    followers_.push_back(&follower);
    follower.on_later_era([this](std::uint64_t era) {
        for (auto* other : followers_) {
            other->apply_era(era);
        }
    });
}

void topic_sharing::write_topic_ends(wire::rate_grants& grants) const {
    const auto now = time_.now_with_suspension();
    for (const auto* follower : followers_) {
        const auto known = follower->known_end();
        if (known) {
            auto* written = grants.add_proofs();
            written->set_topic(follower->topic());
            written->set_next(known->next);
            written->set_era(known->era);
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
                host,
                {reported.next(), sent_at - std::chrono::milliseconds(reported.age_ms()), reported.era()});
        }
    }
}

asio::awaitable<result<topic_records>> topic_sharing::fetch(std::string topic, std::string host,
                                                            std::uint64_t era, std::uint64_t from) {
    wire::topic_request request;
    request.set_topic(topic);
    request.set_era(era);
    request.set_from(from);
    auto found = co_await request_records(std::move(host), std::move(request));
    if (found) {
        found.value().era = era;
        found.value().next = from + found.value().records.size();
        found.value().end = found.value().next;
    }
    co_return found;
}

asio::awaitable<result<topic_records>> topic_sharing::fetch_newest(std::string topic, std::string host) {
    wire::topic_request request;
    request.set_topic(topic);
    request.set_newest(true);
    auto found = co_await request_records(std::move(host), std::move(request));
    co_return found;
}

void topic_sharing::set_newest(std::string topic, keyed_record record) {
    newest_.insert_or_assign(std::move(topic), std::move(record));
}

asio::awaitable<result<topic_records>> topic_sharing::request_records(std::string host,
                                                                      wire::topic_request request) {
    const auto link = peers_.is_connected(host) ? peers_.find(host) : nullptr;
    if (link == nullptr) {
        co_return failure{"no link to " + host};
    }
    wire::peer_frame frame;
    const std::uint64_t call = random_number();
    request.set_call(call);
    *frame.mutable_topic_request() = std::move(request);
    const auto reply = co_await link->call(frame, call_key(call), time_.now() + fetch_timeout);
    if (!reply || !reply->has_topic_reply() || !reply->topic_reply().complete()) {
        co_return failure{host + " did not return the records"};
    }
    topic_records found;
    for (const auto& record : reply->topic_reply().records()) {
        found.records.push_back(
            {record.key(), record.has_value() ? std::optional(record.value()) : std::nullopt});
    }
    co_return found;
}

std::optional<std::vector<keyed_record>>
topic_sharing::find_records(const wire::topic_request& request) const {
    if (request.newest()) {
        const auto found = newest_.find(request.topic());
        return found == newest_.end() ? std::nullopt : std::optional(std::vector{found->second});
    }
    const auto* follower = find(request.topic());
    return follower == nullptr ? std::nullopt : follower->records_from(request.era(), request.from());
}

void topic_sharing::answer(const wire::topic_request& request, std::shared_ptr<frame_stream> stream) const {
    wire::peer_frame frame;
    auto* reply = frame.mutable_topic_reply();
    reply->set_call(request.call());
    const auto records = find_records(request);
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
