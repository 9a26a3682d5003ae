#include "dandelionmount/process/fleet_registry.h"

#include "dandelionmount/process/crypto.h"
#include "dandelionmount/process/host_record.h"
#include "dandelionmount/process/logging.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>
#include <set>

namespace dandelionmount {

namespace asio = boost::asio;

namespace {

constexpr std::string_view secret_key = "secret";
constexpr std::string_view host_prefix = "host/";
constexpr std::size_t secret_bytes = 32;
// Bounds the time until a silent connection to the store is noticed. Only a few hosts poll, on behalf of the
// others.
constexpr duration registry_poll_timeout = std::chrono::seconds(3);
// Records written in quick succession are read together. While the fleet starts, those of all hosts come
// within seconds.
constexpr duration registry_batch_delay = std::chrono::milliseconds(150);
constexpr duration start_batch_delay = std::chrono::seconds(1);
constexpr duration fleet_start_duration = std::chrono::seconds(4);
// A host that has just started is published together with its target, unless the target takes longer than
// this.
constexpr duration target_wait_limit = std::chrono::seconds(3);
// Exponential backoff after a write that failed. Its jitter keeps the hosts of a fleet apart.
constexpr duration min_write_backoff = std::chrono::milliseconds(500);
constexpr duration max_write_backoff = std::chrono::seconds(4);
// The hosts of a fleet that starts propose a secret spread over this time, so that few do before the first
// one is known.
constexpr duration secret_proposal_spread = std::chrono::milliseconds(500);
// Time after which a proposed secret should have been read.
constexpr duration secret_read_timeout = std::chrono::milliseconds(500);
// Changes in quick succession are written once.
constexpr duration write_delay = std::chrono::milliseconds(20);
constexpr int max_leave_attempts = 2;
// Time in which a living host notices that the store has lost its record and writes it again, with retries.
constexpr duration missing_record_limit = std::chrono::seconds(6);
// A copy that the store comes back from is seconds old; removals before it need not be remembered.
constexpr duration removal_retention = std::chrono::minutes(1);
constexpr char era_separator = ':';

std::string key_of_host(std::string_view host) {
    return std::string(host_prefix) + std::string(host);
}

std::string make_secret(std::uint64_t era) {
    return std::to_string(era) + era_separator + to_hex(random_bytes(secret_bytes));
}

// Era in which a secret was proposed; 0 for a secret that does not name one.
std::uint64_t era_of_secret(std::string_view secret) {
    std::uint64_t era = 0;
    const auto parsed = std::from_chars(secret.data(), secret.data() + secret.size(), era);
    const bool names_era = parsed.ec == std::errc() && parsed.ptr != secret.data() + secret.size() &&
                           *parsed.ptr == era_separator;
    return names_era ? era : 0;
}

bool precedes(const std::string& left, const std::string& right) {
    return std::pair(era_of_secret(left), left) < std::pair(era_of_secret(right), right);
}

} // namespace

fleet_registry::fleet_registry(fleet_registry_context context)
    : context_(std::move(context)), started_(context_.time.now()),
      follower_({context_.executor, context_.time, context_.counters, context_.store, context_.random,
                 context_.topic, [] { return registry_poll_timeout; }, [this] { return batch_delay(); },
                 context_.peers},
                {[this](std::span<const keyed_record> records, bool is_snapshot) {
                     apply_records(records, is_snapshot);
                 },
                 [](steady_time) {}}) {}

duration fleet_registry::batch_delay() const {
    const bool fleet_starts = context_.time.now() - started_ < fleet_start_duration;
    return fleet_starts ? start_batch_delay : registry_batch_delay;
}

void fleet_registry::start() {
    follower_.start();
}

void fleet_registry::stop() {
    is_leaving_ = true;
    follower_.stop();
}

void fleet_registry::apply_records(std::span<const keyed_record> records, bool is_snapshot) {
    const bool is_older_copy = is_snapshot && snapshot_era_ && follower_.era() != *snapshot_era_;
    std::set<std::string, std::less<>> keys;
    for (const auto& record : records) {
        if (is_of_removed_host(record, is_snapshot, is_older_copy)) {
            removals_to_restore_.insert(record.key);
            continue;
        }
        apply_record(record, is_snapshot);
        keys.insert(record.key);
    }
    if (is_snapshot) {
        snapshot_era_ = follower_.era();
        apply_snapshot_gaps(keys, is_older_copy);
    }
    if (secret_.empty() && !is_proposing_) {
        is_proposing_ = true;
        asio::co_spawn(context_.executor, propose_secret(), asio::detached);
    }
    // Every host knows what the store has lost; the few that read the store for the others write it.
    const bool lacks_records = is_secret_missing_ || !removals_to_restore_.empty();
    if (lacks_records && !is_restoring_ && context_.peers.reads_store()) {
        is_restoring_ = true;
        asio::co_spawn(context_.executor, restore_records(), asio::detached);
    }
    publish();
    context_.on_change();
}

// A copy of the store that is older than the removal of a host brings its record back. The host is gone,
// unless it writes its record again.
bool fleet_registry::is_of_removed_host(const keyed_record& record, bool is_snapshot,
                                        bool is_older_copy) const {
    if (!is_snapshot || !record.value) {
        return false;
    }
    return is_older_copy ? removed_at_.contains(record.key) : removals_to_restore_.contains(record.key);
}

// A snapshot lacks the hosts that have left. After the store came back from an older copy it also lacks those
// that have joined since, which write their records again.
void fleet_registry::apply_snapshot_gaps(const std::set<std::string, std::less<>>& keys, bool is_older_copy) {
    std::vector<std::string> gone;
    for (const auto& [host, member] : context_.members.others) {
        if (!keys.contains(key_of_host(host))) {
            gone.push_back(host);
        }
    }
    for (const auto& host : gone) {
        if (is_older_copy) {
            missing_since_.insert_or_assign(host, context_.time.now());
        } else {
            record_removal(host);
        }
    }
    if (!keys.contains(key_of_host(context_.members.self.host()))) {
        stored_own_record_.clear();
    }
    if (!keys.contains(secret_key)) {
        is_secret_missing_ = !secret_.empty();
    }
    if (is_older_copy) {
        log_event(log_level::info, "host records read from an older copy of the store",
                  {{"era", std::to_string(*snapshot_era_)},
                   {"missing_hosts", std::to_string(gone.size())},
                   {"returned_hosts", std::to_string(removals_to_restore_.size())},
                   {"own_record_missing", stored_own_record_.empty() ? "yes" : "no"},
                   {"secret_missing", is_secret_missing_ ? "yes" : "no"}});
    }
}

void fleet_registry::record_removal(const std::string& host) {
    const auto now = context_.time.now();
    std::erase_if(removed_at_, [now](const auto& entry) { return now - entry.second >= removal_retention; });
    removed_at_[key_of_host(host)] = now;
    erase_record(context_.members, host);
}

void fleet_registry::remove_missing_hosts() {
    const auto now = context_.time.now();
    for (const auto& [host, since] : missing_since_) {
        if (now - since >= missing_record_limit) {
            log_event(log_level::info, "host record not written again", {{"host", host}});
            record_removal(host);
        }
    }
    std::erase_if(missing_since_,
                  [now](const auto& entry) { return now - entry.second >= missing_record_limit; });
}

void fleet_registry::apply_record(const keyed_record& record, bool is_snapshot) {
    if (record.key == secret_key) {
        apply_secret(record.value.value_or(""));
        return;
    }
    if (!record.key.starts_with(host_prefix)) {
        return;
    }
    const std::string host = record.key.substr(host_prefix.size());
    if (host == context_.members.self.host()) {
        apply_own_record(record.value.value_or(""), is_snapshot);
        return;
    }
    missing_since_.erase(host);
    removals_to_restore_.erase(record.key);
    if (!record.value) {
        log_event(log_level::info, "host record removed", {{"host", host}});
        record_removal(host);
        return;
    }
    removed_at_.erase(record.key);
    auto member = read_host_record(host, *record.value);
    if (!member) {
        log_event(log_level::warning, "malformed host record", {{"host", host}});
        return;
    }
    member->set_state(wire::member_alive);
    log_event(log_level::info, "host record received",
              {{"host", host},
               {"address", member->address()},
               {"service", member->service()},
               {"target", std::to_string(member->target())},
               {"slots", std::to_string(member->target_slots())}});
    store_record(context_.members, *member);
}

// The topic's history also has the earlier records of this process. Those that were replaced by an
// acknowledged write need no attention, unless a write of the same record went unanswered and may have taken
// effect late. A snapshot has only the newest record, which may be an earlier one of this process again when
// the store came back from an older copy.
void fleet_registry::apply_own_record(const std::string& text, bool is_snapshot) {
    const bool is_of_this_process =
        acknowledged_records_.contains(text) || unanswered_records_.contains(text);
    const auto earlier = read_host_record(context_.members.self.host(), text);
    if (!is_of_this_process && earlier) {
        context_.on_earlier_record(*earlier);
    }
    const bool is_replaced =
        !is_snapshot && acknowledged_records_.contains(text) && !unanswered_records_.contains(text);
    if (!is_replaced || text == write_host_record(context_.members.self)) {
        stored_own_record_ = text;
    }
}

// An era has one proposed secret at most. After a return from a copy without one, a host that starts may have
// proposed another: the secret of the earliest era is final, and the hosts that know it write it again.
void fleet_registry::apply_secret(const std::string& secret) {
    if (!secret_.empty() && precedes(secret_, secret)) {
        is_secret_missing_ = true;
        return;
    }
    is_secret_missing_ = false;
    if (secret != secret_ && !secret.empty()) {
        log_event(log_level::info, secret_.empty() ? "fleet secret received" : "fleet secret replaced");
        secret_ = secret;
    }
}

// Every host that finds no secret proposes a random one. The append is conditional on the offset, so the
// store accepts only the first.
asio::awaitable<void> fleet_registry::propose_secret() {
    std::uniform_real_distribution<double> draw(0, to_seconds(secret_proposal_spread));
    co_await sleep_for(context_.executor, from_seconds(draw(context_.random)));
    while (secret_.empty() && !is_leaving_) {
        keyed_record record{std::string(secret_key), make_secret(follower_.era())};
        context_.counters.count_store_call(store_call::secret);
        const auto appended = co_await context_.store.append(context_.topic, record, follower_.next());
        if (!appended) {
            log_event(log_level::warning, "fleet secret could not be written",
                      {{"cause", appended.error().message}});
        }
        co_await sleep_for(context_.executor, secret_read_timeout);
    }
    is_proposing_ = false;
}

// Until the secret is back, a host that starts could propose another one; until a removal is back, it lists a
// host that is gone.
asio::awaitable<void> fleet_registry::restore_records() {
    std::uniform_real_distribution<double> draw(0, to_seconds(secret_proposal_spread));
    co_await sleep_for(context_.executor, from_seconds(draw(context_.random)));
    while (!is_leaving_ && (is_secret_missing_ || !removals_to_restore_.empty())) {
        if (is_secret_missing_) {
            keyed_record record{std::string(secret_key), secret_};
            co_await restore(std::move(record), store_call::secret);
        }
        const auto removals = removals_to_restore_;
        for (const auto& key : removals) {
            if (removals_to_restore_.contains(key)) {
                keyed_record record{key, std::nullopt};
                co_await restore(std::move(record), store_call::removal);
            }
        }
        // Until the records have been read.
        co_await sleep_for(context_.executor, secret_read_timeout);
    }
    is_restoring_ = false;
}

asio::awaitable<void> fleet_registry::restore(keyed_record record, store_call cause) {
    const std::string key = record.key;
    context_.counters.count_store_call(cause);
    const auto appended = co_await context_.store.append(context_.topic, std::move(record), std::nullopt);
    log_event(log_level::info, "lost record written again",
              {{"key", key}, {"outcome", appended ? "written" : appended.error().message}});
}

void fleet_registry::publish() {
    remove_missing_hosts();
    const bool waits_for_target = context_.members.self.target() == wire::target_none &&
                                  context_.time.now() - started_ < target_wait_limit;
    if (!is_writing_ && !waits_for_target && !is_leaving_ && !secret_.empty() &&
        stored_own_record_ != write_host_record(context_.members.self)) {
        is_writing_ = true;
        asio::co_spawn(context_.executor, write_own_record(), asio::detached);
    }
}

// Writes until the store has acknowledged the current record. A write whose answer was lost may still take
// effect later and overwrite a newer one; its record is then read, and the current one written again.
asio::awaitable<void> fleet_registry::write_own_record() {
    duration backoff = min_write_backoff;
    std::uniform_real_distribution<double> draw(0.5, 1.0);
    while (!is_leaving_ && stored_own_record_ != write_host_record(context_.members.self)) {
        co_await sleep_for(context_.executor, write_delay);
        if (is_leaving_) {
            break;
        }
        const std::string text = write_host_record(context_.members.self);
        keyed_record record{key_of_host(context_.members.self.host()), text};
        context_.counters.count_store_call(store_call::own_record);
        const auto era = follower_.era();
        is_write_sent_ = true;
        const auto appended = co_await context_.store.append(context_.topic, std::move(record), std::nullopt);
        is_write_sent_ = false;
        if (appended) {
            acknowledged_records_.insert(text);
            backoff = min_write_backoff;
            // The store may have lost a record that it acknowledged in an earlier era.
            if (follower_.era() == era) {
                stored_own_record_ = text;
            }
            continue;
        }
        unanswered_records_.insert(text);
        log_event(log_level::warning, "own host record could not be written",
                  {{"cause", appended.error().message}});
        co_await sleep_for(context_.executor, from_seconds(to_seconds(backoff) * draw(context_.random)));
        backoff = std::min(max_write_backoff, backoff * 2);
    }
    is_writing_ = false;
}

// A write that was sent before the removal may take effect after it; the record is then removed again.
asio::awaitable<void> fleet_registry::leave() {
    is_leaving_ = true;
    for (int attempt = 0; attempt < max_leave_attempts; ++attempt) {
        const bool may_be_overwritten = is_write_sent_;
        keyed_record record{key_of_host(context_.members.self.host()), std::nullopt};
        context_.counters.count_store_call(store_call::leave);
        const auto appended = co_await context_.store.append(context_.topic, std::move(record), std::nullopt);
        if (appended && !may_be_overwritten) {
            has_left_ = true;
            co_return;
        }
        if (!appended) {
            log_event(log_level::warning, "own host record could not be removed",
                      {{"cause", appended.error().message}});
        }
        while (is_write_sent_) {
            co_await sleep_for(context_.executor, write_delay);
        }
    }
}

asio::awaitable<void> fleet_registry::remove(std::string host) {
    keyed_record record{key_of_host(host), std::nullopt};
    context_.counters.count_store_call(store_call::removal);
    const auto appended = co_await context_.store.append(context_.topic, std::move(record), std::nullopt);
    const std::string outcome = appended ? "removed" : appended.error().message;
    log_event(log_level::info, "removal of an unreachable host", {{"host", host}, {"outcome", outcome}});
}

} // namespace dandelionmount
