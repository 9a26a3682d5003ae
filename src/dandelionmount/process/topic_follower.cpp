#include "dandelionmount/process/topic_follower.h"

#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/process/logging.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace dandelionmount {

namespace asio = boost::asio;

namespace {

// Exponential backoff after failures. Its jitter keeps the hosts of a fleet apart when the store returns.
constexpr duration min_backoff = std::chrono::milliseconds(50);
constexpr duration max_backoff = std::chrono::milliseconds(800);
// A host for which others read the store tries less often: it needs the store only while they fail, too.
constexpr duration min_dependent_backoff = std::chrono::milliseconds(400);
constexpr duration max_dependent_backoff = std::chrono::seconds(4);
constexpr int max_doublings = 4;
// When the store comes back from an older copy, the hosts that learn of it from others read it spread over
// this time.
constexpr duration era_read_spread = std::chrono::milliseconds(500);
// Limits on the records kept for other hosts, which request them within a second. When a fleet starts, each
// host writes a record in that time; a configuration may be a megabyte.
constexpr std::size_t max_recent_records = 1024;
constexpr std::size_t max_recent_bytes = 2UL * 1024 * 1024;

std::size_t size_of(const keyed_record& record) {
    return record.key.size() + record.value.value_or("").size();
}

} // namespace

topic_follower::topic_follower(topic_follower_context context, topic_handlers handlers)
    : context_(std::move(context)), handlers_(std::move(handlers)), wake_up_(context_.executor) {}

void topic_follower::start() {
    asio::co_spawn(context_.executor, run(), asio::detached);
}

void topic_follower::stop() {
    stopped_ = true;
    wake_up_.set();
}

std::optional<topic_end> topic_follower::known_end() const {
    return up_to_date_as_of_ ? std::optional(topic_end{next_, *up_to_date_as_of_, era_}) : std::nullopt;
}

void topic_follower::record_up_to_date(steady_time as_of) {
    caught_up_ = true;
    up_to_date_as_of_ = std::max(up_to_date_as_of_.value_or(as_of), as_of);
    handlers_.caught_up(as_of);
}

void topic_follower::apply_era(std::uint64_t era) {
    if (has_read_ && era > era_) {
        begin_era(era);
        waits_for_turn_ = true;
        wake_up_.set();
    }
}

void topic_follower::apply_peer_end(std::string_view host, const topic_end& end) {
    apply_era(end.era);
    // Offsets of different eras can't be compared.
    if (needs_snapshot_ || end.era != era_) {
        return;
    }
    if (end.next <= next_) {
        record_up_to_date(end.as_of);
        return;
    }
    if (end.next >= peers_end_) {
        peers_end_ = end.next;
        furthest_peer_ = host;
        wake_up_.set();
    }
}

std::optional<std::vector<keyed_record>> topic_follower::records_from(std::uint64_t era,
                                                                      std::uint64_t offset) const {
    if (era != era_ || needs_snapshot_ || offset > next_ || next_ - offset > recent_records_.size()) {
        return std::nullopt;
    }
    const auto count = static_cast<std::ptrdiff_t>(next_ - offset);
    return std::vector<keyed_record>(recent_records_.end() - count, recent_records_.end());
}

bool topic_follower::relies_on_peers() const {
    return context_.peers && !context_.peers->reads_store();
}

bool topic_follower::can_skip_reading() const {
    return relies_on_peers() && !needs_snapshot_ && !is_behind_peers() && up_to_date_as_of_ &&
           context_.time.now_with_suspension() - *up_to_date_as_of_ < context_.peers->end_validity;
}

// Returns when another host reports a further end, or when the last known end is too old.
asio::awaitable<void> topic_follower::wait_for_newer_end() {
    wake_up_.reset();
    std::uniform_real_distribution<double> draw(0, to_seconds(context_.peers->read_spread));
    const auto left = context_.peers->end_validity + from_seconds(draw(context_.random)) -
                      (context_.time.now_with_suspension() - *up_to_date_as_of_);
    co_await wake_up_.wait_until(context_.time.now() + left);
}

asio::awaitable<bool> topic_follower::read_from_peer() {
    const std::string host = furthest_peer_;
    const auto era = era_;
    auto page = co_await context_.peers->fetch(host, era, next_);
    // An answer without newer records, or of an era that has ended meanwhile, is no progress; the store is
    // read instead.
    if (!page || page.value().next <= next_ || stopped_ || needs_snapshot_ || era != era_) {
        co_return false;
    }
    apply_page(page.value());
    co_return true;
}

void topic_follower::apply_page(const topic_records& page) {
    const bool is_snapshot = needs_snapshot_;
    needs_snapshot_ = false;
    next_ = page.next;
    if (is_snapshot) {
        recent_records_.clear();
    } else {
        recent_records_.insert(recent_records_.end(), page.records.begin(), page.records.end());
    }
    std::size_t bytes = 0;
    for (const auto& record : recent_records_) {
        bytes += size_of(record);
    }
    while (recent_records_.size() > max_recent_records ||
           (bytes > max_recent_bytes && recent_records_.size() > 1)) {
        bytes -= size_of(recent_records_.front());
        recent_records_.pop_front();
    }
    handlers_.records(page.records, is_snapshot);
}

