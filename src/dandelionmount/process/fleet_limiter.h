#ifndef DANDELIONMOUNT_PROCESS_FLEET_LIMITER_H
#define DANDELIONMOUNT_PROCESS_FLEET_LIMITER_H

#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/connection/frame_stream.h"
#include "dandelionmount/connection/peer_handshake.h"
#include "dandelionmount/process/account_limiter.h"
#include "dandelionmount/process/configuration_store.h"
#include "dandelionmount/process/fleet_retry_limiter.h"
#include "dandelionmount/process/membership.h"
#include "dandelionmount/process/metrics.h"
#include "dandelionmount/process/peer_directory.h"
#include "dandelionmount/process/rate_allocation.h"
#include "dandelionmount/process/outlier_detector.h"
#include "dandelionmount/process/topic_sharing.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionmount {

/// Dependencies of a fleet limiter; all outlive it.
struct fleet_limiter_context {
    boost::asio::any_io_executor executor;
    const time_source& time;
    metrics& counters;
    const configuration_store& configuration;
    const member_table& members;
    peer_directory& peers;
    /// Exchanges the ends of the store's topics in the answers to reports.
    topic_sharing& topics;
    /// Exchanges the measurements of targets in reports, and outliers in the answers.
    outlier_detector& targets;
    /// Exchanges the usage of retries in reports, and retry tokens in the answers.
    fleet_retry_limiter& retries;
    /// Called with the version of the configuration document that another host has, with each of its reports
    /// and answers.
    std::function<void(const std::string& host, std::uint64_t version)> on_configuration_version;
};

/// Account limiter for platforms with a record store.
///
/// A few hosts, the rate allocators, hold the accounts' token buckets; all hosts that see the same fleet
/// choose the same ones. Each host reports its demand to them several times a second and gets tokens that are
/// valid for a short time; a request that finds no token triggers an urgent report. A host that cannot reach
/// an allocator falls back to an equal share of each rate.
class fleet_limiter : public account_limiter {
public:
    explicit fleet_limiter(fleet_limiter_context context);

    boost::asio::awaitable<bool> admit(std::string account) override;
    void refund(std::string_view account) override;
    [[nodiscard]] duration retry_delay(std::string_view account) const override;

    /// Answers another host's report with tokens.
    void answer(const wire::rate_report& report, const peer_id& from, std::shared_ptr<frame_stream> stream);
    /// Whether this host is a rate allocator.
    [[nodiscard]] bool is_rate_allocator() const;
    /// Reports this host's demand; called several times a second.
    void report();
    /// Whether the allocator of a service's retries counts as reachable.
    [[nodiscard]] bool is_retry_allocator_reachable(std::string_view service) const;
    /// Reports the usage of a service's retries between the regular reports, to get a retry token.
    boost::asio::awaitable<void> report_retries(std::string service);

private:
    /// State of one rate allocator as seen by this host.
    struct rate_allocator {
        std::string host;
        steady_time reachable_until;
    };

    /// What a report covers: everything of a group, or between the regular reports only what a request waits
    /// for.
    struct report_scope {
        std::size_t group{0};
        std::string urgent_account;
        std::string urgent_service;

        [[nodiscard]] bool is_regular() const { return urgent_account.empty() && urgent_service.empty(); }
    };

    /// Group of accounts that one rate allocator handles.
    [[nodiscard]] std::size_t group_of(std::string_view account) const;
    /// Group of services whose retries one rate allocator handles.
    [[nodiscard]] std::size_t group_of_service(std::string_view service) const;
    [[nodiscard]] std::size_t fleet_size() const { return context_.members.others.size() + 1; }
    void choose_allocators();
    /// Whether the account's rate allocator counts as reachable.
    [[nodiscard]] bool is_allocator_reachable(std::string_view account, steady_time now) const;
    bool take_token(const account_settings& account);
    boost::asio::awaitable<void> send_report(report_scope scope);
    [[nodiscard]] wire::rate_report make_report(const report_scope& scope);
    void apply_grants(std::size_t group, const wire::rate_grants& grants, steady_time requested_at);
    [[nodiscard]] wire::rate_grants allocate(const wire::rate_report& report, std::string_view host);
    /// Records that a host reports to this one; returns the fraction of the fleet's hosts that do.
    [[nodiscard]] double record_reporting_host(std::string_view host);
    [[nodiscard]] fleet_rate_limit rate_limit_of(const account_settings& account) const;

    fleet_limiter_context context_;
    std::map<std::string, host_quota, std::less<>> quotas_;
    std::vector<rate_allocator> allocators_;
    std::map<std::string, account_bucket, std::less<>> buckets_;
    /// Until when each host that reports to this one counts as reachable.
    std::map<std::string, steady_time, std::less<>> hosts_reachable_until_;
    std::uint64_t next_call_{1};
};

} // namespace dandelionmount

#endif
