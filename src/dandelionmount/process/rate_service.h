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

/// Dependencies of a rate service; all outlive it.
struct rate_service_context {
    boost::asio::any_io_executor executor;
    const time_source& time;
    metrics& counters;
    const configuration_store& configuration;
    const member_table& members;
    peer_directory& peers;
    const slot_lease& lease;
};

/// Account limiter for platforms with an append-only log.
///
/// A few host slots in each zone, the share owners, each hold a part of the account's rate and burst in a
/// token bucket. A host spends tokens that they grant; it requests them from the owners in its own zone first
/// and the rest from those in other zones.
class rate_service : public account_limiter {
public:
    explicit rate_service(rate_service_context context);

    /// Spends one token of the account, requesting it from share owners when this host has none; false when
    /// the account is over its rate.
    boost::asio::awaitable<bool> admit(std::string account) override;
    /// Does nothing: the share owner may already count the token as spent.
    void refund(std::string_view account) override { static_cast<void>(account); }
    /// Answers another host's request for tokens of a share that this slot owns.
    void answer(const wire::token_request& request, const peer_id& from,
                std::shared_ptr<frame_stream> stream);
    /// Time after which a refused caller should retry.
    [[nodiscard]] duration retry_delay(std::string_view account) const override;
    /// Drops shares that other slots may own under a list of zones still in use, and starts those that this
    /// slot owns under all of them; called after each change of the configuration.
    void apply_configuration();
    /// Reports spent tokens and returns idle ones to their owners; called several times a second.
    void report();

private:
    struct account_state {
        explicit account_state(const boost::asio::any_io_executor& executor) : fetch_done(executor) {}
        token_balance balance;
        async_event fetch_done;
        bool fetching{false};
        /// Tokens received since the start of the current or last fetch.
        double received_tokens{0};
        double waiting_requests{0};
        /// EWMA of the requests admitted per second.
        double admission_rate{0};
        steady_time last_admitted_at;
        /// Requests that arrive before this time start no fetch, because the owners had no tokens left. Those
        /// that wait already may start a second one.
        steady_time owners_empty_until;
    };

    account_state& state_of(const std::string& account);
    [[nodiscard]] bool spend(const std::string& account, account_state& state);
    void record_admission(account_state& state);
    void prefetch(const std::string& account, account_state& state);
    void start_fetch(const std::string& account, account_state& state);
    boost::asio::awaitable<void> fetch(std::string account);
    boost::asio::awaitable<bool> request_from_hosts(std::string account, std::vector<std::string> hosts,
                                                    double missing, bool split_evenly);
    static void apply_grant(account_state& state, std::string_view host, double amount,
                            steady_time requested_at);
    void request_from_self(const std::string& account, double wanted, std::uint64_t grant_id);
    boost::asio::awaitable<void> request_from_owner(std::string account, std::string host, double wanted);
    [[nodiscard]] wire::peer_frame make_request(const std::string& account, const std::string& host,
                                                double wanted, std::uint64_t grant_id);
    [[nodiscard]] std::vector<std::string> share_owner_hosts(std::string_view account, std::string_view zone);
    rate_share& start_share(const account_settings& account, double fraction, steady_time refilled_at);
    /// Fraction of the account's rate that this host's slot owns.
    [[nodiscard]] double own_fraction(const std::string& account);
    /// The account's share that this host's slot owns; nullptr when it owns none or must not use it.
    [[nodiscard]] rate_share* own_share(const std::string& account);

    rate_service_context context_;
    std::map<std::string, std::unique_ptr<account_state>> accounts_;
    std::map<std::string, rate_share> shares_;
    share_owner_cache share_owners_;
    /// Time of the last change of the zones that apply_configuration() has handled.
    std::optional<steady_time> applied_zone_change_;
    std::uint64_t next_grant_;
};

} // namespace dandelionmount

#endif
