#ifndef DANDELIONMOUNT_PROCESS_REQUEST_CLAIMS_H
#define DANDELIONMOUNT_PROCESS_REQUEST_CLAIMS_H

#include "dandelionmount/process/clock.h"
#include "dandelionmount/process/reason.h"
#include "dandelionmount/wire/peer.pb.h"

#include <boost/asio/awaitable.hpp>
#include <compare>
#include <optional>
#include <string>

namespace dandelionmount {

/// Identifies an idempotency key; different client accounts may use the same key.
struct claim_name {
    std::string account;
    std::string key;
    auto operator<=>(const claim_name&) const = default;
};

/// Outcome of a claim: the request may run, or it repeats one that has an answer, or it is refused.
struct claim_result {
    bool granted{false};
    /// Name of the holder, to pass to finish() after the request; empty unless the key is granted.
    std::string holder;
    /// Answer of the earlier request with this key.
    std::optional<wire::forward_reply> answer;
    /// Reason for a refusal; `none` otherwise.
    reason why{reason::none};
};

/// Lets one request run for each idempotency key, whichever hosts its repeats arrive at.
class request_claims {
public:
    request_claims() = default;
    request_claims(const request_claims&) = delete;
    request_claims& operator=(const request_claims&) = delete;
    virtual ~request_claims() = default;

    /// Claims the key for a request. While another request holds it, waits for that one's answer, at most
    /// until the deadline.
    virtual boost::asio::awaitable<claim_result> claim(claim_name name, std::string fingerprint,
                                                       std::string request_id, steady_time deadline) = 0;
    /// Records the outcome of a request that holds its key, or releases the key when the request did not run.
    virtual void finish(claim_name name, std::string holder, wire::forward_reply outcome) = 0;
};

} // namespace dandelionmount

#endif
