#ifndef DANDELIONMOUNT_PROCESS_REASON_H
#define DANDELIONMOUNT_PROCESS_REASON_H

#include <array>
#include <cstddef>
#include <string_view>

namespace dandelionmount {

/// Why a request was refused, abandoned or retried. Its token is also the label of its counter.
enum class reason {
    none,
    bad_request,
    headers_too_large,
    body_too_large,
    key_exposed,
    connection_limit,
    slow_caller,
    no_configuration,
    isolated,
    no_key,
    unknown_key,
    withdrawn_key,
    key_not_allowed,
    no_route,
    over_rate,
    overload,
    queue_full,
    cannot_finish,
    expired_in_queue,
    no_target,
    target_draining,
    target_lost,
    target_crashed,
    crashes_targets,
    target_refused,
    target_failed,
    target_answer_too_large,
    target_shed,
    target_replaced,
    answer_not_whole,
    stale_configuration,
    peer_unreachable,
    peer_lost,
    peer_refused,
    host_stopping,
    sender_stopping,
    deadline,
    caller_gone,
    already_running,
    key_in_progress,
    key_mismatch,
    key_outcome_unknown,
    claim_unavailable,
    retry_budget,
    allowance_spent,
    unknown_context,
    count_
};

constexpr std::size_t reason_count = static_cast<std::size_t>(reason::count_);

/// The token for `Dandelion-Reason` and for counters.
[[nodiscard]] std::string_view reason_token(reason value);
/// The reason with that token; `reason::none` when there is none.
[[nodiscard]] reason reason_from_token(std::string_view token);

} // namespace dandelionmount

#endif
