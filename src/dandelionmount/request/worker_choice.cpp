#include "dandelionmount/request/worker_choice.h"

#include <algorithm>

namespace dandelionmount {

namespace {

constexpr std::uint32_t failures_until_ejection = 5;
constexpr duration ejection_time = std::chrono::seconds(2);
// A report older than this says nothing about the load of now.
constexpr duration report_life = std::chrono::seconds(1);
// Notes come four times a second while they hold; after two that are missing one lapses.
constexpr duration note_life = std::chrono::milliseconds(800);
// Part of the requests that goes to one of the workers in trouble, so that the end of it is seen: little
// beside what a request that meets such a worker costs.
constexpr double probe_share = 0.01;
constexpr duration slow_start = std::chrono::seconds(5);
// Share of its place in line that a worker has at once when it becomes ready.
constexpr double slow_start_floor = 0.1;
// Own-zone workers count as short above this share of their limit.
constexpr double zone_short = 0.9;
// An own-zone worker at which requests cost so much more counts as short, too. Below that another zone gains
// little, and is lost first when zones are cut off from each other.
constexpr double zone_cost = 4;
// At most this share of a service's workers is ejected at a time.
constexpr double most_ejected = 0.34;
struct candidate {
    const wire::member_record* member{nullptr};
    worker_record* record{nullptr};
    /// Load as a share of what the worker can do.
    double load{0};
    /// How much longer a request can be expected to take there.
    double cost{1};

    /// Lower is better.
    [[nodiscard]] double score() const { return load * cost; }
};

bool report_is_fresh(const worker_record& record, steady_time now) {
    return record.load_heard != steady_time{} && now - record.load_heard < report_life;
}

bool note_is_fresh(const worker_record& record, steady_time now) {
    return record.note_heard != steady_time{} && now - record.note_heard < note_life;
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
    if (note_is_fresh(record, now)) {
        load = std::max(load, record.note.load * limit);
    }
    const double age = to_seconds(now - record.ready_since) / to_seconds(slow_start);
    const double weight = std::clamp(age, slow_start_floor, 1.0);
    return (load + 1) / (limit * weight);
}

double known_cost(const worker_record& record, steady_time now) {
    return note_is_fresh(record, now) ? cost_factor(record.note) : 1;
}

bool is_worker(const wire::member_record& member, std::string_view service) {
    return member.state() == wire::member_alive && member.service() == service &&
           member.target() == wire::target_ready;
}

void refresh_life(worker_record& record, const wire::member_record& member, steady_time now) {
    if (record.incarnation != member.incarnation()) {
        const bool first_sight = record.incarnation == 0;
        const bool reachable = record.reachable;
        record = worker_record{};
        record.reachable = reachable;
        record.incarnation = member.incarnation();
        // A worker that was there before this host knew it has had its slow start.
        record.ready_since = first_sight ? now - slow_start : now;
    }
}

// Keeps the candidates that pass, unless none does.
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

std::vector<candidate> find_candidates(const choice_context& context, const member_table& members,
                                       std::map<std::string, worker_record, std::less<>>& records) {
    std::vector<candidate> candidates;
    const auto consider = [&](const wire::member_record& member) {
        const bool excluded = std::find(context.excluded.begin(), context.excluded.end(), member.host()) !=
                              context.excluded.end();
        if (!is_worker(member, context.service) || excluded) {
            return;
        }
        worker_record& record = records[member.host()];
        refresh_life(record, member, context.now);
        candidates.push_back(
            {&member, &record, load_share(member, record, context.now), known_cost(record, context.now)});
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

// Leaves out ejected workers, but never more than the allowed share of them.
void leave_out_ejected(std::vector<candidate>& candidates, steady_time now) {
    const auto is_ejected = [now](const candidate& one) { return one.record->ejected_until > now; };
    const auto ejected = std::count_if(candidates.begin(), candidates.end(), is_ejected);
    const double allowed = std::max(1.0, most_ejected * static_cast<double>(candidates.size()));
    if (static_cast<double>(ejected) <= allowed) {
        filter(candidates, [&](const candidate& one) { return !is_ejected(one); });
    }
}

void prefer_own_zone(std::vector<candidate>& candidates, std::string_view zone) {
    filter(candidates, [&](const candidate& one) {
        return one.member->zone() == zone && one.load < zone_short && one.cost < zone_cost;
    });
}

// Seldom, one of the workers that are slow or failing; nullptr otherwise.
const candidate* draw_probe(const std::vector<candidate>& candidates, std::mt19937_64& random) {
    std::vector<const candidate*> in_trouble;
    for (const auto& one : candidates) {
        if (one.cost > 1) {
            in_trouble.push_back(&one);
        }
    }
    if (in_trouble.empty() || std::uniform_real_distribution<double>(0, 1)(random) >= probe_share) {
        return nullptr;
    }
    return in_trouble[std::uniform_int_distribution<std::size_t>(0, in_trouble.size() - 1)(random)];
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
    std::vector<candidate> candidates = find_candidates(context, members, records);
    if (candidates.empty()) {
        return {{}, reason::no_target};
    }
    filter(candidates, [](const candidate& one) { return one.record->reachable; });
    leave_out_ejected(candidates, context.now);
    const auto* probed = draw_probe(candidates, random);
    if (probed != nullptr) {
        return {probed->member->host(), reason::none};
    }
    prefer_own_zone(candidates, context.zone);
    return {draw_better_of_two(candidates, random).member->host(), reason::none};
}

double pressure_at_workers(std::string_view service, const member_table& members,
                           const std::map<std::string, worker_record, std::less<>>& records,
                           steady_time now) {
    double asked = 0;
    double usable = 0;
    const auto consider = [&](const std::string& host) {
        const auto found = records.find(host);
        if (found != records.end() && report_is_fresh(found->second, now)) {
            asked += found->second.load.asked();
            usable += found->second.load.usable();
        }
    };
    if (members.self.service() == service) {
        consider(members.self.host());
    }
    const auto hosts = members.hosts_by_service.find(service);
    if (hosts != members.hosts_by_service.end()) {
        std::for_each(hosts->second.begin(), hosts->second.end(), consider);
    }
    return usable > 0 ? asked / usable : 0;
}

void note_load(worker_record& record, const wire::load_report& load, steady_time now) {
    record.load = load;
    record.load_heard = now;
}

void note_comparison(worker_record& record, const target_health& note, steady_time now) {
    record.note = note;
    record.note_heard = now;
}

void note_attempt_end(worker_record& record, bool good, steady_time now) {
    if (good) {
        record.failures_in_row = 0;
        return;
    }
    ++record.failures_in_row;
    if (record.failures_in_row >= failures_until_ejection) {
        record.failures_in_row = 0;
        record.ejected_until = now + ejection_time;
    }
}

} // namespace dandelionmount
