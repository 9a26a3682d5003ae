#ifndef DANDELIONMOUNT_PROCESS_TOKEN_SHARE_H
#define DANDELIONMOUNT_PROCESS_TOKEN_SHARE_H

#include "dandelionmount/process/clock.h"
#include "dandelionmount/version/configuration.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionmount {

/// Slots of one zone that keep a share of a client account's rate.
constexpr std::size_t keepers_of_zone = 3;

/// One grant that its receiver may still spend.
struct token_grant {
    std::uint64_t id{0};
    double amount{0};
    /// Part of the amount that the receiver has not reported as spent or returned.
    double open{0};
    steady_time expires;
};

/// What a keeper knows of one host that asked it for tokens.
struct token_receiver {
    std::deque<token_grant> grants;
    double spent{0};
    double returned{0};
    steady_time heard;
};

/// The share of one client account's rate and burst that a host slot keeps.
///
/// Tokens here and tokens granted that may still be spent never exceed the share of the burst together, so
/// all shares together admit at most rate x window + burst over any window, whatever messages are lost or
/// repeated.
struct rate_share {
    double rate{0};
    double burst{0};
    double tokens{0};
    steady_time refilled;
    std::map<std::string, token_receiver, std::less<>> receivers;
};

/// Sets the share's rate and burst, also when they change with the configuration.
void set_share_limits(rate_share& share, double rate, double burst, steady_time now);
/// Takes `amount` tokens for use by this process at once; all of it or nothing.
[[nodiscard]] bool take_tokens(rate_share& share, double amount, steady_time now);
/// What can be taken now.
[[nodiscard]] double available_tokens(rate_share& share, steady_time now);

/// A host's request for tokens; totals count since the host's process started.
struct token_ask {
    std::string_view receiver;
    std::uint64_t grant_id{0};
    double wanted{0};
    double spent_total{0};
    double returned_total{0};
};
/// Grants up to `ask.wanted` tokens; a repeated grant id gets the first answer again.
[[nodiscard]] double grant_tokens(rate_share& share, const token_ask& ask, steady_time now);

/// Tokens received from one keeper and not yet spent.
struct token_lot {
    std::string keeper;
    double amount{0};
    steady_time received;
    steady_time expires;
};

/// What a host reports to one keeper.
struct keeper_report {
    double spent{0};
    double returned{0};
    bool unsent{false};
};

/// Tokens of one client account that a host received from keepers.
struct token_balance {
    std::deque<token_lot> lots;
    std::map<std::string, keeper_report, std::less<>> reports;
};

/// Adds tokens; they may be spent until a term after the request for them was sent.
void add_batch(token_balance& wallet, std::string_view keeper, double amount, steady_time asked);
/// Tokens that may be spent now.
[[nodiscard]] double wallet_tokens(token_balance& wallet, steady_time now);
/// Spends one token, oldest first; false when there is not a whole one.
[[nodiscard]] bool spend_token(token_balance& wallet, steady_time now);
/// Gives tokens that lie unused back to their keepers with the next report.
void return_idle(token_balance& wallet, steady_time now);

/// Numbers of the slots of a zone that keep shares of an account, best first. Hashes every slot of the zone.
[[nodiscard]] std::vector<std::uint32_t> choose_keepers(std::string_view account, const zone_settings& zone);
/// The part of an account's rate and burst that one keeper slot of the zone has; 0 to 1.
[[nodiscard]] double keeper_part(const zone_settings& zone, std::span<const zone_settings> zones);

/// A host slot.
struct slot_place {
    std::string_view zone;
    std::uint32_t slot{0};
};

class share_owner_cache;

/// How long hosts may go by different lists of zones: a change is in force everywhere within this time.
constexpr duration zone_change_term = std::chrono::seconds(6);

/// The part that a slot has of an account's rate and burst, 0 when it keeps none: the least by all lists of
/// zones that hosts may still go by, so that the parts of all slots never add up to more than 1.
[[nodiscard]] double slot_part(std::string_view account, const slot_place& place,
                               std::span<const std::span<const zone_settings>> lists,
                               share_owner_cache& cache);
/// From when on a share that this process did not keep before has filled up: since it holds its slot, but not
/// since before a change of the zones was in force everywhere.
[[nodiscard]] steady_time filled_from(steady_time slot_held, std::optional<steady_time> zones_changed,
                                      steady_time now);

} // namespace dandelionmount

#endif
