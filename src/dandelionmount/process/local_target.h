#ifndef DANDELIONMOUNT_PROCESS_LOCAL_TARGET_H
#define DANDELIONMOUNT_PROCESS_LOCAL_TARGET_H

#include "dandelionmount/process/clock.h"
#include "dandelionmount/process/settings.h"
#include "dandelionmount/process/timeout_trial.h"
#include "dandelionmount/process/rejection_trial.h"
#include "dandelionmount/process/target_limiter.h"
#include "dandelionmount/process/target_speed.h"
#include "dandelionmount/wire/peer.pb.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace dandelionmount {

/// State that a target announces.
struct target_announcement {
    std::string service;
    std::uint16_t port{0};
    std::uint32_t slots{0};
    std::uint32_t connections{0};
    wire::target_state state{wire::target_none};
    /// Identifier of the target's process from the platform; empty if it gives none.
    std::string instance;
};

/// A target's heartbeat or its departure. Heartbeats are ordered by process start and sequence number.
struct target_heartbeat {
    enum class kind { announcement, departure };
    kind what{kind::announcement};
    /// A departure has only the instance.
    target_announcement announcement;
    /// Start of the target's process by its own clock, in milliseconds.
    std::uint64_t started{0};
    /// Increases with each announcement of a process.
    std::uint64_t sequence{0};
};

/// Default time without an announcement after which a target counts as gone.
constexpr duration announcement_ttl = std::chrono::milliseconds(2000);

/// The target of this host, with its limiter and measurements.
class local_target {
public:
    /// All switches are on in production; see mechanism_switches.
    explicit local_target(const time_source& time, mechanism_switches switches = {},
                          duration ttl = announcement_ttl)
        : time_(time), switches_(switches), ttl_(ttl) {}

    void announce(const target_announcement& announcement);
    /// Applies a heartbeat. Delayed ones, older than the latest applied, are ignored.
    void handle_heartbeat(const target_heartbeat& heartbeat);
    /// Applies what the target said of itself in a response to a request sent at `sent_at`: the rate limit
    /// that it names, if any, and whether it is leaving. Ignored from a process that was replaced since.
    void handle_response(std::string_view instance, std::optional<double> rate_limit, bool is_leaving,
                         steady_time sent_at);
    /// Adopts the rate limit that another host has seen this target name.
    void adopt_rate_limit(double per_second);
    /// Marks the current process of the target as leaving. It stays so, whatever it announces later.
    void mark_leaving();
    /// Restores what an earlier process of this host knew: the process of the target that had said that it is
    /// leaving.
    void restore_leaving(std::uint64_t incarnation);
    /// The newest process of the target that has said that it is leaving, or has left; 0 if none.
    [[nodiscard]] std::uint64_t left_incarnation() const { return leaving_incarnation_; }
    /// Whether the target's process has said that it is leaving or has left, or another one was announced
    /// since. A process that only fell silent has not.
    [[nodiscard]] bool has_left_or_was_replaced(std::string_view instance, std::uint64_t incarnation) const;
    /// Removes the announcement, as the target's current process has left.
    void handle_departure();
    /// Withdraws the target if its last announcement has expired.
    void expire_announcement();
    /// Sets the action to run when the announcement changes in more than its connections, or is withdrawn.
    void on_change(std::function<void()> action) { action_ = std::move(action); }

    [[nodiscard]] const target_announcement& announced() const { return announced_; }
    /// Start of the target's process as in its latest heartbeat; 0 before the first.
    [[nodiscard]] std::uint64_t started() const { return latest_order_.first; }
    /// Identifies the current process of the target, also across restarts of this process.
    [[nodiscard]] std::uint64_t incarnation() const;
    [[nodiscard]] bool is_ready_for(std::string_view service) const;
    [[nodiscard]] target_limiter& limiter() { return limiter_; }
    [[nodiscard]] const target_limiter& limiter() const { return limiter_; }
    [[nodiscard]] timeout_trial& trial_of_timeouts() { return timeout_trial_; }
    [[nodiscard]] rejection_trial& trial_of_rejections() { return rejection_trial_; }
    [[nodiscard]] target_speed& speed() { return speed_; }
    [[nodiscard]] const target_speed& speed() const { return speed_; }
    [[nodiscard]] wire::load_report load() const;
    /// Ratio of the account's demand to what the target can serve of it; 0 if unknown. Up to 1 everything is
    /// admitted.
    [[nodiscard]] double demand_ratio(std::uint32_t priority, std::string_view account) const;
    /// Share of all demand that the target can serve, 0 to 1.
    [[nodiscard]] double share_of_demand() const { return admitted_fraction(limiter_.demands); }

private:
    /// Removes the announcement, so that the target counts as gone.
    void withdraw();

    const time_source& time_;
    mechanism_switches switches_;
    duration ttl_;
    /// Process start and sequence number of the latest announcement.
    std::pair<std::uint64_t, std::uint64_t> latest_order_;
    /// Start of the latest process that announced its departure.
    std::optional<std::uint64_t> departed_process_started_;
    /// Departed instance that was not the announced one, and when its departure arrived.
    std::string departed_instance_;
    steady_time departed_at_;
    /// Incarnation of the process that said that it is leaving; 0 if none.
    std::uint64_t leaving_incarnation_{0};
    target_announcement announced_;
    steady_time last_announced_at_;
    target_limiter limiter_;
    target_speed speed_;
    timeout_trial timeout_trial_;
    rejection_trial rejection_trial_;
    std::function<void()> action_;
};

/// Parses the JSON of an announcement; nothing if it is invalid.
[[nodiscard]] std::optional<target_announcement> read_announcement(std::string_view text);

} // namespace dandelionmount

#endif
