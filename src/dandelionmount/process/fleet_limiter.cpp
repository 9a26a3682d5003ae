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

// Hosts that divide rates; each has its share of the accounts, so that none carries the reports of all.
constexpr std::size_t most_dividers = 3;
constexpr duration answer_limit = std::chrono::milliseconds(200);
// A request that finds no token here waits this long for one, at most.
constexpr duration urgent_limit = std::chrono::milliseconds(60);
constexpr duration least_return_time = std::chrono::milliseconds(200);
constexpr duration most_return_time = std::chrono::seconds(2);
// Demand below this is none.
constexpr double least_demand = 0.01;

} // namespace

fleet_limiter::fleet_limiter(fleet_limiter_context context)
    : context_(std::move(context)), dividers_(most_dividers) {}

std::size_t fleet_limiter::group_of(std::string_view account) const {
    return rendezvous_weight("account", account) % most_dividers;
}

// The hosts of highest weight among those that can be reached; all hosts that see the same fleet choose
// alike.
void fleet_limiter::choose_dividers() {
    std::vector<std::string> hosts{context_.members.self.host()};
    for (const auto& [host, member] : context_.members.others) {
        if (context_.peers.is_connected(host)) {
            hosts.push_back(host);
        }
    }
    for (std::size_t group = 0; group < most_dividers; ++group) {
        const auto chosen = rendezvous_choose("rates/" + std::to_string(group), hosts, 1);
        if (dividers_[group].host != chosen.front()) {
            log_event(log_level::info, "rates divided by another host",
                      {{"group", std::to_string(group)}, {"host", chosen.front()}});
            dividers_[group].host = chosen.front();
        }
    }
}

bool fleet_limiter::is_rate_allocator() const {
    return std::any_of(dividers_.begin(), dividers_.end(), [this](const divider& one) {
        return one.host.empty() || one.host == context_.members.self.host();
    });
}

fleet_share fleet_limiter::share_of(const account_settings& account) const {
    return {account.rate, account.burst, fleet_size()};
}

bool fleet_limiter::is_in_touch(std::string_view account, steady_time now) const {
    return dividers_[group_of(account)].in_touch_until > now;
}

bool fleet_limiter::take_token(const account_settings& account) {
    const auto now = context_.time.now_with_suspension();
    return spend(stocks_[account.name], share_of(account), is_in_touch(account.name, now), now);
}

asio::awaitable<bool> fleet_limiter::admit(std::string account) {
    const auto* settings = find_account(context_.configuration.current(), account);
    if (settings == nullptr || settings->rate <= 0) {
        co_return settings != nullptr;
    }
    stocks_[account].arrived += 1;
    if (take_token(*settings)) {
        co_return true;
    }
    const auto now = context_.time.now_with_suspension();
    token_stock& stock = stocks_[account];
    if (!may_ask_out_of_turn(stock, now)) {
        co_return false;
    }
    stock.asked_out_of_turn = now;
    co_await report_to(group_of(account), account);
    // The configuration may have changed while the report was under way.
    settings = find_account(context_.configuration.current(), account);
    const bool admitted = settings != nullptr && take_token(*settings);
    co_return admitted;
}

void fleet_limiter::refund(std::string_view account) {
    const auto found = stocks_.find(account);
    if (found != stocks_.end()) {
        return_token(found->second, is_in_touch(account, context_.time.now_with_suspension()));
    }
}

duration fleet_limiter::retry_delay(std::string_view account) const {
    const auto found = stocks_.find(account);
    const double pressure = found == stocks_.end() ? 1 : found->second.pressure;
    // The more is asked for beyond the rate, the longer it takes until each caller has had its turn.
    return std::clamp(from_seconds(to_seconds(least_return_time) * pressure), least_return_time,
                      most_return_time);
}

