#include "dandelionmount/process/rate_service.h"

#include "dandelionmount/process/crypto.h"
#include "dandelionmount/version/configuration_state.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace dandelionmount {

namespace asio = boost::asio;

namespace {

// An admission waits this long at most for keepers of one zone.
constexpr duration ask_limit = std::chrono::milliseconds(30);
// Tokens are fetched ahead for the requests expected in this time.
constexpr double horizon_seconds = 0.1;
// Weight of the newest interval in the observed rate.
constexpr double newest_weight = 0.1;
constexpr double least_interval_seconds = 0.0005;
// After keepers had nothing, they are asked again when they may have gained a token.
constexpr duration least_empty_time = std::chrono::milliseconds(5);
constexpr duration most_empty_time = std::chrono::milliseconds(100);
constexpr double whole_token = 1.0;
// Tolerance for sums of fractions of tokens.
constexpr double rounding = 1e-6;
// Times that a fetch asks groups of keepers, one after another.
constexpr int most_passes = 4;

} // namespace

rate_service::rate_service(rate_service_context context)
    : context_(std::move(context)), next_grant_(random_number()) {}

rate_service::account_demand& rate_service::demand_of(const std::string& account) {
    auto& demand = demands_[account];
    if (!demand) {
        demand = std::make_unique<account_demand>(context_.executor);
    }
    return *demand;
}

asio::awaitable<bool> rate_service::admit(std::string account) {
    account_demand& demand = demand_of(account);
    if (spend(account, demand)) {
        note_admitted(demand);
        prefetch(account, demand);
        co_return true;
    }
    if (!demand.fetching && context_.time.now() < demand.empty_until) {
        co_return false;
    }
    // A fetch that was under way may have been made for fewer requests than wait by now: the second one
    // counts all.
    constexpr int most_fetches = 2;
    bool admitted = false;
    demand.waiting += 1;
    for (int round = 0; round < most_fetches && !admitted; ++round) {
        start_fetch(account, demand);
        const bool fetched =
            co_await demand.fetched.wait_until(context_.time.now() + most_passes * ask_limit);
        admitted = fetched && spend(account, demand);
    }
    demand.waiting -= 1;
    if (admitted) {
        note_admitted(demand);
    }
    co_return admitted;
}

bool rate_service::spend(const std::string& account, account_demand& demand) {
    const auto now = context_.time.now();
    if (spend_token(demand.wallet, now)) {
        return true;
    }
    rate_share* share = own_share(account);
    return share != nullptr && take_tokens(*share, whole_token, now);
}

void rate_service::note_admitted(account_demand& demand) {
    const auto now = context_.time.now();
    const double interval = std::max(least_interval_seconds, to_seconds(now - demand.last_admitted));
    demand.rate = demand.rate * (1 - newest_weight) + newest_weight / interval;
    demand.last_admitted = now;
}

// Fetches ahead of need, so that most requests find their token here.
void rate_service::prefetch(const std::string& account, account_demand& demand) {
    const auto now = context_.time.now();
    const double wanted = demand.rate * horizon_seconds;
    rate_share* share = own_share(account);
    const double here =
        wallet_tokens(demand.wallet, now) + (share == nullptr ? 0 : available_tokens(*share, now));
    if (here < std::max(whole_token, wanted / 2) && now >= demand.empty_until) {
        start_fetch(account, demand);
    }
}

void rate_service::start_fetch(const std::string& account, account_demand& demand) {
    if (demand.fetching) {
        return;
    }
    demand.fetching = true;
    demand.gained = 0;
    demand.fetched.reset();
    asio::co_spawn(context_.executor, fetch(account), asio::detached);
}

