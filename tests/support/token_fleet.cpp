#include "tests/support/token_fleet.h"

#include "dandelionmount/version/configuration_state.h"

#include <algorithm>

namespace tests {

namespace dm = dandelionmount;

namespace {

constexpr double step = 0.001;
constexpr double patience = 0.12;
constexpr double pass_time = 0.03;
constexpr double report_interval = 0.1;
constexpr int most_passes = 4;
// Long enough for shares to have filled before the first request.
constexpr double start_time = 10;

} // namespace

token_fleet::token_fleet(const token_run& run) : run_(run), random_(run.seed), ideal_(run.rate, run.burst) {
    std::uniform_real_distribution<double> speed(1 - run.drift, 1 + run.drift);
    std::vector<dm::zone_settings> zones;
    for (std::uint32_t zone = 0; zone < run.zones; ++zone) {
        zones.push_back({std::string(1, static_cast<char>('a' + zone)), run.hosts_of_zone});
    }
    for (const auto& zone : zones) {
        const auto keepers = dm::choose_keepers("account", zone);
        for (std::uint32_t slot = 0; slot < run.hosts_of_zone; ++slot) {
            host one;
            one.name = dm::slot_name(zone.name, slot);
            one.zone = static_cast<std::uint32_t>(zone.name[0] - 'a');
            one.speed = speed(random_);
            one.keeper = std::find(keepers.begin(), keepers.end(), slot) != keepers.end();
            hosts_.push_back(std::move(one));
        }
    }
    const double hosts = static_cast<double>(hosts_.size());
    for (std::size_t index = 0; index < hosts_.size(); ++index) {
        host& one = hosts_[index];
        double part = dm::keeper_part(zones[one.zone], zones);
        if (run.policy == rate_policy::static_split) {
            one.keeper = true;
            part = 1 / hosts;
        } else if (run.policy == rate_policy::central_owner) {
            one.keeper = index == 0;
            part = 1;
        }
        if (one.keeper) {
            // Each keeper's own clock runs at its own speed, so its share is a little smaller: a fleet whose
            // clocks drift by d keeps to its rate by counting with rate / (1 + d).
            const double rate = run.rate * part / (1 + run.drift);
            one.share.refilled = clock_of(one);
            one.share.rate = rate;
            one.share.burst = run.burst * part;
        }
    }
    now_ = start_time;
    next_arrival_ = now_;
}

dm::steady_time token_fleet::clock_of(const host& one) const {
    return dm::steady_time{} + std::chrono::hours(1) + dm::from_seconds(now_ * one.speed);
}

bool token_fleet::is_up(const host& one) const {
    return !one.dead && now_ >= one.paused_until;
}

bool token_fleet::is_linked(const host& from, const host& to) const {
    const double since = now_ - start_time;
    const bool cut = since >= run_.cut_from && since < run_.cut_until;
    const std::uint32_t last = run_.zones - 1;
    return !cut || (from.zone == last) == (to.zone == last);
}

void token_fleet::post(const host& from, const host& to, std::function<void()> action) {
    std::uniform_real_distribution<double> chance(0, 1);
    ++outcome_.messages;
    const int copies = chance(random_) < run_.duplicates ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const double delay = 0.0002 + chance(random_) * run_.most_delay_ms / 1000.0;
        if (is_linked(from, to) && chance(random_) >= run_.loss) {
            const host* receiver = &to;
            events_.emplace(now_ + delay, [this, receiver, action] {
                if (is_up(*receiver)) {
                    action();
                } else if (!receiver->dead) {
                    // Waits in the paused host's socket.
                    events_.emplace(receiver->paused_until + step, action);
                }
            });
        }
    }
}

bool token_fleet::admit(host& one) {
    const auto now = clock_of(one);
    const bool admitted =
        dm::spend_token(one.wallet, now) || (one.keeper && dm::take_tokens(one.share, 1, now));
    if (admitted) {
        admissions_.push_back(now_);
    }
    return admitted;
}

void token_fleet::finish(const waiting_request& request, bool admitted) {
    outcome_.admitted += admitted ? 1 : 0;
    outcome_.wrongly_refused += !admitted && request.ideal ? 1 : 0;
}

