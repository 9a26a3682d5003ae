#include "dandelionmount/process/slot_lease.h"

#include "dandelionmount/process/rendezvous.h"
#include "dandelionmount/version/configuration_state.h"

#include <algorithm>

namespace dandelionmount {

namespace {

std::size_t count_fresh_voters(const slot_lease& lease, steady_time now) {
    const auto fresh = [&](const std::string& voter) {
        const auto found = lease.answered_probe_sent_at.find(voter);
        return found != lease.answered_probe_sent_at.end() && now - found->second < lease_validity;
    };
    return static_cast<std::size_t>(std::count_if(lease.voters.begin(), lease.voters.end(), fresh));
}

std::size_t count_answered_voters(const slot_lease& lease) {
    const auto has_answered = [&](const std::string& voter) {
        return lease.answered_probe_sent_at.contains(voter);
    };
    return static_cast<std::size_t>(std::count_if(lease.voters.begin(), lease.voters.end(), has_answered));
}

// The slot is acquired when more than half of the voters have confirmed this process and the log names it. In
// a zone with a single slot there are no voters, and the log alone decides.
void check_acquired(slot_lease& lease, steady_time now) {
    const bool majority = lease.voters.empty() || 2 * count_answered_voters(lease) > lease.voters.size();
    if (!lease.acquired_at && lease.log_confirmed_at && majority) {
        lease.acquired_at = now;
    }
}

} // namespace

std::vector<std::string> choose_lease_voters(std::string_view zone, std::uint32_t slot,
                                             std::uint32_t slots_in_zone) {
    std::vector<std::string> candidates;
    for (std::uint32_t other = 0; other < slots_in_zone; ++other) {
        if (other != slot) {
            candidates.push_back(slot_name(zone, other));
        }
    }
    // The prefix must not change: a process must choose the same voters as its predecessor.
    return rendezvous_choose("witness:" + slot_name(zone, slot), std::move(candidates), max_lease_voters);
}

void record_voter_reply(slot_lease& lease, std::string_view voter, std::uint64_t known_incarnation,
                        steady_time probe_sent, steady_time now) {
    if (known_incarnation > lease.incarnation) {
        lease.superseded = true;
        return;
    }
    // This process has not been reported to the voter yet, so the answer does not confirm it.
    if (known_incarnation < lease.incarnation) {
        return;
    }
    const auto [entry, inserted] = lease.answered_probe_sent_at.try_emplace(std::string(voter), probe_sent);
    if (!inserted) {
        entry->second = std::max(entry->second, probe_sent);
    }
    check_acquired(lease, now);
}

void record_log_reading(slot_lease& lease, std::uint64_t holder, steady_time read_started_at,
                        steady_time now) {
    if (holder > lease.incarnation) {
        lease.superseded = true;
        return;
    }
    if (holder == lease.incarnation) {
        lease.log_confirmed_at = std::max(lease.log_confirmed_at.value_or(read_started_at), read_started_at);
        check_acquired(lease, now);
    }
}

bool may_use_slot(const slot_lease& lease, steady_time now) {
    if (lease.superseded || !lease.acquired_at || now - *lease.acquired_at < takeover_delay) {
        return false;
    }
    const bool log_confirms = lease.log_confirmed_at && now - *lease.log_confirmed_at < lease_validity;
    return log_confirms || 2 * count_fresh_voters(lease, now) >= lease.voters.size();
}

} // namespace dandelionmount
