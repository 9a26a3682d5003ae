#include "dandelionmount/process/token_share.h"

#include "dandelionmount/process/share_owner_cache.h"
#include "dandelionmount/process/result.h"
#include "dandelionmount/process/rendezvous.h"
#include "dandelionmount/process/slot_lease.h"
#include "dandelionmount/version/configuration_state.h"

#include <algorithm>

namespace dandelionmount {

namespace {

// Tolerance for sums of fractions of tokens.
constexpr double rounding_tolerance = 1e-6;
// A receiver that has sent no request for this long is removed; its grants can no longer be spent or reported
// by then.
constexpr duration receiver_ttl = std::chrono::seconds(30);
// Fully reported grants kept for each receiver, so that a repeated request gets the same answer.
constexpr std::size_t max_reported_grants = 8;
// Unused tokens are returned after this time, well before they expire.
constexpr duration max_idle_time = std::chrono::milliseconds(400);

double outstanding_tokens(const rate_share& share, steady_time now) {
    double sum = 0;
    for (const auto& [host, receiver] : share.receivers) {
        for (const auto& grant : receiver.grants) {
            sum += now < grant.expires_at ? grant.unreported : 0;
        }
    }
    return sum;
}

// Whether the oldest grant can no longer be spent, reported or requested again.
bool is_obsolete(const token_receiver& receiver, steady_time now) {
    const token_grant& oldest = receiver.grants.front();
    const bool fully_reported =
        oldest.unreported <= rounding_tolerance && receiver.grants.size() > max_reported_grants;
    return fully_reported || now - oldest.expires_at > grant_validity;
}

void expire_grants(rate_share& share, steady_time now) {
    for (auto& [host, receiver] : share.receivers) {
        while (!receiver.grants.empty() && is_obsolete(receiver, now)) {
            receiver.grants.pop_front();
        }
    }
    std::erase_if(share.receivers,
                  [now](const auto& entry) { return now - entry.second.last_request_at > receiver_ttl; });
}

void refill(rate_share& share, steady_time now) {
    expire_grants(share, now);
    const double gained = share.rate * to_seconds(now - share.refilled_at);
    const double room = std::max(0.0, share.burst - outstanding_tokens(share, now));
    share.tokens = std::min(share.tokens + std::max(gained, 0.0), room);
    share.refilled_at = now;
    DANDELIONMOUNT_INVARIANT(share.tokens >= -rounding_tolerance);
    DANDELIONMOUNT_INVARIANT(share.tokens + outstanding_tokens(share, now) <=
                             std::max(share.burst, outstanding_tokens(share, now)) + rounding_tolerance);
}

// Deducts `amount` from the oldest grants first, the order in which the receiver spends them. Returns the
// part that had not expired.
double deduct_from_grants(token_receiver& receiver, double amount, steady_time now) {
    double usable = 0;
    for (auto& grant : receiver.grants) {
        const double part = std::min(grant.unreported, amount);
        grant.unreported -= part;
        amount -= part;
        usable += now < grant.expires_at ? part : 0;
    }
    return usable;
}

void apply_report(rate_share& share, token_receiver& receiver, const grant_request& request,
                  steady_time now) {
    const double spent = std::max(0.0, request.spent_total - receiver.spent);
    const double returned = std::max(0.0, request.returned_total - receiver.returned);
    receiver.spent += spent;
    receiver.returned += returned;
    deduct_from_grants(receiver, spent, now);
    // Returned tokens count only up to what this share granted, because the totals may include grants from
    // before the start of this share, such as those of an earlier process.
    const double usable = deduct_from_grants(receiver, returned, now);
    const double room = std::max(0.0, share.burst - outstanding_tokens(share, now));
    share.tokens = std::min(share.tokens + usable, room);
}

} // namespace

void set_share_limits(rate_share& share, double rate, double burst, steady_time now) {
    if (share.refilled_at == steady_time{}) {
        share.refilled_at = now;
    }
    refill(share, now);
    share.rate = rate;
    share.burst = burst;
    refill(share, now);
}

double available_tokens(rate_share& share, steady_time now) {
    refill(share, now);
    return share.tokens;
}

bool take_tokens(rate_share& share, double amount, steady_time now) {
    refill(share, now);
    if (share.tokens + rounding_tolerance < amount) {
        return false;
    }
    share.tokens = std::max(0.0, share.tokens - amount);
    return true;
}

double grant_tokens(rate_share& share, const grant_request& request, steady_time now) {
    refill(share, now);
    auto& receiver = share.receivers[std::string(request.receiver)];
    receiver.last_request_at = now;
    apply_report(share, receiver, request, now);
    for (const auto& grant : receiver.grants) {
        if (grant.id == request.grant_id) {
            return grant.amount;
        }
    }
    refill(share, now);
    const double amount = std::min(std::max(0.0, request.wanted), share.tokens);
    if (amount <= rounding_tolerance) {
        return 0;
    }
    share.tokens -= amount;
    receiver.grants.push_back({request.grant_id, amount, amount, now + grant_validity});
    return amount;
}

void add_batch(token_balance& balance, std::string_view owner, double amount, steady_time requested_at) {
    if (amount > 0) {
        balance.batches.push_back({std::string(owner), amount, requested_at, requested_at + spend_validity});
    }
}

double spendable_tokens(token_balance& balance, steady_time now) {
    std::erase_if(balance.batches, [now](const token_batch& batch) { return now >= batch.expires_at; });
    double sum = 0;
    for (const auto& batch : balance.batches) {
        sum += batch.amount;
    }
    return sum;
}

bool spend_token(token_balance& balance, steady_time now) {
    if (spendable_tokens(balance, now) + rounding_tolerance < 1) {
        return false;
    }
    double left = 1;
    for (auto& batch : balance.batches) {
        const double part = std::min(batch.amount, left);
        batch.amount -= part;
        left -= part;
        auto& report = balance.reports[batch.owner];
        report.spent += part;
        report.unsent = true;
        if (left <= rounding_tolerance) {
            break;
        }
    }
    std::erase_if(balance.batches, [](const token_batch& batch) { return batch.amount <= 0; });
    return true;
}

void return_idle_tokens(token_balance& balance, steady_time now) {
    for (auto& batch : balance.batches) {
        if (now - batch.requested_at < max_idle_time || now >= batch.expires_at) {
            continue;
        }
        auto& report = balance.reports[batch.owner];
        report.returned += batch.amount;
        report.unsent = true;
        batch.amount = 0;
    }
    std::erase_if(balance.batches, [](const token_batch& batch) { return batch.amount <= 0; });
}

std::vector<std::uint32_t> choose_share_owners(std::string_view account, const zone_settings& zone) {
    // The prefix must not change: all hosts must choose the same owners.
    const std::string key = "keeper:" + std::string(account);
    std::vector<std::pair<std::uint64_t, std::uint32_t>> weighted;
    weighted.reserve(zone.hosts);
    for (std::uint32_t slot = 0; slot < zone.hosts; ++slot) {
        weighted.emplace_back(rendezvous_weight(key, slot_name(zone.name, slot)), slot);
    }
    const std::size_t count = std::min<std::size_t>(share_owners_per_zone, weighted.size());
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(count), weighted.end(),
                      std::greater<>());
    std::vector<std::uint32_t> slots;
    for (std::size_t index = 0; index < count; ++index) {
        slots.push_back(weighted[index].second);
    }
    return slots;
}

