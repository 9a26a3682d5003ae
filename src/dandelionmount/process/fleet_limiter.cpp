#include "dandelionmount/process/fleet_limiter.h"

#include "dandelionmount/connection/peer_link.h"
#include "dandelionmount/process/logging.h"
#include "dandelionmount/process/rendezvous.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace dandelionmount {

namespace asio = boost::asio;

namespace {

// Groups of accounts with a rate allocator each, so that no single host handles the reports for all accounts.
constexpr std::size_t account_group_count = 3;
constexpr duration report_timeout = std::chrono::milliseconds(200);
// Time that a request without a token waits for one.
constexpr duration urgent_report_timeout = std::chrono::milliseconds(60);
constexpr duration min_retry_delay = std::chrono::milliseconds(200);
constexpr duration max_retry_delay = std::chrono::seconds(2);
// Lower demand, in requests per second, is not reported.
constexpr double min_demand = 0.01;

} // namespace

fleet_limiter::fleet_limiter(fleet_limiter_context context)
    : context_(std::move(context)), allocators_(account_group_count) {}

std::size_t fleet_limiter::group_of(std::string_view account) const {
    return rendezvous_weight("account", account) % account_group_count;
}

std::size_t fleet_limiter::group_of_service(std::string_view service) const {
    return rendezvous_weight("retries", service) % account_group_count;
}

// Chooses for each group the host of highest rendezvous weight among this host and those connected to it; all
// hosts that see the same fleet choose the same ones.
void fleet_limiter::choose_allocators() {
    std::vector<std::string> hosts{context_.members.self.host()};
    for (const auto& [host, member] : context_.members.others) {
        if (context_.peers.is_connected(host)) {
            hosts.push_back(host);
        }
    }
    for (std::size_t group = 0; group < account_group_count; ++group) {
        const auto chosen = rendezvous_choose("rates/" + std::to_string(group), hosts, 1);
        if (allocators_[group].host != chosen.front()) {
            log_event(log_level::info, "rate allocator changed",
                      {{"group", std::to_string(group)}, {"host", chosen.front()}});
            allocators_[group].host = chosen.front();
        }
    }
}

bool fleet_limiter::is_rate_allocator() const {
    return std::any_of(allocators_.begin(), allocators_.end(), [this](const rate_allocator& allocator) {
        return allocator.host == context_.members.self.host();
    });
}

fleet_rate_limit fleet_limiter::rate_limit_of(const account_settings& account) const {
    return {account.rate, account.burst, fleet_size()};
}

bool fleet_limiter::is_allocator_reachable(std::string_view account, steady_time now) const {
    return allocators_[group_of(account)].reachable_until > now;
}

bool fleet_limiter::take_token(const account_settings& account) {
    const auto now = context_.time.now_with_suspension();
    return spend(quotas_[account.name], rate_limit_of(account), is_allocator_reachable(account.name, now),
                 now);
}

asio::awaitable<bool> fleet_limiter::admit(std::string account) {
    const auto* settings = find_account(context_.configuration.current(), account);
    if (settings == nullptr || settings->rate <= 0) {
        // An account without a rate is unlimited.
        co_return settings != nullptr;
    }
    quotas_[account].arrivals += 1;
    if (take_token(*settings)) {
        co_return true;
    }
    const auto now = context_.time.now_with_suspension();
    host_quota& quota = quotas_[account];
    if (!may_request_urgently(quota, now)) {
        co_return false;
    }
    quota.last_urgent_request_at = now;
    const report_scope scope{group_of(account), account, {}};
    co_await send_report(scope);
    // The configuration may have changed while the report was under way.
    settings = find_account(context_.configuration.current(), account);
    const bool admitted = settings != nullptr && take_token(*settings);
    co_return admitted;
}

void fleet_limiter::refund(std::string_view account) {
    const auto found = quotas_.find(account);
    if (found != quotas_.end()) {
        return_token(found->second, is_allocator_reachable(account, context_.time.now_with_suspension()));
    }
}

duration fleet_limiter::retry_delay(std::string_view account) const {
    const auto found = quotas_.find(account);
    const double pressure = found == quotas_.end() ? 1 : found->second.pressure;
    // The further the demand exceeds the rate, the longer it takes until every caller has been served once.
    return std::clamp(from_seconds(to_seconds(min_retry_delay) * pressure), min_retry_delay, max_retry_delay);
}

bool fleet_limiter::is_retry_allocator_reachable(std::string_view service) const {
    return allocators_[group_of_service(service)].reachable_until > context_.time.now_with_suspension();
}

asio::awaitable<void> fleet_limiter::report_retries(std::string service) {
    const report_scope scope{group_of_service(service), {}, service};
    co_await send_report(scope);
}