// Asks the keepers of the own zone for what is expected to be needed, then those of the other zones and at
// last all of them for what requests wait for.
asio::awaitable<void> rate_service::fetch(std::string account) {
    account_demand& demand = demand_of(account);
    const std::string own_zone = context_.members.self.zone();
    std::vector<std::string> near = keeper_hosts(account, own_zone);
    std::vector<std::string> far;
    for (const auto& zone : context_.configuration.zones()) {
        const auto hosts =
            zone.name == own_zone ? std::vector<std::string>{} : keeper_hosts(account, zone.name);
        far.insert(far.end(), hosts.begin(), hosts.end());
    }
    const auto now = [this] { return context_.time.now(); };
    const auto needed = [&demand] { return std::max(whole_token, demand.waiting); };
    const double expected = std::max(needed(), demand.rate * horizon_seconds);
    co_await ask_hosts(account, near, expected - wallet_tokens(demand.wallet, now()), true);
    co_await ask_hosts(account, far, needed() - wallet_tokens(demand.wallet, now()), true);
    const bool near_short =
        co_await ask_hosts(account, near, needed() - wallet_tokens(demand.wallet, now()), false);
    const bool far_short =
        co_await ask_hosts(account, far, needed() - wallet_tokens(demand.wallet, now()), false);
    // The wallet says nothing about the keepers, as requests may have spent meanwhile what came.
    if (near_short && far_short) {
        const auto* settings = find_account(context_.configuration.current(), account);
        const double rate = settings == nullptr ? 1 : settings->rate;
        demand.empty_until =
            now() + std::clamp(from_seconds(whole_token / rate), least_empty_time, most_empty_time);
    }
    demand.fetching = false;
    demand.fetched.set();
}

// Asks each host for its part of the missing tokens, or for all of them; true when they had too few.
asio::awaitable<bool> rate_service::ask_hosts(std::string account, std::vector<std::string> hosts,
                                              double missing, bool in_parts) {
    if (hosts.empty() || missing <= 0) {
        co_return missing > 0;
    }
    account_demand& demand = demand_of(account);
    const double gained_before = demand.gained;
    auto all_answered = std::make_shared<async_event>(context_.executor);
    auto open = std::make_shared<std::size_t>(hosts.size());
    const double wanted = in_parts ? missing / static_cast<double>(hosts.size()) : missing;
    for (const auto& host : hosts) {
        asio::co_spawn(context_.executor, ask_keeper(account, host, wanted),
                       [all_answered, open](const std::exception_ptr&) {
                           if (--*open == 0) {
                               all_answered->set();
                           }
                       });
    }
    co_await all_answered->wait_until(context_.time.now() + ask_limit);
    co_return demand.gained - gained_before < missing - rounding;
}

asio::awaitable<void> rate_service::ask_keeper(std::string account, std::string host, double wanted) {
    const std::uint64_t grant_id = next_grant_++;
    const auto asked = context_.time.now();
    if (host == context_.members.self.host()) {
        ask_self(account, wanted, grant_id);
        co_return;
    }
    const auto link = context_.peers.find(host);
    if (link == nullptr) {
        co_return;
    }
    context_.counters.count(event::token_requests);
    const auto reply = co_await link->call(make_request(account, host, wanted, grant_id), token_key(grant_id),
                                           asked + ask_limit);
    if (reply) {
        take_grant(demand_of(account), host, reply->token_reply().granted(), asked);
    }
}

void rate_service::take_grant(account_demand& demand, std::string_view host, double amount,
                              steady_time asked) {
    demand.gained += amount;
    add_batch(demand.wallet, host, amount, asked);
}

void rate_service::ask_self(const std::string& account, double wanted, std::uint64_t grant_id) {
    rate_share* share = own_share(account);
    if (share == nullptr) {
        return;
    }
    const std::string& host = context_.members.self.host();
    keeper_report& report = demand_of(account).wallet.reports[host];
    report.unsent = false;
    const auto now = context_.time.now();
    const token_ask ask{host, grant_id, wanted, report.spent, report.returned};
    take_grant(demand_of(account), host, grant_tokens(*share, ask, now), now);
}

wire::peer_frame rate_service::make_request(const std::string& account, const std::string& host,
                                            double wanted, std::uint64_t grant_id) {
    keeper_report& report = demand_of(account).wallet.reports[host];
    report.unsent = false;
    wire::peer_frame frame;
    auto* ask = frame.mutable_token_request();
    ask->set_account(account);
    ask->set_grant_id(grant_id);
    ask->set_wanted(wanted);
    ask->set_spent_total(report.spent);
    ask->set_returned_total(report.returned);
    return frame;
}