bool topic_follower::is_of_later_era(const topic_records& page) const {
    return has_read_ && page.era > era_;
}

// The store came back from an older copy: what was read from it since may be gone, and offsets are given out
// again. The topic is read anew.
void topic_follower::begin_era(std::uint64_t era) {
    log_event(log_level::warning, "store came back from an older copy",
              {{"topic", context_.topic},
               {"era", std::to_string(era)},
               {"earlier_era", std::to_string(era_)},
               {"read_until", std::to_string(next_)}});
    context_.counters.count(event::store_era_changes);
    era_ = era;
    era_changed_at_ = context_.time.now_with_suspension();
    needs_snapshot_ = true;
    up_to_date_as_of_.reset();
    recent_records_.clear();
    peers_end_ = 0;
    furthest_peer_.clear();
    if (era_action_) {
        era_action_(era);
    }
}

asio::awaitable<void> topic_follower::wait_for_turn() {
    waits_for_turn_ = false;
    std::uniform_real_distribution<double> draw(0, to_seconds(era_read_spread));
    co_await sleep_for(context_.executor, from_seconds(draw(context_.random)));
}

store_call topic_follower::cause_of_read() const {
    if (needs_snapshot_) {
        return store_call::snapshot;
    }
    if (!relies_on_peers()) {
        return store_call::poll;
    }
    return is_behind_peers() ? store_call::catch_up : store_call::stale_end;
}

asio::awaitable<result<topic_records>> topic_follower::read_once() {
    context_.counters.count_store_call(cause_of_read());
    if (needs_snapshot_) {
        auto newest = co_await context_.store.read_newest(context_.topic);
        co_return newest;
    }
    auto page = co_await context_.store.read(context_.topic, next_, context_.poll_timeout());
    co_return page;
}

asio::awaitable<void> topic_follower::run() {
    while (!stopped_) {
        if (can_skip_reading()) {
            co_await wait_for_newer_end();
            continue;
        }
        if (is_behind_peers() && relies_on_peers()) {
            const bool applied = co_await read_from_peer();
            if (applied) {
                continue;
            }
        }
        if (waits_for_turn_) {
            co_await wait_for_turn();
        }
        const auto requested_at = context_.time.now_with_suspension();
        const auto requested_era = era_;
        const bool requested_snapshot = needs_snapshot_;
        auto page = co_await read_once();
        if (stopped_) {
            co_return;
        }
        if (page && era_ != requested_era && page.value().era != era_) {
            // An answer of an era that another host has reported to be over.
            continue;
        }
        if (!page) {
            co_await back_off(page.error().message);
            continue;
        }
        if (failures_ > 0) {
            log_event(log_level::info, "store reachable again",
                      {{"topic", context_.topic}, {"failures", std::to_string(failures_)}});
            failures_ = 0;
        }
        if (is_of_later_era(page.value())) {
            begin_era(page.value().era);
        } else if (page.value().era < era_) {
            co_await back_off("answer of an earlier era");
            continue;
        }
        era_ = page.value().era;
        has_read_ = true;
        if (needs_snapshot_ && !requested_snapshot) {
            continue;
        }
        if (page.value().trimmed) {
            log_event(log_level::info, "topic history trimmed", {{"topic", context_.topic}});
            needs_snapshot_ = true;
            continue;
        }
        apply_page(page.value());
        if (page.value().next >= page.value().end) {
            record_up_to_date(requested_at);
        }
        const duration delay = context_.batch_delay();
        if (!page.value().records.empty() && delay > duration{0}) {
            co_await sleep_for(context_.executor, delay);
        }
    }
}

asio::awaitable<void> topic_follower::back_off(std::string cause) {
    if (failures_ == 0) {
        log_event(log_level::warning, "store unreachable", {{"topic", context_.topic}, {"cause", cause}});
    }
    const int doublings = std::min(failures_, max_doublings);
    ++failures_;
    const bool depends_on_peers = relies_on_peers() && !needs_snapshot_;
    const duration first = depends_on_peers ? min_dependent_backoff : min_backoff;
    const duration longest = depends_on_peers ? max_dependent_backoff : max_backoff;
    const duration backoff = std::min<duration>(longest, first * (1 << doublings));
    std::uniform_real_distribution<double> draw(0.5, 1.0);
    // A further end that another host reports ends the wait, as its records can be fetched there.
    wake_up_.reset();
    co_await wake_up_.wait_until(context_.time.now() +
                                 from_seconds(to_seconds(backoff) * draw(context_.random)));
}

} // namespace dandelionmount