wire::rate_report fleet_limiter::make_report(std::size_t group, std::string_view urgent_account) {
    const auto now = context_.time.now_with_suspension();
    wire::rate_report report;
    report.set_call(next_call_++);
    for (auto& [account, stock] : stocks_) {
        if (group_of(account) != group || (!urgent_account.empty() && account != urgent_account)) {
            continue;
        }
        note_report(stock, now);
        if (stock.demand < least_demand) {
            continue;
        }
        auto* use = report.add_accounts();
        use->set_account(account);
        use->set_demand(stock.demand);
        use->set_wanted(wanted_tokens(stock, account == urgent_account, now));
    }
    return report;
}

void fleet_limiter::report() {
    choose_dividers();
    for (std::size_t group = 0; group < most_dividers; ++group) {
        asio::co_spawn(context_.executor, report_to(group, {}), asio::detached);
    }
}

asio::awaitable<void> fleet_limiter::report_to(std::size_t group, std::string urgent_account) {
    if (dividers_[group].host != context_.members.self.host() &&
        !context_.peers.is_connected(dividers_[group].host)) {
        choose_dividers();
    }
    const auto asked = context_.time.now_with_suspension();
    wire::rate_report report = make_report(group, urgent_account);
    const std::string host = dividers_[group].host;
    if (host == context_.members.self.host()) {
        wire::rate_grants grants = divide(report, host);
        context_.targets.write_outliers(grants);
        take_grants(group, grants, asked);
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
    if (urgent_account.empty()) {
        context_.targets.write_state(*frame.mutable_rate_report());
    }
    const duration limit = urgent_account.empty() ? answer_limit : urgent_limit;
    const auto reply = co_await link->call(frame, call_key(call), context_.time.now() + limit);
    if (reply && reply->has_rate_grants()) {
        take_grants(group, reply->rate_grants(), asked);
        context_.topics.apply_topic_ends(reply->rate_grants(), host, asked);
        context_.targets.read_outliers(reply->rate_grants());
    }
}

void fleet_limiter::take_grants(std::size_t group, const wire::rate_grants& grants, steady_time asked) {
    const auto now = context_.time.now_with_suspension();
    const auto in_touch = asked + std::chrono::milliseconds(grants.in_touch_ms());
    dividers_[group].in_touch_until = std::max(dividers_[group].in_touch_until, in_touch);
    for (const auto& grant : grants.accounts()) {
        token_stock& stock = stocks_[grant.account()];
        stock.pressure = grant.pressure();
        take_tokens(stock, grant.tokens(), asked + std::chrono::milliseconds(grants.valid_ms()), now);
    }
}

wire::rate_grants fleet_limiter::divide(const wire::rate_report& report, std::string_view host) {
    const auto now = context_.time.now_with_suspension();
    heard_[std::string(host)] = now + touch_validity;
    std::erase_if(heard_, [now](const auto& entry) { return entry.second < now; });
    const double heard =
        std::min(1.0, static_cast<double>(heard_.size()) / static_cast<double>(fleet_size()));
    wire::rate_grants grants;
    grants.set_call(report.call());
    grants.set_valid_ms(to_milliseconds(token_validity));
    grants.set_in_touch_ms(to_milliseconds(touch_validity));
    for (const auto& use : report.accounts()) {
        const auto* settings = find_account(context_.configuration.current(), use.account());
        if (settings == nullptr || settings->rate <= 0) {
            continue;
        }
        account_bucket& bucket = buckets_[use.account()];
        auto* grant = grants.add_accounts();
        grant->set_account(use.account());
        grant->set_pressure(note_demand(bucket, host, use.demand(), settings->rate, now));
        grant->set_tokens(grant_tokens(bucket, use.wanted(), share_of(*settings), heard, now));
    }
    return grants;
}

void fleet_limiter::answer(const wire::rate_report& report, const peer_name& from,
                           std::shared_ptr<frame_stream> stream) {
    wire::peer_frame frame;
    *frame.mutable_rate_grants() = divide(report, from.host);
    context_.topics.write_topic_ends(*frame.mutable_rate_grants());
    if (report.has_target()) {
        context_.targets.read_state(report, from.host);
        context_.targets.write_outliers(*frame.mutable_rate_grants());
    }
    stream->send(frame);
}

} // namespace dandelionmount
