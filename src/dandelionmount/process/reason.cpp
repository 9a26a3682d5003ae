#include "dandelionmount/process/reason.h"

namespace dandelionmount {

namespace {

constexpr std::array<std::string_view, reason_count> tokens = {
    "none",
    "bad_request",
    "headers_too_large",
    "body_too_large",
    "key_exposed",
    "connection_limit",
    "slow_caller",
    "no_configuration",
    "isolated",
    "no_key",
    "unknown_key",
    "withdrawn_key",
    "key_not_allowed",
    "no_route",
    "over_rate",
    "overload",
    "queue_full",
    "cannot_finish",
    "expired_in_queue",
    "no_target",
    "target_draining",
    "target_lost",
    "target_crashed",
    "crashes_targets",
    "target_refused",
    "target_failed",
    "target_answer_too_large",
    "target_shed",
    "target_replaced",
    "answer_not_whole",
    "stale_configuration",
    "peer_unreachable",
    "peer_lost",
    "peer_refused",
    "host_stopping",
    "sender_stopping",
    "deadline",
    "caller_gone",
    "already_running",
    "key_in_progress",
    "key_mismatch",
    "key_outcome_unknown",
    "claim_unavailable",
    "retry_budget",
    "allowance_spent",
    "unknown_context",
};

} // namespace

std::string_view reason_token(reason value) {
    return tokens.at(static_cast<std::size_t>(value));
}

reason reason_from_token(std::string_view token) {
    for (std::size_t index = 0; index < tokens.size(); ++index) {
        if (tokens.at(index) == token) {
            return static_cast<reason>(index);
        }
    }
    return reason::none;
}

} // namespace dandelionmount