wire::rate_report fleet_limiter::make_report(const report_scope& scope) {
    const auto now = context_.time.now_with_suspension();
    wire::rate_report report;
    report.set_call(next_call_++);
    report.set_configuration_version(context_.configuration.state().document_version);
    context_.retries.write_usages(
        report,
        [this, &scope](std::string_view service) {
            return scope.is_regular() ? group_of_service(service) == scope.group
                                      : service == scope.urgent_service;
        },
        scope.urgent_service);
    for (auto& [account, quota] : quotas_) {
        const bool is_included =
            scope.is_regular() ? group_of(account) == scope.group : account == scope.urgent_account;
        if (!is_included) {
            continue;
        }
        update_demand(quota, now);
        if (quota.demand < min_demand) {
            continue;
        }
        auto* usage = report.add_accounts();
        usage->set_account(account);
        usage->set_demand(quota.demand);
        usage->set_wanted(wanted_tokens(quota, account == scope.urgent_account, now));
    }
    return report;
}

void fleet_limiter::report() {
    choose_allocators();
    for (std::size_t group = 0; group < account_group_count; ++group) {
        asio::co_spawn(context_.executor, send_report({group, {}, {}}), asio::detached);
    }
}

asio::awaitable<void> fleet_limiter::send_report(report_scope scope) {
    const std::size_t group = scope.group;
    if (allocators_[group].host != context_.members.self.host() &&
        !context_.peers.is_connected(allocators_[group].host)) {
        choose_allocators();
    }
    const auto requested_at = context_.time.now_with_suspension();
    wire::rate_report report = make_report(scope);
    const std::string host = allocators_[group].host;
    if (host == context_.members.self.host()) {
        wire::rate_grants grants = allocate(report, host);
        context_.targets.write_outliers(grants);
        apply_grants(group, grants, requested_at);
        context_.targets.read_outliers(grants);
        co_return;
    }
    const auto link = context_.peers.is_connected(host) ? context_.peers.find(host) : nullptr;
    if (link == nullptr) {
        co_return;
    }
    wire::peer_frame frame;
    const std::uint64_t call = report.call();
    *frame.mutable_rate_report() = std::move(report);
    if (scope.is_regular()) {
        context_.targets.write_measurements(*frame.mutable_rate_report());
    }
    const duration timeout = scope.is_regular() ? report_timeout : urgent_report_timeout;
    const auto reply = co_await link->call(frame, call_key(call), context_.time.now() + timeout);
    if (reply && reply->has_rate_grants()) {
        context_.on_configuration_version(host, reply->rate_grants().configuration_version());
        apply_grants(group, reply->rate_grants(), requested_at);
        context_.topics.apply_topic_ends(reply->rate_grants(), host, requested_at);
        context_.targets.read_outliers(reply->rate_grants());
    }
}

void fleet_limiter::apply_grants(std::size_t group, const wire::rate_grants& grants,
                                 steady_time requested_at) {
    const auto now = context_.time.now_with_suspension();
    const auto reachable_until = requested_at + std::chrono::milliseconds(grants.in_touch_ms());
    allocators_[group].reachable_until = std::max(allocators_[group].reachable_until, reachable_until);
    context_.retries.read_grants(grants, requested_at);
    for (const auto& grant : grants.accounts()) {
        host_quota& quota = quotas_[grant.account()];
        quota.pressure = grant.pressure();
        add_tokens(quota, grant.tokens(), requested_at + std::chrono::milliseconds(grants.valid_ms()), now);
    }
}

double fleet_limiter::record_reporting_host(std::string_view host) {
    const auto now = context_.time.now_with_suspension();
    hosts_reachable_until_[std::string(host)] = now + reachability_validity;
    std::erase_if(hosts_reachable_until_, [now](const auto& entry) { return entry.second < now; });
    return std::min(1.0,
                    static_cast<double>(hosts_reachable_until_.size()) / static_cast<double>(fleet_size()));
}

wire::rate_grants fleet_limiter::allocate(const wire::rate_report& report, std::string_view host) {
    const auto now = context_.time.now_with_suspension();
    const double reachable_fraction = record_reporting_host(host);
    wire::rate_grants grants;
    grants.set_call(report.call());
    grants.set_valid_ms(to_milliseconds(token_validity));
    grants.set_in_touch_ms(to_milliseconds(reachability_validity));
    context_.retries.allocate(report, host, reachable_fraction, grants);
    for (const auto& usage : report.accounts()) {
        const auto* settings = find_account(context_.configuration.current(), usage.account());
        if (settings == nullptr || settings->rate <= 0) {
            continue;
        }
        account_bucket& bucket = buckets_[usage.account()];
        auto* grant = grants.add_accounts();
        grant->set_account(usage.account());
        grant->set_pressure(record_demand(bucket, host, usage.demand(), settings->rate, now));
        grant->set_tokens(
            grant_tokens(bucket, usage.wanted(), rate_limit_of(*settings), reachable_fraction, now));
    }
    return grants;
}

void fleet_limiter::answer(const wire::rate_report& report, const peer_id& from,
                           std::shared_ptr<frame_stream> stream) {
    wire::peer_frame frame;
    context_.on_configuration_version(from.host, report.configuration_version());
    *frame.mutable_rate_grants() = allocate(report, from.host);
    frame.mutable_rate_grants()->set_configuration_version(context_.configuration.state().document_version);
    context_.topics.write_topic_ends(*frame.mutable_rate_grants());
    if (report.has_target()) {
        context_.targets.read_measurements(report, from.host);
        context_.targets.write_outliers(*frame.mutable_rate_grants());
    }
    stream->send(frame);
}

} // namespace dandelionmount
