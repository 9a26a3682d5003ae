#include "dandelionmount/process/slot_lease.h"

#include "dandelionmount/process/rendezvous.h"
#include "dandelionmount/version/configuration_state.h"

#include <algorithm>

namespace dandelionmount {

namespace {

std::size_t fresh_witnesses(const slot_lease& lease, steady_time now) {
    const auto fresh = [&](const std::string& witness) {
        const auto found = lease.answered.find(witness);
        return found != lease.answered.end() && now - found->second < witness_term;
    };
    return static_cast<std::size_t>(std::count_if(lease.voters.begin(), lease.voters.end(), fresh));
}

std::size_t all_witnesses(const slot_lease& lease) {
    const auto heard = [&](const std::string& witness) { return lease.answered.contains(witness); };
    return static_cast<std::size_t>(std::count_if(lease.voters.begin(), lease.voters.end(), heard));
}

// More than half of the witnesses know this process, and the log names it.
void look_for_proof(slot_lease& lease, steady_time now) {
    const bool majority = lease.voters.empty() || 2 * all_witnesses(lease) > lease.voters.size();
    if (!lease.proved && lease.log_confirmed_at && majority) {
        lease.proved = now;
    }
}

} // namespace

std::vector<std::string> choose_lease_voters(std::string_view zone, std::uint32_t slot,
                                             std::uint32_t slots_of_zone) {
    std::vector<std::string> candidates;
    for (std::uint32_t other = 0; other < slots_of_zone; ++other) {
        if (other != slot) {
            candidates.push_back(slot_name(zone, other));
        }
    }
    return rendezvous_choose("witness:" + slot_name(zone, slot), std::move(candidates), most_witnesses);
}

void record_voter_reply(slot_lease& lease, std::string_view witness, std::uint64_t known_incarnation,
                        steady_time probe_sent, steady_time now) {
    if (known_incarnation > lease.incarnation) {
        lease.superseded = true;
        return;
    }
    if (known_incarnation < lease.incarnation) {
        return;
    }
    const auto [entry, fresh] = lease.answered.try_emplace(std::string(witness), probe_sent);
    if (!fresh) {
        entry->second = std::max(entry->second, probe_sent);
    }
    look_for_proof(lease, now);
}

void record_log_reading(slot_lease& lease, std::uint64_t holder, steady_time read_began, steady_time now) {
    if (holder > lease.incarnation) {
        lease.superseded = true;
        return;
    }
    if (holder == lease.incarnation) {
        lease.log_confirmed_at = std::max(lease.log_confirmed_at.value_or(read_began), read_began);
        look_for_proof(lease, now);
    }
}

bool may_use_slot(const slot_lease& lease, steady_time now) {
    if (lease.superseded || !lease.proved || now - *lease.proved < takeover_wait) {
        return false;
    }
    const bool log_vouches = lease.log_confirmed_at && now - *lease.log_confirmed_at < witness_term;
    return log_vouches || 2 * fresh_witnesses(lease, now) >= lease.voters.size();
}

} // namespace dandelionmount