double share_fraction(const zone_settings& zone, std::span<const zone_settings> zones) {
    double hosts = 0;
    for (const auto& other : zones) {
        hosts += other.hosts;
    }
    if (hosts <= 0) {
        return 0;
    }
    const auto owner_count = static_cast<double>(std::min<std::size_t>(share_owners_per_zone, zone.hosts));
    return zone.hosts / hosts / owner_count;
}

double slot_fraction(std::string_view account, const slot_id& id,
                     std::span<const std::span<const zone_settings>> lists, share_owner_cache& cache) {
    double min_fraction = 1;
    for (const auto& zones : lists) {
        const auto is_own_zone = [&id](const zone_settings& zone) { return zone.name == id.zone; };
        const auto zone = std::find_if(zones.begin(), zones.end(), is_own_zone);
        if (zone == zones.end()) {
            return 0;
        }
        const auto& share_owners = cache.find(account, *zone);
        if (std::find(share_owners.begin(), share_owners.end(), id.slot) == share_owners.end()) {
            return 0;
        }
        min_fraction = std::min(min_fraction, share_fraction(*zone, zones));
    }
    return min_fraction;
}

steady_time refill_start(steady_time slot_acquired_at, std::optional<steady_time> zones_changed,
                         steady_time now) {
    if (!zones_changed) {
        return slot_acquired_at;
    }
    return std::min(now, std::max(slot_acquired_at, *zones_changed + zone_change_window));
}

} // namespace dandelionmount
