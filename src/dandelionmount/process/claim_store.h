#ifndef DANDELIONMOUNT_PROCESS_CLAIM_STORE_H
#define DANDELIONMOUNT_PROCESS_CLAIM_STORE_H

#include "dandelionmount/process/clock.h"
#include "dandelionmount/process/request_claims.h"
#include "dandelionmount/version/configuration.h"
#include "dandelionmount/wire/peer.pb.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionmount {

/// Host slots that own one idempotency key; a claim needs a majority of them.
constexpr std::size_t claim_owner_count = 3;
/// A host that stores this many bytes of answer bodies grants no new key. Requests that hold a key already
/// may still add their answers.
constexpr std::size_t max_claim_answer_bytes = 32UL * 1024 * 1024;
/// A host with this many records grants no new key.
constexpr std::size_t max_claims = 100000;

/// Record of one idempotency key.
struct claim_entry {
    std::string fingerprint;
    std::string request_id;
    bool finished{false};
    wire::forward_reply answer;
    steady_time claimed_at;
};

/// Records of the idempotency keys that a host slot owns.
struct claim_store {
    std::map<claim_name, claim_entry> entries;
    std::size_t answer_bytes{0};
    /// False while records of an earlier process in this slot may be missing; until then no key is granted as
    /// new.
    bool complete{false};
    /// How long a record is valid, counted from its claim.
    duration window{std::chrono::seconds(300)};
    /// When expired records were last removed.
    steady_time last_expiry_at;
};

/// Answers a claim: grants each key to one request, and again when that request repeats its claim.
[[nodiscard]] wire::claim_reply answer_claim(claim_store& store, const wire::claim_request& request,
                                             steady_time now);
/// Records the outcome of the request that holds the key, or releases the key when the request did not run.
void finish_claim(claim_store& store, const wire::claim_finish& finish);
/// Adds a record copied from another host. An existing record is kept, unless it is unfinished and the copy
/// is finished.
void copy_claim(claim_store& store, const wire::claim_record& record, steady_time now);
/// Removes records older than the window.
void expire_claims(claim_store& store, steady_time now);

/// Chooses the owner slots of a key, in different zones as far as there are enough zones.
[[nodiscard]] std::vector<std::string> choose_claim_owners(const claim_name& name,
                                                           std::span<const zone_settings> zones);

} // namespace dandelionmount

#endif
