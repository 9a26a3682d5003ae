#ifndef DANDELIONMOUNT_PROCESS_FLEET_LIMITER_H
#define DANDELIONMOUNT_PROCESS_FLEET_LIMITER_H

#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/connection/frame_stream.h"
#include "dandelionmount/connection/peer_handshake.h"
#include "dandelionmount/process/account_limiter.h"
#include "dandelionmount/process/configuration_store.h"
#include "dandelionmount/process/membership.h"
#include "dandelionmount/process/metrics.h"
#include "dandelionmount/process/peer_directory.h"
#include "dandelionmount/process/rate_allocation.h"
#include "dandelionmount/process/outlier_detector.h"
#include "dandelionmount/process/topic_sharing.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionmount {

/// What a fleet limiter needs of its process. All of it outlives the limiter.
struct fleet_limiter_context {
    boost::asio::any_io_executor executor;
    const time_source& time;
    metrics& counters;
    const configuration_store& configuration;
    const member_table& members;
    peer_directory& peers;
    /// What the dividers know of the store comes with their answers.
    topic_sharing& topics;
    /// The state of the targets goes with the reports.
    outlier_detector& targets;
};

/// Admits requests within each account's rate and burst over all hosts together.
///
/// A few hosts, the same for all that see the same fleet, keep the accounts' buckets. Each host reports its
/// demand to them several times a second and gets tokens for a short time; a request that finds none asks for
/// one. Nobody needs them to go on: a host that is out of touch uses an equal share of each rate.
class fleet_limiter : public account_limiter {
public:
    explicit fleet_limiter(fleet_limiter_context context);

    boost::asio::awaitable<bool> admit(std::string account) override;
    void refund(std::string_view account) override;
    [[nodiscard]] duration retry_delay(std::string_view account) const override;

    /// Answers another host's report with tokens.
    void answer(const wire::rate_report& report, const peer_name& from, std::shared_ptr<frame_stream> stream);
    /// Whether this host keeps buckets, or does not know yet who does.
    [[nodiscard]] bool is_rate_allocator() const;
    /// Reports this host's demand; called several times a second.
    void report();

private:
    /// A host that keeps buckets, as this one sees it.
    struct divider {
        std::string host;
        /// Until when this host counts as in touch with it.
        steady_time in_touch_until;
    };

    [[nodiscard]] std::size_t group_of(std::string_view account) const;
    [[nodiscard]] std::size_t fleet_size() const { return context_.members.others.size() + 1; }
    void choose_dividers();
    /// Whether the host that keeps the account's bucket counts as in touch.
    [[nodiscard]] bool is_in_touch(std::string_view account, steady_time now) const;
    bool take_token(const account_settings& account);
    boost::asio::awaitable<void> report_to(std::size_t group, std::string urgent_account);
    [[nodiscard]] wire::rate_report make_report(std::size_t group, std::string_view urgent_account);
    void take_grants(std::size_t group, const wire::rate_grants& grants, steady_time asked);
    [[nodiscard]] wire::rate_grants divide(const wire::rate_report& report, std::string_view host);
    [[nodiscard]] fleet_share share_of(const account_settings& account) const;

    fleet_limiter_context context_;
    std::map<std::string, token_stock, std::less<>> stocks_;
    std::vector<divider> dividers_;
    std::map<std::string, account_bucket, std::less<>> buckets_;
    /// Until when each host counts as in touch with this one.
    std::map<std::string, steady_time, std::less<>> heard_;
    std::uint64_t next_call_{1};
};

} // namespace dandelionmount

#endif
