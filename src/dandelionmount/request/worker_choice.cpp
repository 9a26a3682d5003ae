#include "dandelionmount/request/worker_choice.h"

#include <algorithm>

namespace dandelionmount {

namespace {

// How long a host that has refused a request for its stop is left out without news. A stop lasts longer, but
// another attempt then costs little.
constexpr duration host_stopping_validity = std::chrono::seconds(1);
constexpr std::uint32_t failures_until_ejection = 5;
constexpr duration ejection_time = std::chrono::seconds(2);
// A load report of this age no longer represents the current load.
constexpr duration report_validity = std::chrono::seconds(1);
// Outliers are reported four times a second while they last; two missing repeats are tolerated.
constexpr duration health_validity = std::chrono::milliseconds(800);
// Share of requests that probe a degraded worker to detect its recovery; small, as such requests are slow or
// fail.
constexpr double probe_share = 0.01;
constexpr duration slow_start_duration = std::chrono::seconds(5);
// Weight of a worker that has just become ready.
constexpr double slow_start_weight = 0.1;
// Own-zone workers above this share of their limit count as short of capacity.
constexpr double max_zone_load = 0.9;
// Own-zone workers from this relative cost on count as short of capacity, too. Below it, another zone gains
// little and may become unreachable in a partition between zones.
constexpr double max_zone_cost = 4;
// If more than this share of a service's workers is ejected, ejections are ignored.
constexpr double max_ejected_share = 0.34;

struct candidate {
    const wire::member_record* member{nullptr};
    worker_record* record{nullptr};
    /// Load with one more request as a share of the worker's limit, raised during its slow start.
    double load{0};
    /// Expected run time as a multiple of that of faster workers, counting failures as lost time.
    double cost{1};

    /// Lower is better.
    [[nodiscard]] double score() const { return load * cost; }
};

bool report_is_fresh(const worker_record& record, steady_time now) {
    return record.load_received_at != steady_time{} && now - record.load_received_at < report_validity;
}

bool health_is_fresh(const worker_record& record, steady_time now) {
    return record.health_received_at != steady_time{} && now - record.health_received_at < health_validity;
}

double worker_limit(const wire::member_record& member, const worker_record& record, steady_time now) {
    const bool fresh = report_is_fresh(record, now) && record.load.limit() > 0;
    return std::max(1.0, static_cast<double>(fresh ? record.load.limit() : member.target_slots()));
}

double load_share(const wire::member_record& member, const worker_record& record, steady_time now) {
    double load = record.in_flight;
    if (report_is_fresh(record, now)) {
        load = std::max<double>(load, record.load.in_flight()) + record.load.queued();
    }
    const double limit = worker_limit(member, record, now);
    if (health_is_fresh(record, now)) {
        load = std::max(load, record.health.load * limit);
    }
    const double age = to_seconds(now - record.ready_since) / to_seconds(slow_start_duration);
    const double weight = std::clamp(age, slow_start_weight, 1.0);
    return (load + 1) / (limit * weight);
}

double current_cost(const worker_record& record, steady_time now) {
    return health_is_fresh(record, now) ? cost_factor(record.health) : 1;
}

bool is_worker(const wire::member_record& member, std::string_view service) {
    return member.state() == wire::member_alive && member.service() == service &&
           (member.target() == wire::target_ready || member.host_stopping());
}

bool is_host_stopping(const wire::member_record& member, const worker_record& record, steady_time now) {
    return member.host_stopping() || now < record.host_stopping_until;
}

void reset_on_restart(worker_record& record, const wire::member_record& member, steady_time now) {
    if (record.incarnation != member.incarnation()) {
        const bool first_seen = record.incarnation == 0;
        const bool reachable = record.host_reachable;
        const auto left = record.left_incarnation;
        const auto stopping_until = record.host_stopping_until;
        record = worker_record{};
        record.host_reachable = reachable;
        record.left_incarnation = left;
        record.host_stopping_until = stopping_until;
        record.incarnation = member.incarnation();
        // A worker that this host sees for the first time may have been ready for long, and gets no slow
        // start.
        record.ready_since = first_seen ? now - slow_start_duration : now;
    }
}

// Keeps only the matching candidates, unless none matches; returns whether any does.
template <typename Keep>
bool filter(std::vector<candidate>& candidates, const Keep& keep) {
    std::vector<candidate> kept;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(kept), keep);
    if (kept.empty()) {
        return false;
    }
    candidates = std::move(kept);
    return true;
}

// Workers whose hosts are stopping, or the others.
std::vector<candidate> find_candidates(const choice_context& context, bool stopping,
                                       const member_table& members,
                                       std::map<std::string, worker_record, std::less<>>& records) {
    std::vector<candidate> candidates;
    const auto consider = [&](const wire::member_record& member) {
        const bool excluded = !stopping && std::find(context.excluded.begin(), context.excluded.end(),
                                                     member.host()) != context.excluded.end();
        if (!is_worker(member, context.service) || excluded) {
            return;
        }
        worker_record& record = records[member.host()];
        reset_on_restart(record, member, context.now);
        const bool has_left = record.left_incarnation != 0 && record.left_incarnation == member.incarnation();
        if (has_left || is_host_stopping(member, record, context.now) != stopping) {
            return;
        }
        candidates.push_back(
            {&member, &record, load_share(member, record, context.now), current_cost(record, context.now)});
    };
    consider(members.self);
    const auto hosts = members.hosts_by_service.find(context.service);
    if (hosts != members.hosts_by_service.end()) {
        for (const auto& host : hosts->second) {
            consider(members.others.find(host)->second);
        }
    }
    return candidates;
}

// Removes ejected workers unless they are more than the allowed share.
void remove_ejected(std::vector<candidate>& candidates, steady_time now) {
    const auto is_ejected = [now](const candidate& worker) { return worker.record->ejected_until > now; };
    const auto ejected = std::count_if(candidates.begin(), candidates.end(), is_ejected);
    const double allowed = std::max(1.0, max_ejected_share * static_cast<double>(candidates.size()));
    if (static_cast<double>(ejected) <= allowed) {
        filter(candidates, [&](const candidate& worker) { return !is_ejected(worker); });
    }
}

void prefer_own_zone(std::vector<candidate>& candidates, std::string_view zone) {
    filter(candidates, [&](const candidate& worker) {
        return worker.member->zone() == zone && worker.load < max_zone_load && worker.cost < max_zone_cost;
    });
}

// Returns a slow or failing worker for a small share of requests, otherwise nullptr.
const candidate* draw_probe(const std::vector<candidate>& candidates, std::mt19937_64& random) {
    std::vector<const candidate*> degraded;
    for (const auto& worker : candidates) {
        if (worker.cost > 1) {
            degraded.push_back(&worker);
        }
    }
    if (degraded.empty() || std::uniform_real_distribution<double>(0, 1)(random) >= probe_share) {
        return nullptr;
    }
    return degraded[std::uniform_int_distribution<std::size_t>(0, degraded.size() - 1)(random)];
}

const candidate& draw_better_of_two(const std::vector<candidate>& candidates, std::mt19937_64& random) {
    std::uniform_int_distribution<std::size_t> draw_first(0, candidates.size() - 1);
    const std::size_t first = draw_first(random);
    if (candidates.size() == 1) {
        return candidates[first];
    }
    std::uniform_int_distribution<std::size_t> draw_second(1, candidates.size() - 1);
    const std::size_t second = (first + draw_second(random)) % candidates.size();
    return candidates[first].score() <= candidates[second].score() ? candidates[first] : candidates[second];
}

} // namespace

