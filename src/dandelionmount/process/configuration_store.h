#ifndef DANDELIONMOUNT_PROCESS_CONFIGURATION_STORE_H
#define DANDELIONMOUNT_PROCESS_CONFIGURATION_STORE_H

#include "dandelionmount/process/clock.h"
#include "dandelionmount/version/configuration_state.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionmount {

/// Whose key it is.
struct key_owner {
    std::string account;
    std::string key_id;
};

/// How old the knowledge of the configuration may be while requests are admitted by key.
struct freshness_limit {
    /// Longest time since the platform was asked, whose answer showed nothing later.
    duration oldest{};
};

/// The configuration that is in force in this process, and the keys withdrawn besides. Its version only
/// rises.
class configuration_store {
public:
    /// `zones` counts until the configuration names zones itself.
    configuration_store(std::vector<zone_settings> zones, const time_source& time);

    [[nodiscard]] const configuration_state& state() const { return state_; }
    [[nodiscard]] const configuration& current() const { return state_.document; }
    /// Whether there is a configuration to serve by.
    [[nodiscard]] bool is_ready() const { return state_.document_version > 0; }
    [[nodiscard]] std::span<const zone_settings> zones() const;
    /// The zones in force, and before them in time those that this process learnt to be replaced within
    /// `term`: other hosts may still go by them.
    [[nodiscard]] std::vector<std::span<const zone_settings>> zones_within(duration term) const;
    /// When this process last learnt of a change of the zones; nothing when there was none.
    [[nodiscard]] std::optional<steady_time> zones_changed_at() const;
    [[nodiscard]] const zone_settings* find_zone(std::string_view name) const;

    /// Puts a later state in force; an earlier or equal one is left alone.
    void adopt(configuration_state state);
    /// Applies log records from `first_offset` on; false when records before them are missing.
    bool apply_records(std::uint64_t first_offset, std::span<const std::string> records);
    /// Recent log records from an offset on; nothing when they are not all here.
    [[nodiscard]] std::optional<std::vector<std::string>> records_from(std::uint64_t offset) const;
    /// Puts a whole document of a later version in force; an earlier or equal one is left alone. For
    /// platforms that keep versions themselves, in place of records.
    bool adopt_document(std::uint64_t version, configuration document);
    /// From now on keys count only while the knowledge of the configuration is fresh.
    void require_freshness(freshness_limit limit) { freshness_limit_ = limit; }
    /// Notes that the platform, asked at that time, knew no later configuration than the one in force. The
    /// time counts suspensions.
    void note_fresh(steady_time asked);
    /// Whether requests may be admitted by key.
    [[nodiscard]] bool is_fresh() const;
    /// Time since the configuration was last known to be the latest.
    [[nodiscard]] duration age() const;
    /// Called after each change.
    void on_change(std::function<void()> action) { actions_.push_back(std::move(action)); }

    [[nodiscard]] std::optional<key_owner> find_key(std::string_view key_hash) const;
    [[nodiscard]] bool is_withdrawn(std::string_view key_id) const;
    /// Whether a key that counted in `version` is known here not to count any more.
    [[nodiscard]] bool is_outdated(std::string_view key_id, std::uint64_t version) const;
    /// Withdraws a key that the log does not name yet; false when it was withdrawn already.
    bool withdraw(std::string_view key_id);
    /// Withdrawn keys that the log does not name yet.
    [[nodiscard]] const std::set<std::string, std::less<>>& pending_withdrawals() const { return pending_; }

    /// Notes that the platform or another availability zone was heard.
    void note_contact() { last_contact_ = time_.now(); }
    /// Whether the zone has been cut off for too long to serve that account.
    [[nodiscard]] bool is_isolated(const account_settings* account) const;

private:
    void index_keys();
    void note_zone_changes();

    std::vector<zone_settings> zones_;
    const time_source& time_;
    configuration_state state_;
    std::map<std::string, key_owner, std::less<>> keys_;
    std::set<std::string, std::less<>> key_ids_;
    std::optional<freshness_limit> freshness_limit_;
    std::optional<steady_time> fresh_;
    std::set<std::string, std::less<>> pending_;
    std::vector<std::function<void()>> actions_;
    /// The records just before the state's next offset.
    std::deque<std::string> recent_records_;
    /// When this process learnt of each change of the zones, by its number.
    std::map<std::uint64_t, steady_time> zone_changes_;
    steady_time last_contact_;
};

} // namespace dandelionmount

#endif