void rate_service::answer(const wire::token_request& ask, const peer_name& from,
                          std::shared_ptr<frame_stream> stream) {
    wire::peer_frame frame;
    auto* reply = frame.mutable_token_reply();
    reply->set_account(ask.account());
    reply->set_grant_id(ask.grant_id());
    rate_share* share = own_share(ask.account());
    if (share != nullptr) {
        const std::string receiver = from.host + "@" + std::to_string(from.incarnation);
        const token_ask order{receiver, ask.grant_id(), ask.wanted(), ask.spent_total(),
                              ask.returned_total()};
        const double granted = grant_tokens(*share, order, context_.time.now());
        reply->set_granted(granted);
        context_.counters.count(event::tokens_granted, static_cast<std::uint64_t>(granted));
    }
    stream->send(frame);
}

duration rate_service::retry_delay(std::string_view account) const {
    const auto* settings = find_account(context_.configuration.current(), account);
    return settings == nullptr ? from_seconds(1) : from_seconds(std::max(1.0, whole_token / settings->rate));
}

void rate_service::report() {
    const auto now = context_.time.now();
    for (auto& [account, demand] : demands_) {
        return_idle(demand->wallet, now);
        for (auto& [host, report] : demand->wallet.reports) {
            if (report.unsent) {
                asio::co_spawn(context_.executor, ask_keeper(account, host, 0), asio::detached);
            }
        }
    }
}

std::vector<std::string> rate_service::keeper_hosts(std::string_view account, std::string_view zone) {
    std::vector<std::string> hosts;
    const zone_settings* settings = context_.configuration.find_zone(zone);
    if (settings == nullptr) {
        return hosts;
    }
    for (const std::uint32_t slot : keepers_.find(account, *settings)) {
        const auto* member = find_slot(context_.members, zone, slot);
        if (member != nullptr) {
            hosts.push_back(member->host());
        }
    }
    return hosts;
}

double rate_service::own_part(const std::string& account) {
    const auto lists = context_.configuration.zones_within(zone_change_term);
    return slot_part(account, {context_.members.self.zone(), context_.members.self.slot()}, lists, keepers_);
}

// Shares that stay here through a change of the zones go on as they are, those not used so far included; any
// other that is kept here later was kept elsewhere before.
void rate_service::apply_configuration() {
    std::erase_if(shares_, [this](const auto& entry) { return own_part(entry.first) <= 0; });
    const auto changed = context_.configuration.zones_changed_at();
    if (changed == zones_changed_) {
        return;
    }
    zones_changed_ = changed;
    for (const auto& account : context_.configuration.current().accounts) {
        const double part = own_part(account.name);
        if (part > 0 && context_.lease.proved) {
            start_share(account, part, *context_.lease.proved);
        }
    }
}

// Nobody used this share while this process waited for it, so it has filled up since `filled_since`.
rate_share& rate_service::start_share(const account_settings& account, double part,
                                      steady_time filled_since) {
    auto [entry, fresh] = shares_.try_emplace(account.name);
    if (fresh) {
        entry->second.refilled = filled_since;
        entry->second.rate = account.rate * part;
        entry->second.burst = account.burst * part;
    }
    return entry->second;
}

rate_share* rate_service::own_share(const std::string& account) {
    const auto now = context_.time.now();
    const auto* settings = find_account(context_.configuration.current(), account);
    if (settings == nullptr || !may_use_slot(context_.lease, now)) {
        return nullptr;
    }
    const double part = own_part(account);
    if (part <= 0) {
        return nullptr;
    }
    const auto held = context_.lease.proved.value_or(now);
    rate_share& share =
        start_share(*settings, part, filled_from(held, context_.configuration.zones_changed_at(), now));
    set_share_limits(share, settings->rate * part, settings->burst * part, now);
    return &share;
}

} // namespace dandelionmount
