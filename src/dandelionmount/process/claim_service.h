#ifndef DANDELIONMOUNT_PROCESS_CLAIM_SERVICE_H
#define DANDELIONMOUNT_PROCESS_CLAIM_SERVICE_H

#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/connection/frame_stream.h"
#include "dandelionmount/process/claim_store.h"
#include "dandelionmount/process/configuration_store.h"
#include "dandelionmount/process/membership.h"
#include "dandelionmount/process/peer_directory.h"
#include "dandelionmount/process/reason.h"

#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace dandelionmount {

/// Dependencies of a claim service; all outlive it.
struct claim_service_context {
    boost::asio::any_io_executor executor;
    const time_source& time;
    const configuration_store& configuration;
    const member_table& members;
    peer_directory& peers;
};

/// Owner slots of a key according to one list of zones.
using owner_group = std::vector<std::string>;

/// Whether the slots include a majority of each group.
[[nodiscard]] bool has_majority_in_each_group(std::span<const owner_group> groups,
                                              const std::set<std::string>& slots);

/// Lets one request run for each idempotency key, whichever hosts its repeats arrive at.
///
/// Each key is recorded at a few host slots in different zones, its owners; a request runs only when a
/// majority of them has granted it the key. After a change of the zones it also needs a majority of the
/// earlier owners until their records have expired, so two requests with the same key never both run while
/// the records are valid. A process that is new in its slot grants no key until it has copied the slot's
/// records from all other hosts, or until the idempotency window has passed since its start, after which no
/// earlier record is valid.
class claim_service : public request_claims {
public:
    explicit claim_service(claim_service_context context);

    boost::asio::awaitable<claim_result> claim(claim_name name, std::string fingerprint,
                                               std::string request_id, steady_time deadline) override;
    void finish(claim_name name, std::string holder, wire::forward_reply outcome) override;
    /// Answers requests of other hosts.
    void answer(const wire::claim_request& request, std::shared_ptr<frame_stream> stream);
    void answer(const wire::claim_copy_request& request, std::shared_ptr<frame_stream> stream);
    void handle_finish(const wire::claim_finish& finish, std::shared_ptr<frame_stream> stream);
    /// Marks the records as complete, because no earlier process has used this slot.
    void mark_first_in_slot() { store_.complete = true; }
    /// Copies the slot's records from the other hosts while any may be missing; called about every second.
    boost::asio::awaitable<void> copy_records();
    [[nodiscard]] bool has_all_records() const { return store_.complete; }

private:
    struct owner_replies {
        /// Slots that granted the key.
        std::set<std::string> granted;
        bool running{false};
        bool mismatch{false};
        std::optional<wire::forward_reply> answer;
    };
    boost::asio::awaitable<owner_replies> request_grants(wire::claim_request request,
                                                         std::set<std::string> owners);
    boost::asio::awaitable<std::optional<wire::claim_reply>> request_grant(wire::claim_request request,
                                                                           std::string slot);
    boost::asio::awaitable<bool> copy_from(std::string host);
    void send_finish(const wire::claim_finish& finish, const std::string& slot);
    void release(const claim_name& name, const std::string& holder);
    /// How long after a change of the zones the earlier owners of a key must also grant it.
    [[nodiscard]] duration earlier_owner_window() const;
    /// All slots that may own keys according to the current and recently replaced lists of zones.
    [[nodiscard]] std::set<std::string> slots_with_records() const;
    /// Owners of a key according to each relevant list of zones: the current one, and those replaced so
    /// recently that their owners' records are still valid.
    [[nodiscard]] std::vector<owner_group> owner_groups(const claim_name& name) const;
    [[nodiscard]] std::optional<std::string> host_of(const std::string& slot) const;

    claim_service_context context_;
    claim_store store_;
    steady_time started_at_;
    std::uint64_t next_call_;
    bool copying_{false};
};

} // namespace dandelionmount

#endif