worker_choice choose_worker(const choice_context& context, const member_table& members,
                            std::map<std::string, worker_record, std::less<>>& records,
                            std::mt19937_64& random) {
    std::vector<candidate> candidates = find_candidates(context, false, members, records);
    const bool is_last_resort = candidates.empty();
    if (is_last_resort) {
        candidates = find_candidates(context, true, members, records);
    }
    if (candidates.empty()) {
        return {{}, reason::no_target};
    }
    filter(candidates, [](const candidate& worker) { return worker.record->host_reachable; });
    remove_ejected(candidates, context.now);
    const auto* probed = draw_probe(candidates, random);
    if (probed != nullptr) {
        return {probed->member->host(), reason::none, is_last_resort};
    }
    prefer_own_zone(candidates, context.zone);
    return {draw_better_of_two(candidates, random).member->host(), reason::none, is_last_resort};
}

double pressure_at_workers(std::string_view service, const member_table& members,
                           const std::map<std::string, worker_record, std::less<>>& records,
                           steady_time now) {
    double demand = 0;
    double capacity = 0;
    const auto consider = [&](const std::string& host) {
        const auto found = records.find(host);
        if (found != records.end() && report_is_fresh(found->second, now)) {
            demand += found->second.load.asked();
            capacity += found->second.load.usable();
        }
    };
    if (members.self.service() == service) {
        consider(members.self.host());
    }
    const auto hosts = members.hosts_by_service.find(service);
    if (hosts != members.hosts_by_service.end()) {
        std::for_each(hosts->second.begin(), hosts->second.end(), consider);
    }
    return capacity > 0 ? demand / capacity : 0;
}

void record_load(worker_record& record, const wire::load_report& load, steady_time now) {
    record.load = load;
    record.load_received_at = now;
    if (load.leaving_incarnation() != 0) {
        record.left_incarnation = load.leaving_incarnation();
    }
}

void record_host_stopping(worker_record& record, steady_time now) {
    record.host_stopping_until = now + host_stopping_validity;
}

void record_comparison(worker_record& record, const target_health& health, steady_time now) {
    record.health = health;
    record.health_received_at = now;
}

void record_attempt_end(worker_record& record, bool success, steady_time now) {
    if (success) {
        record.consecutive_failures = 0;
        return;
    }
    ++record.consecutive_failures;
    if (record.consecutive_failures >= failures_until_ejection) {
        record.consecutive_failures = 0;
        record.ejected_until = now + ejection_time;
    }
}

} // namespace dandelionmount
