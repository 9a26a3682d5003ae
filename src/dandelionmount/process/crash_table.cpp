#include "dandelionmount/process/crash_table.h"

#include "dandelionmount/process/crypto.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace dandelionmount {

namespace {

// Digits of the hash that are kept: 128 bits.
constexpr std::size_t fingerprint_digits = 32;
// Crashes from which a request is quarantined. Fewer happen to a request by chance, beside one that crashes
// targets.
constexpr std::size_t crashes_until_quarantine = 3;
// Time after the last crash before a trial; it doubles with each further crash, so that a request that
// crashes targets for good costs few of them.
constexpr duration min_quarantine = std::chrono::minutes(10);
constexpr std::size_t max_doublings = 7;
// Evidence against a request that is not quarantined.
constexpr duration evidence_retention = std::chrono::minutes(10);
// A cleared request is kept so long, so that older evidence that another host still sends does not count.
constexpr duration cleared_retention = std::chrono::minutes(1);
// Bounds the memory: 1,024 requests of about 250 bytes.
constexpr std::size_t max_requests = 1024;
// Further crashes of a request replace the oldest.
constexpr std::size_t max_crashes = crashes_until_quarantine + max_doublings;

void append(std::string& text, std::string_view part) {
    text.append(std::to_string(part.size())).append(":").append(part);
}

bool counts(const crash_evidence& evidence, steady_time crashed_at) {
    return !evidence.responded_at || crashed_at > *evidence.responded_at;
}

std::size_t crash_count(const crash_evidence& evidence) {
    return static_cast<std::size_t>(
        std::count_if(evidence.crashes.begin(), evidence.crashes.end(),
                      [&evidence](const auto& crash) { return counts(evidence, crash.second); }));
}

steady_time last_crash_at(const crash_evidence& evidence) {
    steady_time latest{};
    for (const auto& [id, at] : evidence.crashes) {
        latest = std::max(latest, at);
    }
    return latest;
}

std::map<std::uint64_t, steady_time>::const_iterator oldest_crash(const crash_evidence& evidence) {
    return std::min_element(evidence.crashes.begin(), evidence.crashes.end(),
                            [](const auto& left, const auto& right) { return left.second < right.second; });
}

duration quarantine(std::size_t crashes) {
    const std::size_t doublings = std::min(crashes - crashes_until_quarantine, max_doublings);
    return min_quarantine * (1 << doublings);
}

bool has_expired(const crash_evidence& evidence, steady_time now) {
    const std::size_t crashes = crash_count(evidence);
    if (crashes == 0) {
        return now - evidence.responded_at.value_or(steady_time{}) > cleared_retention;
    }
    const duration age = now - last_crash_at(evidence);
    // A request that nobody sends gets no trial.
    return age > (crashes < crashes_until_quarantine ? evidence_retention : 2 * quarantine(crashes));
}

// By how much is known against a request, most first.
std::vector<std::pair<std::size_t, std::string>> rank(const crash_table& table) {
    std::vector<std::pair<std::size_t, std::string>> ranked;
    ranked.reserve(table.requests.size());
    for (const auto& [fingerprint, evidence] : table.requests) {
        ranked.emplace_back(crash_count(evidence), fingerprint);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    return ranked;
}

void limit_size(crash_table& table) {
    if (table.requests.size() <= max_requests) {
        return;
    }
    // Some room at once, as ranking visits all requests.
    constexpr std::size_t kept = max_requests - max_requests / 8;
    const auto ranked = rank(table);
    for (std::size_t index = kept; index < ranked.size(); ++index) {
        table.requests.erase(ranked[index].second);
    }
}

void add_crash(crash_evidence& evidence, std::uint64_t id, steady_time at) {
    const auto known = evidence.crashes.find(id);
    if (known != evidence.crashes.end()) {
        // Other hosts report the same crash with an age that is rounded and delayed.
        known->second = std::min(known->second, at);
        return;
    }
    std::erase_if(evidence.crashes,
                  [&evidence](const auto& crash) { return !counts(evidence, crash.second); });
    if (!counts(evidence, at)) {
        return;
    }
    if (evidence.crashes.size() >= max_crashes) {
        evidence.crashes.erase(oldest_crash(evidence));
    }
    evidence.crashes.emplace(id, at);
}

std::uint32_t age_ms(steady_time at, steady_time now) {
    return to_milliseconds(std::max<duration>(duration{0}, now - at));
}

} // namespace

std::string request_fingerprint(const wire::forward_request& request) {
    std::string text;
    for (const std::string_view part : {std::string_view(request.account()),
                                        std::string_view(request.route()), std::string_view(request.method()),
                                        std::string_view(request.path()), std::string_view(request.body())}) {
        append(text, part);
    }
    return sha256_hex(text).substr(0, fingerprint_digits);
}

void record_crash(crash_table& table, const std::string& fingerprint, std::uint64_t crash, steady_time at) {
    add_crash(table.requests[fingerprint], crash, at);
    limit_size(table);
}

bool record_response(crash_table& table, std::string_view fingerprint, steady_time now) {
    const auto found = table.requests.find(fingerprint);
    if (found == table.requests.end()) {
        return false;
    }
    const bool clears = crash_count(found->second) > 0;
    found->second.responded_at = now;
    return clears;
}

crash_verdict assess(const crash_table& table, std::string_view fingerprint, steady_time now) {
    crash_verdict verdict;
    const auto found = table.requests.find(fingerprint);
    if (found == table.requests.end() || has_expired(found->second, now)) {
        return verdict;
    }
    verdict.crashes = crash_count(found->second);
    verdict.trial_only = verdict.crashes >= crashes_until_quarantine;
    verdict.quarantined =
        verdict.trial_only && now - last_crash_at(found->second) < quarantine(verdict.crashes);
    return verdict;
}

void write_evidence(const std::string& fingerprint, const crash_evidence& evidence, steady_time now,
                    wire::crash_evidence& message) {
    message.set_fingerprint(fingerprint);
    for (const auto& [id, at] : evidence.crashes) {
        if (counts(evidence, at)) {
            auto* crash = message.add_crashes();
            crash->set_id(id);
            crash->set_age_ms(age_ms(at, now));
        }
    }
    if (evidence.responded_at) {
        message.set_responded_age_ms(age_ms(*evidence.responded_at, now));
    }
}

void merge(crash_table& table, const wire::crash_report& report, steady_time now) {
    for (const auto& received : report.requests()) {
        if (received.fingerprint().size() != fingerprint_digits) {
            continue;
        }
        crash_evidence& evidence = table.requests[received.fingerprint()];
        if (received.has_responded_age_ms()) {
            const auto responded_at = now - std::chrono::milliseconds(received.responded_age_ms());
            evidence.responded_at = std::max(evidence.responded_at.value_or(responded_at), responded_at);
        }
        for (const auto& crash : received.crashes()) {
            add_crash(evidence, crash.id(), now - std::chrono::milliseconds(crash.age_ms()));
        }
    }
    limit_size(table);
}

wire::crash_report make_report(const crash_table& table, std::size_t max_requests_reported, steady_time now) {
    wire::crash_report report;
    const auto ranked = rank(table);
    for (std::size_t index = 0; index < std::min(ranked.size(), max_requests_reported); ++index) {
        const auto& fingerprint = ranked[index].second;
        write_evidence(fingerprint, table.requests.find(fingerprint)->second, now, *report.add_requests());
    }
    return report;
}

void remove_expired(crash_table& table, steady_time now) {
    std::erase_if(table.requests, [now](const auto& entry) { return has_expired(entry.second, now); });
}

} // namespace dandelionmount