void token_fleet::arrive() {
    std::exponential_distribution<double> gap(run_.rate * run_.demand);
    std::uniform_real_distribution<double> chance(0, 1);
    while (next_arrival_ <= now_) {
        std::size_t index = random_() % hosts_.size();
        if (chance(random_) < run_.skew) {
            index = busiest_;
        }
        // Callers of a host that is down go to another one.
        while (!is_up(hosts_[index])) {
            index = (index + 1) % hosts_.size();
        }
        ++outcome_.requests;
        const waiting_request request{now_, ideal_.admit(now_), 0};
        host& one = hosts_[index];
        if (one.waiting.empty() && admit(one)) {
            finish(request, true);
        } else {
            one.waiting.push_back(request);
        }
        next_arrival_ += gap(random_);
    }
}

void token_fleet::serve(host& one) {
    while (!one.waiting.empty() && admit(one)) {
        finish(one.waiting.front(), true);
        one.waiting.pop_front();
    }
    while (!one.waiting.empty() && now_ - one.waiting.front().arrived > patience) {
        finish(one.waiting.front(), false);
        one.waiting.pop_front();
    }
    if (!one.waiting.empty() && run_.policy != rate_policy::static_split) {
        ask_keepers(one);
    }
}

// The passes of one fetch: keepers of the own zone in parts, of the others in parts, then all for the whole.
void token_fleet::ask_keepers(host& one) {
    waiting_request& first = one.waiting.front();
    if (first.passes >= most_passes || now_ < first.arrived + first.passes * pass_time) {
        return;
    }
    const int pass = first.passes++;
    std::vector<host*> keepers;
    for (host& other : hosts_) {
        const bool near = other.zone == one.zone;
        const bool asked = run_.policy == rate_policy::central_owner || near == (pass % 2 == 0);
        if (other.keeper && !other.dead && asked) {
            keepers.push_back(&other);
        }
    }
    const double missing =
        static_cast<double>(one.waiting.size()) - dm::wallet_tokens(one.wallet, clock_of(one));
    for (host* keeper : keepers) {
        ask(one, *keeper, pass < 2 ? missing / static_cast<double>(keepers.size()) : missing);
    }
}

void token_fleet::ask(host& from, host& keeper, double wanted) {
    auto& report = from.wallet.reports[keeper.name];
    report.unsent = false;
    const std::uint64_t grant = ++from.next_grant;
    const auto asked = clock_of(from);
    host* sender = &from;
    host* receiver = &keeper;
    const double spent = report.spent;
    const double returned = report.returned;
    const auto asking = [=, this] {
        const dm::token_ask order{sender->name, grant, wanted, spent, returned};
        const double granted = dm::grant_tokens(receiver->share, order, clock_of(*receiver));
        const auto credited = std::make_shared<bool>(false);
        // A repeated answer is taken once, as the link takes only the first one.
        post(*receiver, *sender, [=, this] {
            if (!*credited && granted > 0) {
                *credited = true;
                dm::add_batch(sender->wallet, receiver->name, granted, asked);
            }
        });
    };
    if (&from == &keeper) {
        const dm::token_ask order{from.name, grant, wanted, spent, returned};
        dm::add_batch(from.wallet, keeper.name, dm::grant_tokens(keeper.share, order, asked), asked);
        return;
    }
    post(from, keeper, asking);
}

void token_fleet::report(host& one) {
    if (now_ - one.last_report < report_interval) {
        return;
    }
    one.last_report = now_;
    dm::return_idle(one.wallet, clock_of(one));
    for (host& keeper : hosts_) {
        const auto found = one.wallet.reports.find(keeper.name);
        if (found != one.wallet.reports.end() && found->second.unsent) {
            ask(one, keeper, 0);
        }
    }
}

void token_fleet::apply_faults() {
    std::uniform_real_distribution<double> chance(0, 1);
    const double since = now_ - start_time;
    for (host& one : hosts_) {
        if (run_.pauses > 0 && chance(random_) < run_.pauses * step) {
            one.paused_until = now_ + chance(random_) * 6;
        }
    }
    host& victim = *std::find_if(hosts_.begin(), hosts_.end(), [](const host& one) { return one.keeper; });
    victim.dead = since >= run_.dead_from && since < run_.dead_until;
    if (run_.move_every > 0 && std::fmod(since, run_.move_every) < step) {
        busiest_ = random_() % hosts_.size();
    }
}

token_outcome token_fleet::run() {
    while (now_ < start_time + run_.seconds) {
        now_ += step;
        apply_faults();
        while (!events_.empty() && events_.begin()->first <= now_) {
            const auto action = events_.begin()->second;
            events_.erase(events_.begin());
            action();
        }
        arrive();
        for (host& one : hosts_) {
            if (is_up(one)) {
                serve(one);
                report(one);
            }
        }
    }
    outcome_.excess = worst_excess(admissions_, run_.rate, run_.burst);
    return outcome_;
}

} // namespace tests
