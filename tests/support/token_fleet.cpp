#include "tests/support/token_fleet.h"

#include "dandelionmount/version/configuration_state.h"

#include <algorithm>

namespace tests {

namespace dm = dandelionmount;

namespace {

constexpr double step_seconds = 0.001;
constexpr double max_wait_seconds = 0.12;
constexpr double round_interval_seconds = 0.03;
constexpr double report_interval_seconds = 0.1;
constexpr int max_rounds = 4;
// Time of the first request; by then the shares are full.
constexpr double start_seconds = 10;

} // namespace

token_fleet::token_fleet(const token_run& run) : run_(run), random_(run.seed), ideal_(run.rate, run.burst) {
    std::uniform_real_distribution<double> clock_speed(1 - run.drift, 1 + run.drift);
    std::vector<dm::zone_settings> zones;
    for (std::uint32_t zone = 0; zone < run.zones; ++zone) {
        zones.push_back({std::string(1, static_cast<char>('a' + zone)), run.hosts_per_zone});
    }
    for (const auto& zone : zones) {
        const auto owners = dm::choose_share_owners("account", zone);
        for (std::uint32_t slot = 0; slot < run.hosts_per_zone; ++slot) {
            host node;
            node.name = dm::slot_name(zone.name, slot);
            node.zone = static_cast<std::uint32_t>(zone.name[0] - 'a');
            node.clock_speed = clock_speed(random_);
            node.owns_share = std::find(owners.begin(), owners.end(), slot) != owners.end();
            hosts_.push_back(std::move(node));
        }
    }
    const double hosts = static_cast<double>(hosts_.size());
    for (std::size_t index = 0; index < hosts_.size(); ++index) {
        host& node = hosts_[index];
        double fraction = dm::share_fraction(zones[node.zone], zones);
        if (run.policy == rate_policy::static_split) {
            node.owns_share = true;
            fraction = 1 / hosts;
        } else if (run.policy == rate_policy::central_owner) {
            node.owns_share = index == 0;
            fraction = 1;
        }
        if (node.owns_share) {
            // A share refills by its owner's clock, which may run fast by the drift; the division keeps the
            // fleet within the rate.
            const double rate = run.rate * fraction / (1 + run.drift);
            node.share.refilled_at = clock_of(node);
            node.share.rate = rate;
            node.share.burst = run.burst * fraction;
        }
    }
    now_ = start_seconds;
    next_arrival_ = now_;
}

dm::steady_time token_fleet::clock_of(const host& node) const {
    return dm::steady_time{} + std::chrono::hours(1) + dm::from_seconds(now_ * node.clock_speed);
}

bool token_fleet::is_up(const host& node) const {
    return !node.dead && now_ >= node.paused_until;
}

bool token_fleet::can_reach(const host& from, const host& to) const {
    const double elapsed = now_ - start_seconds;
    const bool partitioned = elapsed >= run_.partition_from && elapsed < run_.partition_until;
    const std::uint32_t last_zone = run_.zones - 1;
    return !partitioned || (from.zone == last_zone) == (to.zone == last_zone);
}

void token_fleet::send_message(const host& from, const host& to, std::function<void()> action) {
    std::uniform_real_distribution<double> chance(0, 1);
    ++outcome_.messages;
    const int copies = chance(random_) < run_.duplicates ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const double delay = 0.0002 + chance(random_) * run_.max_delay_ms / 1000.0;
        if (can_reach(from, to) && chance(random_) >= run_.loss) {
            const host* receiver = &to;
            events_.emplace(now_ + delay, [this, receiver, action] {
                if (is_up(*receiver)) {
                    action();
                } else if (!receiver->dead) {
                    // The message stays in the paused host's socket buffer until the host resumes.
                    events_.emplace(receiver->paused_until + step_seconds, action);
                }
            });
        }
    }
}

bool token_fleet::admit(host& node) {
    const auto now = clock_of(node);
    const bool admitted =
        dm::spend_token(node.balance, now) || (node.owns_share && dm::take_tokens(node.share, 1, now));
    if (admitted) {
        admissions_.push_back(now_);
    }
    return admitted;
}

void token_fleet::record_outcome(const waiting_request& request, bool admitted) {
    outcome_.admitted += admitted ? 1 : 0;
    outcome_.wrongly_refused += !admitted && request.ideally_admitted ? 1 : 0;
}

void token_fleet::generate_arrivals() {
    std::exponential_distribution<double> interarrival(run_.rate * run_.demand);
    std::uniform_real_distribution<double> chance(0, 1);
    while (next_arrival_ <= now_) {
        std::size_t index = random_() % hosts_.size();
        if (chance(random_) < run_.skew) {
            index = hotspot_;
        }
        // Callers of a host that is dead or paused use the next one.
        while (!is_up(hosts_[index])) {
            index = (index + 1) % hosts_.size();
        }
        ++outcome_.requests;
        const waiting_request request{now_, ideal_.admit(now_), 0};
        host& node = hosts_[index];
        if (node.waiting.empty() && admit(node)) {
            record_outcome(request, true);
        } else {
            node.waiting.push_back(request);
        }
        next_arrival_ += interarrival(random_);
    }
}

