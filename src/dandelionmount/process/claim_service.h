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

/// What a claim service needs of its process. All of it outlives the service.
struct claim_service_context {
    boost::asio::any_io_executor executor;
    const time_source& time;
    const configuration_store& configuration;
    const member_table& members;
    peer_directory& peers;
};

/// The slots that own a key by one list of zones.
using owner_group = std::vector<std::string>;

/// Whether more than half of each group is among the slots.
[[nodiscard]] bool is_majority_of_all(std::span<const owner_group> groups,
                                      const std::set<std::string>& slots);

/// Lets one request run for each idempotency key, at whichever host its repeats arrive.
///
/// A key is recorded at a few host slots in different zones, its owners, and a request runs only when more
/// than half of them have granted it the key. After a change of the zones that holds for the owners by the
/// zones before, too, until their records have expired: so there is never a moment at which two requests can
/// win. A process that is new in its slot grants no key before it has copied the records of its predecessor
/// from all other hosts, or the window has passed in which records matter.
class claim_service : public request_claims {
public:
    explicit claim_service(claim_service_context context);

    boost::asio::awaitable<claim_result> claim(claim_name name, std::string fingerprint,
                                               std::string request_id, steady_time deadline) override;
    void finish(claim_name name, std::string holder, wire::forward_reply outcome) override;
    /// Answers other hosts.
    void answer(const wire::claim_request& ask, std::shared_ptr<frame_stream> stream);
    void answer(const wire::claim_copy_request& ask, std::shared_ptr<frame_stream> stream);
    void handle_finish(const wire::claim_finish& finish, std::shared_ptr<frame_stream> stream);
    /// States that no earlier process was in this slot, so nothing can be missing.
    void mark_first_in_slot() { store_.complete = true; }
    /// Copies records from the other hosts until they are complete; to be called every second or so.
    boost::asio::awaitable<void> copy_records();
    [[nodiscard]] bool has_all_records() const { return store_.complete; }

private:
    struct tally {
        /// Slots that granted the key.
        std::set<std::string> granted;
        bool running{false};
        bool mismatch{false};
        std::optional<wire::forward_reply> answer;
    };
    boost::asio::awaitable<tally> ask_owners(wire::claim_request ask, std::set<std::string> owners);
    boost::asio::awaitable<std::optional<wire::claim_reply>> ask_owner(wire::claim_request ask,
                                                                       std::string slot);
    boost::asio::awaitable<bool> copy_from(std::string host);
    void send_finish(const wire::claim_finish& finish, const std::string& slot);
    void release(const claim_name& name, const std::string& holder);
    /// How long after a change of the zones the owners by the earlier list matter.
    [[nodiscard]] duration record_term() const;
    /// All slots that may own keys by a list of zones that may matter.
    [[nodiscard]] std::set<std::string> slots_with_records() const;
    /// The owners of a key by each list of zones that may matter: those in force, and those replaced so
    /// lately that their owners' records still count.
    [[nodiscard]] std::vector<owner_group> owner_groups(const claim_name& name) const;
    [[nodiscard]] std::optional<std::string> host_of(const std::string& slot) const;

    claim_service_context context_;
    claim_store store_;
    steady_time started_;
    std::uint64_t next_call_;
    bool copying_{false};
};

} // namespace dandelionmount

#endif
