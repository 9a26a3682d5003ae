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

/// Host slots in each zone that own a share of an account's rate.
constexpr std::size_t share_owners_per_zone = 3;

/// Tokens granted to one receiver in answer to one request.
struct token_grant {
    std::uint64_t id{0};
    double amount{0};
    /// Part of the amount not yet reported as spent or returned.
    double unreported{0};
    steady_time expires_at;
};

/// Grants of a share owner to one host, and the totals that the host has reported.
struct token_receiver {
    std::deque<token_grant> grants;
    double spent{0};
    double returned{0};
    steady_time last_request_at;
};

/// Token bucket with the share of an account's rate and burst that one host slot owns.
///
/// The tokens in the bucket plus the granted tokens that may still be spent never exceed the share's burst,
/// except by tokens granted before the burst was reduced. All shares together therefore admit at most rate x
/// window + burst in any window, even when messages are lost or repeated.
struct rate_share {
    double rate{0};
    double burst{0};
    double tokens{0};
    steady_time refilled_at;
    std::map<std::string, token_receiver, std::less<>> receivers;
};

/// Sets the share's rate and burst; a change applies from `now` on.
void set_share_limits(rate_share& share, double rate, double burst, steady_time now);
/// Removes `amount` tokens for immediate use by this process; false, removing none, when there are fewer.
[[nodiscard]] bool take_tokens(rate_share& share, double amount, steady_time now);
/// Tokens that can be taken or granted now.
[[nodiscard]] double available_tokens(rate_share& share, steady_time now);

/// A host's request for tokens. The totals are counted from the start of the host's process, which `receiver`
/// identifies.
struct grant_request {
    std::string_view receiver;
    std::uint64_t grant_id{0};
    double wanted{0};
    double spent_total{0};
    double returned_total{0};
};
/// Grants up to `request.wanted` tokens; a repeated grant id gets the original amount again.
[[nodiscard]] double grant_tokens(rate_share& share, const grant_request& request, steady_time now);

/// Unspent tokens from one grant of a share owner, held by the receiver.
struct token_batch {
    std::string owner;
    double amount{0};
    steady_time requested_at;
    steady_time expires_at;
};

/// Totals that a host reports to one share owner.
struct usage_report {
    double spent{0};
    double returned{0};
    bool unsent{false};
};

/// Tokens of one account that a host has been granted by share owners.
struct token_balance {
    std::deque<token_batch> batches;
    std::map<std::string, usage_report, std::less<>> reports;
};

/// Adds granted tokens; they expire `spend_validity` after the request for them was sent.
void add_batch(token_balance& balance, std::string_view owner, double amount, steady_time requested_at);
/// Tokens that may be spent now; drops expired ones.
[[nodiscard]] double spendable_tokens(token_balance& balance, steady_time now);
/// Spends one token from the oldest batches; false when less than a whole token is left.
[[nodiscard]] bool spend_token(token_balance& balance, steady_time now);
/// Marks idle tokens as returned in the next report to their owners.
void return_idle_tokens(token_balance& balance, steady_time now);

/// Numbers of the zone's slots that own shares of an account, highest weight first. Hashes every slot of the
/// zone.
[[nodiscard]] std::vector<std::uint32_t> choose_share_owners(std::string_view account,
                                                             const zone_settings& zone);
/// Fraction of an account's rate and burst that each share owner in the zone gets; 0 to 1.
[[nodiscard]] double share_fraction(const zone_settings& zone, std::span<const zone_settings> zones);

/// Identifies a host slot without owning the name of its zone.
struct slot_id {
    std::string_view zone;
    std::uint32_t slot{0};
};

class share_owner_cache;

/// Time within which a change of the zones takes effect on all hosts; until then their lists may differ.
constexpr duration zone_change_window = std::chrono::seconds(6);

/// Fraction of an account's rate and burst that a slot owns; 0 for none. It is the minimum over all lists of
/// zones that hosts may still use, so the fractions of all slots never add up to more than 1.
[[nodiscard]] double slot_fraction(std::string_view account, const slot_id& id,
                                   std::span<const std::span<const zone_settings>> lists,
                                   share_owner_cache& cache);
/// Time from which a share that is new to this process refills: when the process acquired its slot, but not
/// before the last change of the zones has taken effect everywhere. At most `now`.
[[nodiscard]] steady_time refill_start(steady_time slot_acquired_at, std::optional<steady_time> zones_changed,
                                       steady_time now);

} // namespace dandelionmount

#endif