void token_fleet::serve_waiting(host& node) {
    while (!node.waiting.empty() && admit(node)) {
        record_outcome(node.waiting.front(), true);
        node.waiting.pop_front();
    }
    while (!node.waiting.empty() && now_ - node.waiting.front().arrived_at > max_wait_seconds) {
        record_outcome(node.waiting.front(), false);
        node.waiting.pop_front();
    }
    if (!node.waiting.empty() && run_.policy != rate_policy::static_split) {
        request_tokens(node);
    }
}

// Requests the missing tokens in rounds: from the owners in the same zone and then from those in the other
// zones, an equal part from each; then from both groups again, all of the tokens from each owner.
void token_fleet::request_tokens(host& node) {
    waiting_request& first = node.waiting.front();
    if (first.rounds_started >= max_rounds ||
        now_ < first.arrived_at + first.rounds_started * round_interval_seconds) {
        return;
    }
    const int round = first.rounds_started++;
    std::vector<host*> owners;
    for (host& other : hosts_) {
        const bool same_zone = other.zone == node.zone;
        const bool in_round = run_.policy == rate_policy::central_owner || same_zone == (round % 2 == 0);
        if (other.owns_share && !other.dead && in_round) {
            owners.push_back(&other);
        }
    }
    const double missing =
        static_cast<double>(node.waiting.size()) - dm::spendable_tokens(node.balance, clock_of(node));
    for (host* owner : owners) {
        request_from_owner(node, *owner, round < 2 ? missing / static_cast<double>(owners.size()) : missing);
    }
}

void token_fleet::request_from_owner(host& from, host& owner, double wanted) {
    auto& report = from.balance.reports[owner.name];
    report.unsent = false;
    const std::uint64_t grant_id = ++from.last_grant_id;
    const auto requested_at = clock_of(from);
    host* sender = &from;
    host* receiver = &owner;
    const double spent = report.spent;
    const double returned = report.returned;
    const auto credited = std::make_shared<bool>(false);
    const auto handle_request = [=, this] {
        const dm::grant_request message{sender->name, grant_id, wanted, spent, returned};
        const double granted = dm::grant_tokens(receiver->share, message, clock_of(*receiver));
        // Replies to a repeated request count once, because a link accepts only the first one.
        send_message(*receiver, *sender, [=, this] {
            if (!*credited && granted > 0) {
                *credited = true;
                dm::add_batch(sender->balance, receiver->name, granted, requested_at);
            }
        });
    };
    if (&from == &owner) {
        const dm::grant_request message{from.name, grant_id, wanted, spent, returned};
        dm::add_batch(from.balance, owner.name, dm::grant_tokens(owner.share, message, requested_at),
                      requested_at);
        return;
    }
    send_message(from, owner, handle_request);
}

void token_fleet::report(host& node) {
    if (now_ - node.last_report_at < report_interval_seconds) {
        return;
    }
    node.last_report_at = now_;
    dm::return_idle_tokens(node.balance, clock_of(node));
    for (host& owner : hosts_) {
        const auto found = node.balance.reports.find(owner.name);
        if (found != node.balance.reports.end() && found->second.unsent) {
            request_from_owner(node, owner, 0);
        }
    }
}

void token_fleet::apply_faults() {
    std::uniform_real_distribution<double> chance(0, 1);
    const double elapsed = now_ - start_seconds;
    for (host& node : hosts_) {
        if (run_.pause_rate > 0 && chance(random_) < run_.pause_rate * step_seconds) {
            node.paused_until = now_ + chance(random_) * 6;
        }
    }
    host& failing_owner =
        *std::find_if(hosts_.begin(), hosts_.end(), [](const host& node) { return node.owns_share; });
    failing_owner.dead = elapsed >= run_.dead_from && elapsed < run_.dead_until;
    if (run_.hotspot_move_interval > 0 && std::fmod(elapsed, run_.hotspot_move_interval) < step_seconds) {
        hotspot_ = random_() % hosts_.size();
    }
}

token_outcome token_fleet::run() {
    while (now_ < start_seconds + run_.seconds) {
        now_ += step_seconds;
        apply_faults();
        while (!events_.empty() && events_.begin()->first <= now_) {
            const auto action = events_.begin()->second;
            events_.erase(events_.begin());
            action();
        }
        generate_arrivals();
        for (host& node : hosts_) {
            if (is_up(node)) {
                serve_waiting(node);
                report(node);
            }
        }
    }
    outcome_.excess = worst_excess(admissions_, run_.rate, run_.burst);
    return outcome_;
}

} // namespace tests
