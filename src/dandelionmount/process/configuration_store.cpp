#include "dandelionmount/process/configuration_store.h"

#include "dandelionmount/process/result.h"

namespace dandelionmount {

namespace {

// Records kept for other hosts; a host that misses more gets the whole state.
constexpr std::size_t max_recent_records = 512;

} // namespace

configuration_store::configuration_store(std::vector<zone_settings> zones, const time_source& time)
    : zones_(std::move(zones)), time_(time), last_contact_(time.now()) {}

std::span<const zone_settings> configuration_store::zones() const {
    return state_.document.zones.empty() ? std::span<const zone_settings>(zones_)
                                         : std::span<const zone_settings>(state_.document.zones);
}

std::vector<std::span<const zone_settings>> configuration_store::zones_within(duration window) const {
    std::vector<std::span<const zone_settings>> lists{zones()};
    std::uint64_t number = state_.zone_changes - state_.earlier_zones.size();
    for (const auto& earlier : state_.earlier_zones) {
        const auto learnt_at = zone_changes_.find(number++);
        if (learnt_at != zone_changes_.end() && time_.now() - learnt_at->second < window) {
            lists.emplace_back(earlier.empty() ? zones_ : earlier);
        }
    }
    return lists;
}

std::optional<steady_time> configuration_store::zones_changed_at() const {
    if (zone_changes_.empty()) {
        return std::nullopt;
    }
    return zone_changes_.rbegin()->second;
}

void configuration_store::record_zone_changes() {
    const std::uint64_t first = state_.zone_changes - state_.earlier_zones.size();
    zone_changes_.erase(zone_changes_.begin(), zone_changes_.lower_bound(first));
    for (std::uint64_t number = first; number < state_.zone_changes; ++number) {
        zone_changes_.try_emplace(number, time_.now());
    }
}

const zone_settings* configuration_store::find_zone(std::string_view name) const {
    for (const auto& zone : zones()) {
        if (zone.name == name) {
            return &zone;
        }
    }
    return nullptr;
}

void configuration_store::adopt(configuration_state state) {
    if (state.next_offset <= state_.next_offset) {
        return;
    }
    // A later state of a log never has an earlier version.
    DANDELIONMOUNT_INVARIANT(state.version >= state_.version);
    DANDELIONMOUNT_INVARIANT(state.document_version >= state_.document_version);
    state_ = std::move(state);
    recent_records_.clear();
    std::erase_if(pending_withdrawals_,
                  [this](const std::string& id) { return state_.withdrawn.contains(id); });
    index_keys();
    record_zone_changes();
    for (const auto& handler : change_handlers_) {
        handler();
    }
}

bool configuration_store::adopt_document(std::uint64_t version, configuration document) {
    if (version <= state_.document_version) {
        return false;
    }
    configuration_state next = state_;
    next.next_offset = state_.next_offset + 1;
    next.version = version;
    next.document_version = version;
    next.document = std::move(document);
    adopt(std::move(next));
    return true;
}

void configuration_store::record_freshness(steady_time requested_at) {
    fresh_as_of_ = std::max(fresh_as_of_.value_or(requested_at), requested_at);
}

duration configuration_store::age() const {
    return fresh_as_of_ ? time_.now_with_suspension() - *fresh_as_of_ : duration::max();
}

bool configuration_store::is_fresh() const {
    return !freshness_limit_ || age() < freshness_limit_->max_age;
}

bool configuration_store::is_key_invalidated(std::string_view key_id, std::uint64_t version) const {
    return is_withdrawn(key_id) || (version > 0 && state_.version > version && !key_ids_.contains(key_id));
}

bool configuration_store::apply_records(std::uint64_t first_offset, std::span<const std::string> records) {
    if (first_offset > state_.next_offset) {
        return false;
    }
    const std::uint64_t known = state_.next_offset - first_offset;
    if (known >= records.size()) {
        return true;
    }
    configuration_state next = state_;
    std::deque<std::string> recent = std::move(recent_records_);
    for (const auto& record : records.subspan(known)) {
        apply_record(next, record);
        recent.push_back(record);
    }
    while (recent.size() > max_recent_records) {
        recent.pop_front();
    }
    adopt(std::move(next));
    recent_records_ = std::move(recent);
    return true;
}

std::optional<std::vector<std::string>> configuration_store::records_from(std::uint64_t offset) const {
    if (offset > state_.next_offset || state_.next_offset - offset > recent_records_.size()) {
        return std::nullopt;
    }
    const auto count = static_cast<std::ptrdiff_t>(state_.next_offset - offset);
    return std::vector<std::string>(recent_records_.end() - count, recent_records_.end());
}

void configuration_store::index_keys() {
    keys_.clear();
    for (const auto& account : state_.document.accounts) {
        for (const auto& hash : account.keys) {
            keys_[hash] = {account.name, key_id_of(hash)};
        }
    }
    for (const auto& [id, key] : state_.given_keys) {
        if (find_account(state_.document, key.account) != nullptr) {
            keys_[key.hash] = {key.account, id};
        }
    }
    key_ids_.clear();
    for (const auto& [hash, owner] : keys_) {
        key_ids_.insert(owner.key_id);
    }
}

std::optional<key_owner> configuration_store::find_key(std::string_view key_hash) const {
    const auto found = keys_.find(key_hash);
    if (found == keys_.end()) {
        return std::nullopt;
    }
    return found->second;
}

bool configuration_store::is_withdrawn(std::string_view key_id) const {
    return pending_withdrawals_.contains(key_id) || state_.withdrawn.contains(std::string(key_id));
}

bool configuration_store::withdraw(std::string_view key_id) {
    if (is_withdrawn(key_id)) {
        return false;
    }
    pending_withdrawals_.emplace(key_id);
    return true;
}

bool configuration_store::is_isolated(const account_settings* account) const {
    if (zones().size() < 2) {
        return false;
    }
    const auto& fleet = state_.document.fleet;
    const bool strict = account != nullptr && account->strict;
    return time_.now() - last_contact_ > (strict ? fleet.strict_isolated_serving : fleet.isolated_serving);
}

} // namespace dandelionmount
