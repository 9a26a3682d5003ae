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

/// What a target says of itself.
struct target_announcement {
    std::string service;
    std::uint16_t port{0};
    std::uint32_t slots{0};
    std::uint32_t connections{0};
    wire::target_state state{wire::target_none};
    /// Names the target's process, where the platform does.
    std::string instance;
};

/// A message from a target that can be put in order with others.
struct target_heartbeat {
    enum class kind { announcement, departure };
    kind what{kind::announcement};
    /// For a departure only the instance is known.
    target_announcement announcement;
    /// When the target's process started, by its own clock, in milliseconds.
    std::uint64_t started{0};
    /// Rises with each announcement of one process.
    std::uint64_t sequence{0};
};

/// A target that is silent for this long counts as gone, where nothing else is said.
constexpr duration announcement_life = std::chrono::milliseconds(2000);

/// The target of this host, as it announced itself.
class local_target {
public:
    /// The switches are on in service; see mechanism_switches.
    explicit local_target(const time_source& time, mechanism_switches switches = {},
                          duration life = announcement_life)
        : time_(time), switches_(switches), life_(life) {}

    void announce(const target_announcement& announcement);
    /// Takes in a report unless a later one was taken in before: one that was delayed says nothing of now.
    void handle_heartbeat(const target_heartbeat& report);
    void withdraw();
    /// Withdraws the target when it has been silent for too long.
    void expire_announcement();
    /// Called when the service, the state or the slots change.
    void on_change(std::function<void()> action) { action_ = std::move(action); }

    [[nodiscard]] const target_announcement& announced() const { return announced_; }
    [[nodiscard]] bool is_ready_for(std::string_view service) const;
    [[nodiscard]] target_limiter& limiter() { return guard_; }
    [[nodiscard]] const target_limiter& limiter() const { return guard_; }
    [[nodiscard]] timeout_trial& trial_of_timeouts() { return late_trial_; }
    [[nodiscard]] rejection_trial& trial_of_rejections() { return rejection_trial_; }
    [[nodiscard]] target_speed& speed() { return speed_; }
    [[nodiscard]] const target_speed& speed() const { return speed_; }
    [[nodiscard]] wire::load_report load() const;
    /// An account's requests for each one that the target can take; all may come up to 1.
    [[nodiscard]] double demand_ratio(std::uint32_t priority, std::string_view account) const;
    /// The share of all requests that the target can take, 0 to 1.
    [[nodiscard]] double share_of_demand() const { return total_share(guard_.demands); }

private:
    const time_source& time_;
    mechanism_switches switches_;
    duration life_;
    /// Start and sequence of the latest report.
    std::pair<std::uint64_t, std::uint64_t> latest_;
    /// Start of the latest process that has said that it leaves for good.
    std::optional<std::uint64_t> departed_;
    /// Instance that left before it was heard otherwise, and when.
    std::string departed_instance_;
    steady_time departed_at_;
    target_announcement announced_;
    steady_time heard_;
    target_limiter guard_;
    target_speed speed_;
    timeout_trial late_trial_;
    rejection_trial rejection_trial_;
    std::function<void()> action_;
};

/// Reads the JSON of an announcement; nothing when it is not one.
[[nodiscard]] std::optional<target_announcement> read_announcement(std::string_view text);

} // namespace dandelionmount

#endif
