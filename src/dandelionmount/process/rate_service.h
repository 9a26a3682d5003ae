#ifndef DANDELIONMOUNT_PROCESS_RATE_SERVICE_H
#define DANDELIONMOUNT_PROCESS_RATE_SERVICE_H

#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/connection/frame_stream.h"
#include "dandelionmount/connection/peer_handshake.h"
#include "dandelionmount/process/account_limiter.h"
#include "dandelionmount/process/configuration_store.h"
#include "dandelionmount/process/share_owner_cache.h"
#include "dandelionmount/process/membership.h"
#include "dandelionmount/process/metrics.h"
#include "dandelionmount/process/peer_directory.h"
#include "dandelionmount/process/slot_lease.h"
#include "dandelionmount/process/token_share.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionmount {

/// What a rate service needs of its process. All of it outlives the service.
struct rate_service_context {
    boost::asio::any_io_executor executor;
    const time_source& time;
    metrics& counters;
    const configuration_store& configuration;
    const member_table& members;
    peer_directory& peers;
    const slot_lease& lease;
};

/// Admits requests within each client account's rate and burst over all hosts together.
///
/// Tokens are kept as shares by a few host slots of each zone. A host spends tokens that it has been granted;
/// it asks the keepers of its own zone first and those of other zones for the rest.
class rate_service : public account_limiter {
public:
    explicit rate_service(rate_service_context context);

    /// Spends one token of the account, asking for it when there is none here; false when the account is over
    /// its rate.
    boost::asio::awaitable<bool> admit(std::string account) override;
    /// The keepers count the token as spent already, so that it stays spent.
    void refund(std::string_view account) override { static_cast<void>(account); }
    /// Answers another host that asks for tokens of a share kept here.
    void answer(const wire::token_request& ask, const peer_name& from, std::shared_ptr<frame_stream> stream);
    /// When a caller that was refused should come back.
    [[nodiscard]] duration retry_delay(std::string_view account) const override;
    /// Forgets shares that other slots may keep by the zones in force now; called after each change.
    void apply_configuration();
    /// Reports what was spent and gives back what lies unused; called several times a second.
    void report();

private:
    struct account_demand {
        explicit account_demand(const boost::asio::any_io_executor& executor) : fetched(executor) {}
        token_balance wallet;
        async_event fetched;
        bool fetching{false};
        /// Tokens that came since the present fetch, or the last one, began.
        double gained{0};
        double waiting{0};
        /// Requests admitted each second, recent ones weighing most.
        double rate{0};
        steady_time last_admitted;
        /// Before this time a fetch would bring nothing.
        steady_time empty_until;
    };

    account_demand& demand_of(const std::string& account);
    [[nodiscard]] bool spend(const std::string& account, account_demand& demand);
    void note_admitted(account_demand& demand);
    void prefetch(const std::string& account, account_demand& demand);
    void start_fetch(const std::string& account, account_demand& demand);
    boost::asio::awaitable<void> fetch(std::string account);
    boost::asio::awaitable<bool> ask_hosts(std::string account, std::vector<std::string> hosts,
                                           double missing, bool in_parts);
    static void take_grant(account_demand& demand, std::string_view host, double amount, steady_time asked);
    void ask_self(const std::string& account, double wanted, std::uint64_t grant_id);
    boost::asio::awaitable<void> ask_keeper(std::string account, std::string host, double wanted);
    [[nodiscard]] wire::peer_frame make_request(const std::string& account, const std::string& host,
                                                double wanted, std::uint64_t grant_id);
    [[nodiscard]] std::vector<std::string> keeper_hosts(std::string_view account, std::string_view zone);
    rate_share& start_share(const account_settings& account, double part, steady_time filled_since);
    /// The part of the account's rate that this host's slot has.
    [[nodiscard]] double own_part(const std::string& account);
    /// The share of the account that this host's slot keeps; nullptr when it keeps none or must not use it.
    [[nodiscard]] rate_share* own_share(const std::string& account);

    rate_service_context context_;
    std::map<std::string, std::unique_ptr<account_demand>> demands_;
    std::map<std::string, rate_share> shares_;
    share_owner_cache keepers_;
    /// The last change of the zones that has been taken in.
    std::optional<steady_time> zones_changed_;
    std::uint64_t next_grant_;
};

} // namespace dandelionmount

#endif
