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
constexpr double rounding = 1e-6;
// A receiver that has not been heard for this long has no grant that could still be spent or reported.
constexpr duration receiver_memory = std::chrono::seconds(30);
// Settled grants that are remembered for each receiver, in case their request is repeated.
constexpr std::size_t most_settled_grants = 8;
// Unused tokens go back after this long, well before they expire.
constexpr duration idle_term = std::chrono::milliseconds(400);

double outstanding(const rate_share& share, steady_time now) {
    double sum = 0;
    for (const auto& [host, receiver] : share.receivers) {
        for (const auto& grant : receiver.grants) {
            sum += now < grant.expires ? grant.open : 0;
        }
    }
    return sum;
}

// The oldest grant can't be spent, reported or asked for again any more.
bool is_past(const token_receiver& receiver, steady_time now) {
    const token_grant& oldest = receiver.grants.front();
    const bool settled = oldest.open <= rounding && receiver.grants.size() > most_settled_grants;
    return settled || now - oldest.expires > grant_term;
}

void forget_receivers(rate_share& share, steady_time now) {
    for (auto& [host, receiver] : share.receivers) {
        while (!receiver.grants.empty() && is_past(receiver, now)) {
            receiver.grants.pop_front();
        }
    }
    std::erase_if(share.receivers,
                  [now](const auto& entry) { return now - entry.second.heard > receiver_memory; });
}

void refill(rate_share& share, steady_time now) {
    forget_receivers(share, now);
    const double gained = share.rate * to_seconds(now - share.refilled);
    const double room = std::max(0.0, share.burst - outstanding(share, now));
    share.tokens = std::min(share.tokens + std::max(gained, 0.0), room);
    share.refilled = now;
    DANDELIONMOUNT_INVARIANT(share.tokens >= -rounding);
    DANDELIONMOUNT_INVARIANT(share.tokens + outstanding(share, now) <=
                             std::max(share.burst, outstanding(share, now)) + rounding);
}

// The receiver spends oldest tokens first, and so does this account of it. Returns what was still usable.
double settle_grants(token_receiver& receiver, double amount, steady_time now) {
    double usable = 0;
    for (auto& grant : receiver.grants) {
        const double part = std::min(grant.open, amount);
        grant.open -= part;
        amount -= part;
        usable += now < grant.expires ? part : 0;
    }
    return usable;
}

void take_report(rate_share& share, token_receiver& receiver, const token_ask& ask, steady_time now) {
    const double spent = std::max(0.0, ask.spent_total - receiver.spent);
    const double returned = std::max(0.0, ask.returned_total - receiver.returned);
    receiver.spent += spent;
    receiver.returned += returned;
    settle_grants(receiver, spent, now);
    // Only what was granted from this share can come back, whatever totals an earlier process was told.
    const double usable = settle_grants(receiver, returned, now);
    const double room = std::max(0.0, share.burst - outstanding(share, now));
    share.tokens = std::min(share.tokens + usable, room);
}

} // namespace

void set_share_limits(rate_share& share, double rate, double burst, steady_time now) {
    if (share.refilled == steady_time{}) {
        share.refilled = now;
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
    if (share.tokens + rounding < amount) {
        return false;
    }
    share.tokens = std::max(0.0, share.tokens - amount);
    return true;
}

double grant_tokens(rate_share& share, const token_ask& ask, steady_time now) {
    refill(share, now);
    auto& receiver = share.receivers[std::string(ask.receiver)];
    receiver.heard = now;
    take_report(share, receiver, ask, now);
    for (const auto& grant : receiver.grants) {
        if (grant.id == ask.grant_id) {
            return grant.amount;
        }
    }
    refill(share, now);
    const double amount = std::min(std::max(0.0, ask.wanted), share.tokens);
    if (amount <= rounding) {
        return 0;
    }
    share.tokens -= amount;
    receiver.grants.push_back({ask.grant_id, amount, amount, now + grant_term});
    return amount;
}

void add_batch(token_balance& wallet, std::string_view keeper, double amount, steady_time asked) {
    if (amount > 0) {
        wallet.lots.push_back({std::string(keeper), amount, asked, asked + spend_term});
    }
}

double wallet_tokens(token_balance& wallet, steady_time now) {
    std::erase_if(wallet.lots, [now](const token_lot& lot) { return now >= lot.expires; });
    double sum = 0;
    for (const auto& lot : wallet.lots) {
        sum += lot.amount;
    }
    return sum;
}

bool spend_token(token_balance& wallet, steady_time now) {
    if (wallet_tokens(wallet, now) + rounding < 1) {
        return false;
    }
    double left = 1;
    for (auto& lot : wallet.lots) {
        const double part = std::min(lot.amount, left);
        lot.amount -= part;
        left -= part;
        auto& report = wallet.reports[lot.keeper];
        report.spent += part;
        report.unsent = true;
        if (left <= rounding) {
            break;
        }
    }
    std::erase_if(wallet.lots, [](const token_lot& lot) { return lot.amount <= 0; });
    return true;
}

void return_idle(token_balance& wallet, steady_time now) {
    for (auto& lot : wallet.lots) {
        if (now - lot.received < idle_term || now >= lot.expires) {
            continue;
        }
        auto& report = wallet.reports[lot.keeper];
        report.returned += lot.amount;
        report.unsent = true;
        lot.amount = 0;
    }
    std::erase_if(wallet.lots, [](const token_lot& lot) { return lot.amount <= 0; });
}

std::vector<std::uint32_t> choose_keepers(std::string_view account, const zone_settings& zone) {
    const std::string key = "keeper:" + std::string(account);
    std::vector<std::pair<std::uint64_t, std::uint32_t>> weighted;
    weighted.reserve(zone.hosts);
    for (std::uint32_t slot = 0; slot < zone.hosts; ++slot) {
        weighted.emplace_back(rendezvous_weight(key, slot_name(zone.name, slot)), slot);
    }
    const std::size_t kept = std::min<std::size_t>(keepers_of_zone, weighted.size());
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(kept), weighted.end(),
                      std::greater<>());
    std::vector<std::uint32_t> slots;
    for (std::size_t index = 0; index < kept; ++index) {
        slots.push_back(weighted[index].second);
    }
    return slots;
}

double keeper_part(const zone_settings& zone, std::span<const zone_settings> zones) {
    double hosts = 0;
    for (const auto& other : zones) {
        hosts += other.hosts;
    }
    if (hosts <= 0) {
        return 0;
    }
    const auto keepers = static_cast<double>(std::min<std::size_t>(keepers_of_zone, zone.hosts));
    return zone.hosts / hosts / keepers;
}

double slot_part(std::string_view account, const slot_place& place,
                 std::span<const std::span<const zone_settings>> lists, share_owner_cache& cache) {
    double least = 1;
    for (const auto& zones : lists) {
        const auto same = [&place](const zone_settings& zone) { return zone.name == place.zone; };
        const auto zone = std::find_if(zones.begin(), zones.end(), same);
        if (zone == zones.end()) {
            return 0;
        }
        const auto& keepers = cache.find(account, *zone);
        if (std::find(keepers.begin(), keepers.end(), place.slot) == keepers.end()) {
            return 0;
        }
        least = std::min(least, keeper_part(*zone, zones));
    }
    return least;
}

steady_time filled_from(steady_time slot_held, std::optional<steady_time> zones_changed, steady_time now) {
    if (!zones_changed) {
        return slot_held;
    }
    return std::min(now, std::max(slot_held, *zones_changed + zone_change_term));
}

} // namespace dandelionmount
