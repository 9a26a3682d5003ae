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

/// Client account and public identifier of a key.
struct key_owner {
    std::string account;
    std::string key_id;
};

/// Maximum age of the configuration while requests are admitted by key.
struct freshness_limit {
    /// Longest time since a request to the platform whose answer showed no later configuration.
    duration max_age{};
};

/// The configuration in force in this process, and keys withdrawn before the log holds their withdrawal. The
/// version never decreases.
class configuration_store {
public:
    /// `zones` applies until the configuration names zones itself.
    configuration_store(std::vector<zone_settings> zones, const time_source& time);

    [[nodiscard]] const configuration_state& state() const { return state_; }
    [[nodiscard]] const configuration& current() const { return state_.document; }
    /// Whether a configuration has been loaded.
    [[nodiscard]] bool is_ready() const { return state_.document_version > 0; }
    [[nodiscard]] std::span<const zone_settings> zones() const;
    /// The zones in force, followed by the earlier lists whose replacement this process learnt of within the
    /// last `window`, since other hosts may still use them.
    [[nodiscard]] std::vector<std::span<const zone_settings>> zones_within(duration window) const;
    /// When this process last learnt of a change of the zones; empty if it never did.
    [[nodiscard]] std::optional<steady_time> zones_changed_at() const;
    [[nodiscard]] const zone_settings* find_zone(std::string_view name) const;

    /// Puts a later state in force; ignores an earlier or equal one.
    void adopt(configuration_state state);
    /// Applies log records starting at `first_offset`; false when records before them are missing.
    bool apply_records(std::uint64_t first_offset, std::span<const std::string> records);
    /// Recent log records from an offset on; nullopt when some of them are no longer kept, or when the
    /// offset is beyond the end of the records applied here.
    [[nodiscard]] std::optional<std::vector<std::string>> records_from(std::uint64_t offset) const;
    /// Puts a complete document of a later version in force; ignores an earlier or equal one. For platforms
    /// that version whole documents instead of keeping a log of records.
    bool adopt_document(std::uint64_t version, configuration document);
    /// From now on keys are valid only while the configuration is fresh.
    void require_freshness(freshness_limit limit) { freshness_limit_ = limit; }
    /// Records that the platform's answer to a request sent at `requested_at` showed no later configuration
    /// than the one in force. The time counts suspensions.
    void record_freshness(steady_time requested_at);
    /// Whether requests may be admitted by key.
    [[nodiscard]] bool is_fresh() const;
    /// Time since the configuration was last known to be the latest; duration::max() if it never was.
    [[nodiscard]] duration age() const;
    /// Called after each change.
    void on_change(std::function<void()> handler) { change_handlers_.push_back(std::move(handler)); }

    [[nodiscard]] std::optional<key_owner> find_key(std::string_view key_hash) const;
    [[nodiscard]] bool is_withdrawn(std::string_view key_id) const;
    /// Whether a key that was valid in `version` is withdrawn here, or missing from a later configuration in
    /// force here. With version 0 only the withdrawal counts.
    [[nodiscard]] bool is_key_invalidated(std::string_view key_id, std::uint64_t version) const;
    /// Withdraws a key before the log holds the withdrawal; false when it was withdrawn already.
    bool withdraw(std::string_view key_id);
    /// Withdrawn keys whose withdrawal the log does not hold yet.
    [[nodiscard]] const std::set<std::string, std::less<>>& pending_withdrawals() const {
        return pending_withdrawals_;
    }

    /// Records contact with the platform or with another availability zone.
    void record_contact() { last_contact_ = time_.now(); }
    /// Whether the zone has been isolated for too long to serve that account; always false in a fleet of one
    /// zone. nullptr stands for an account that is not strict.
    [[nodiscard]] bool is_isolated(const account_settings* account) const;

private:
    void index_keys();
    void record_zone_changes();

    std::vector<zone_settings> zones_;
    const time_source& time_;
    configuration_state state_;
    std::map<std::string, key_owner, std::less<>> keys_;
    std::set<std::string, std::less<>> key_ids_;
    std::optional<freshness_limit> freshness_limit_;
    std::optional<steady_time> fresh_as_of_;
    std::set<std::string, std::less<>> pending_withdrawals_;
    std::vector<std::function<void()>> change_handlers_;
    /// The records just before the state's `next_offset`.
    std::deque<std::string> recent_records_;
    /// When this process learnt of each change of the zones, by the number of the change.
    std::map<std::uint64_t, steady_time> zone_changes_;
    steady_time last_contact_;
};

} // namespace dandelionmount

#endif
