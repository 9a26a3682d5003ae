#include "dandelionmount/process/topic_follower.h"

#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/process/logging.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace dandelionmount {

namespace asio = boost::asio;

namespace {

// Pauses after failures double from the least to the most; a random part of each keeps the hosts of a fleet
// apart when the store returns.
constexpr duration least_pause = std::chrono::milliseconds(50);
constexpr duration most_pause = std::chrono::milliseconds(800);
constexpr int most_doublings = 4;
// Records kept for other hosts. They ask within a second, in which few come, and each may be a megabyte.
constexpr std::size_t most_recent_records = 64;
constexpr std::size_t most_recent_bytes = 2UL * 1024 * 1024;

std::size_t size_of(const keyed_record& record) {
    return record.key.size() + record.value.value_or("").size();
}

} // namespace

topic_follower::topic_follower(topic_follower_context context, topic_handlers handlers)
    : context_(std::move(context)), handlers_(std::move(handlers)), behind_peers_(context_.executor) {}

void topic_follower::start() {
    asio::co_spawn(context_.executor, run(), asio::detached);
}

void topic_follower::stop() {
    stopped_ = true;
    behind_peers_.set();
}

std::optional<topic_proof> topic_follower::proof() const {
    return proven_ ? std::optional(topic_proof{next_, *proven_}) : std::nullopt;
}

void topic_follower::note_proven(steady_time asked) {
    caught_up_ = true;
    proven_ = std::max(proven_.value_or(asked), asked);
    handlers_.caught_up(asked);
}

void topic_follower::take_proof(std::string_view host, const topic_proof& proof) {
    if (whole_) {
        return;
    }
    if (proof.next <= next_) {
        note_proven(proof.asked);
        return;
    }
    if (proof.next >= peers_next_) {
        peers_next_ = proof.next;
        latest_peer_ = host;
        behind_peers_.set();
    }
}

std::optional<std::vector<keyed_record>> topic_follower::records_from(std::uint64_t offset) const {
    if (offset > next_ || next_ - offset > recent_.size()) {
        return std::nullopt;
    }
    const auto count = static_cast<std::ptrdiff_t>(next_ - offset);
    return std::vector<keyed_record>(recent_.end() - count, recent_.end());
}

bool topic_follower::relies_on_peers() const {
    return context_.peers && !context_.peers->reads_store();
}

bool topic_follower::may_rest() const {
    return relies_on_peers() && !whole_ && !is_behind_peers() && proven_ &&
           context_.time.now_with_suspension() - *proven_ < context_.peers->proof_validity;
}

// Ends when another host has read more, or when the proofs have become too old.
asio::awaitable<void> topic_follower::rest() {
    behind_peers_.reset();
    const auto left = context_.peers->proof_validity - (context_.time.now_with_suspension() - *proven_);
    co_await behind_peers_.wait_until(context_.time.now() + left);
}

asio::awaitable<bool> topic_follower::read_from_peer() {
    const std::string host = latest_peer_;
    auto page = co_await context_.peers->fetch(host, next_);
    // The store may have been read meanwhile.
    if (!page || page.value().next <= next_ || stopped_) {
        co_return false;
    }
    take_page(page.value());
    co_return true;
}

void topic_follower::take_page(const topic_records& page) {
    const bool whole = whole_;
    whole_ = false;
    next_ = page.next;
    if (whole) {
        recent_.clear();
    } else {
        recent_.insert(recent_.end(), page.records.begin(), page.records.end());
    }
    std::size_t bytes = 0;
    for (const auto& record : recent_) {
        bytes += size_of(record);
    }
    while (recent_.size() > most_recent_records || (bytes > most_recent_bytes && recent_.size() > 1)) {
        bytes -= size_of(recent_.front());
        recent_.pop_front();
    }
    handlers_.records(page.records, whole);
}

asio::awaitable<result<topic_records>> topic_follower::read_once() {
    if (whole_) {
        auto read_newest = co_await context_.store.read_newest(context_.topic);
        co_return read_newest;
    }
    auto page = co_await context_.store.read(context_.topic, next_, context_.wait);
    co_return page;
}

asio::awaitable<void> topic_follower::run() {
    while (!stopped_) {
        if (may_rest()) {
            co_await rest();
            continue;
        }
        if (is_behind_peers() && relies_on_peers()) {
            const bool taken = co_await read_from_peer();
            if (taken) {
                continue;
            }
        }
        const auto asked = context_.time.now_with_suspension();
        auto page = co_await read_once();
        if (stopped_) {
            co_return;
        }
        if (!page) {
            co_await pause_after_failure(page.error().message);
            continue;
        }
        if (failures_ > 0) {
            log_event(log_level::info, "store regained",
                      {{"topic", context_.topic}, {"failures", std::to_string(failures_)}});
            failures_ = 0;
        }
        if (page.value().trimmed) {
            log_event(log_level::info, "topic trimmed", {{"topic", context_.topic}});
            whole_ = true;
            continue;
        }
        take_page(page.value());
        if (page.value().next >= page.value().end) {
            note_proven(asked);
        }
        if (!page.value().records.empty() && context_.gather > duration{0}) {
            co_await sleep_for(context_.executor, context_.gather);
        }
    }
}

asio::awaitable<void> topic_follower::pause_after_failure(std::string cause) {
    if (failures_ == 0) {
        log_event(log_level::warning, "store lost", {{"topic", context_.topic}, {"cause", cause}});
    }
    const int doublings = std::min(failures_, most_doublings);
    ++failures_;
    const duration longest = std::min<duration>(most_pause, least_pause * (1 << doublings));
    std::uniform_real_distribution<double> draw(0.5, 1.0);
    co_await sleep_for(context_.executor, from_seconds(to_seconds(longest) * draw(context_.random)));
}

} // namespace dandelionmount
