#include "dandelionmount/process/rate_service.h"

#include "dandelionmount/process/crypto.h"
#include "dandelionmount/version/configuration_state.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace dandelionmount {

namespace asio = boost::asio;

namespace {

// Time that a fetch waits for the answers of one group of share owners.
constexpr duration request_timeout = std::chrono::milliseconds(30);
// Tokens are prefetched for the requests expected within this time.
constexpr double prefetch_horizon_seconds = 0.1;
// Weight of the newest interval in the EWMA of the admission rate.
constexpr double ewma_weight = 0.1;
// Lower limit on the measured interval, which may be zero.
constexpr double min_interval_seconds = 0.0005;
// After the owners have run out of tokens, requests that arrive start no fetch for the time in which the
// account gains one, within these limits.
constexpr duration min_empty_time = std::chrono::milliseconds(5);
constexpr duration max_empty_time = std::chrono::milliseconds(100);
constexpr double whole_token = 1.0;
// Tolerance for sums of fractions of tokens.
constexpr double rounding_tolerance = 1e-6;
// Successive rounds of a fetch; each requests tokens from one group of share owners.
constexpr int max_fetch_rounds = 4;

} // namespace

rate_service::rate_service(rate_service_context context)
    : context_(std::move(context)), next_grant_(random_number()) {}

rate_service::account_state& rate_service::state_of(const std::string& account) {
    auto& state = accounts_[account];
    if (!state) {
        state = std::make_unique<account_state>(context_.executor);
    }
    return *state;
}

asio::awaitable<bool> rate_service::admit(std::string account) {
    account_state& state = state_of(account);
    if (spend(account, state)) {
        record_admission(state);
        prefetch(account, state);
        co_return true;
    }
    if (!state.fetching && context_.time.now() < state.owners_empty_until) {
        co_return false;
    }
    // A fetch already in progress may have started for fewer requests than wait now; a second one covers them
    // all.
    constexpr int max_fetches = 2;
    bool admitted = false;
    state.waiting_requests += 1;
    for (int round = 0; round < max_fetches && !admitted; ++round) {
        start_fetch(account, state);
        const bool fetched =
            co_await state.fetch_done.wait_until(context_.time.now() + max_fetch_rounds * request_timeout);
        admitted = fetched && spend(account, state);
    }
    state.waiting_requests -= 1;
    if (admitted) {
        record_admission(state);
    }
    co_return admitted;
}

bool rate_service::spend(const std::string& account, account_state& state) {
    const auto now = context_.time.now();
    if (spend_token(state.balance, now)) {
        return true;
    }
    rate_share* share = own_share(account);
    return share != nullptr && take_tokens(*share, whole_token, now);
}

void rate_service::record_admission(account_state& state) {
    const auto now = context_.time.now();
    const double interval = std::max(min_interval_seconds, to_seconds(now - state.last_admitted_at));
    state.admission_rate = state.admission_rate * (1 - ewma_weight) + ewma_weight / interval;
    state.last_admitted_at = now;
}

// Fetches tokens before they run out, so that most requests need not wait for one.
void rate_service::prefetch(const std::string& account, account_state& state) {
    const auto now = context_.time.now();
    const double wanted = state.admission_rate * prefetch_horizon_seconds;
    rate_share* share = own_share(account);
    const double available =
        spendable_tokens(state.balance, now) + (share == nullptr ? 0 : available_tokens(*share, now));
    if (available < std::max(whole_token, wanted / 2) && now >= state.owners_empty_until) {
        start_fetch(account, state);
    }
}

void rate_service::start_fetch(const std::string& account, account_state& state) {
    if (state.fetching) {
        return;
    }
    state.fetching = true;
    state.received_tokens = 0;
    state.fetch_done.reset();
    asio::co_spawn(context_.executor, fetch(account), asio::detached);
}

// Requests the tokens expected to be needed from the owners in this zone, divided among them, then the tokens
// that requests wait for from those of the other zones, and at last the full remainder from each owner.
asio::awaitable<void> rate_service::fetch(std::string account) {
    account_state& state = state_of(account);
    const std::string own_zone = context_.members.self.zone();
    std::vector<std::string> same_zone_hosts = share_owner_hosts(account, own_zone);
    std::vector<std::string> other_zone_hosts;
    for (const auto& zone : context_.configuration.zones()) {
        const auto hosts =
            zone.name == own_zone ? std::vector<std::string>{} : share_owner_hosts(account, zone.name);
        other_zone_hosts.insert(other_zone_hosts.end(), hosts.begin(), hosts.end());
    }
    const auto now = [this] { return context_.time.now(); };
    const auto needed = [&state] { return std::max(whole_token, state.waiting_requests); };
    const double expected = std::max(needed(), state.admission_rate * prefetch_horizon_seconds);
    co_await request_from_hosts(account, same_zone_hosts, expected - spendable_tokens(state.balance, now()),
                                true);
    co_await request_from_hosts(account, other_zone_hosts, needed() - spendable_tokens(state.balance, now()),
                                true);
    const bool same_zone_short = co_await request_from_hosts(
        account, same_zone_hosts, needed() - spendable_tokens(state.balance, now()), false);
    const bool other_zones_short = co_await request_from_hosts(
        account, other_zone_hosts, needed() - spendable_tokens(state.balance, now()), false);
    // The balance does not show whether the owners have run out, because requests may already have spent what
    // arrived.
    if (same_zone_short && other_zones_short) {
        const auto* settings = find_account(context_.configuration.current(), account);
        const double rate = settings == nullptr ? 1 : settings->rate;
        state.owners_empty_until =
            now() + std::clamp(from_seconds(whole_token / rate), min_empty_time, max_empty_time);
    }
    state.fetching = false;
    state.fetch_done.set();
}

// Requests an equal part of the missing tokens from each host, or all of them from each; returns true when
// fewer arrived in time.
asio::awaitable<bool> rate_service::request_from_hosts(std::string account, std::vector<std::string> hosts,
                                                       double missing, bool split_evenly) {
    if (hosts.empty() || missing <= 0) {
        co_return missing > 0;
    }
    account_state& state = state_of(account);
    const double received_before = state.received_tokens;
    auto all_answered = std::make_shared<async_event>(context_.executor);
    auto pending = std::make_shared<std::size_t>(hosts.size());
    const double wanted = split_evenly ? missing / static_cast<double>(hosts.size()) : missing;
    for (const auto& host : hosts) {
        asio::co_spawn(context_.executor, request_from_owner(account, host, wanted),
                       [all_answered, pending](const std::exception_ptr&) {
                           if (--*pending == 0) {
                               all_answered->set();
                           }
                       });
    }
    co_await all_answered->wait_until(context_.time.now() + request_timeout);
    co_return state.received_tokens - received_before < missing - rounding_tolerance;
}

asio::awaitable<void> rate_service::request_from_owner(std::string account, std::string host, double wanted) {
    const std::uint64_t grant_id = next_grant_++;
    const auto requested_at = context_.time.now();
    if (host == context_.members.self.host()) {
        request_from_self(account, wanted, grant_id);
        co_return;
    }
    const auto link = context_.peers.find(host);
    if (link == nullptr) {
        co_return;
    }
    context_.counters.count(event::token_requests);
    const auto reply = co_await link->call(make_request(account, host, wanted, grant_id), token_key(grant_id),
                                           requested_at + request_timeout);
    if (reply) {
        apply_grant(state_of(account), host, reply->token_reply().granted(), requested_at);
    }
}

void rate_service::apply_grant(account_state& state, std::string_view host, double amount,
                               steady_time requested_at) {
    state.received_tokens += amount;
    add_batch(state.balance, host, amount, requested_at);
}

void rate_service::request_from_self(const std::string& account, double wanted, std::uint64_t grant_id) {
    rate_share* share = own_share(account);
    if (share == nullptr) {
        return;
    }
    const std::string& host = context_.members.self.host();
    usage_report& report = state_of(account).balance.reports[host];
    report.unsent = false;
    const auto now = context_.time.now();
    const grant_request request{host, grant_id, wanted, report.spent, report.returned};
    apply_grant(state_of(account), host, grant_tokens(*share, request, now), now);
}

wire::peer_frame rate_service::make_request(const std::string& account, const std::string& host,
                                            double wanted, std::uint64_t grant_id) {
    usage_report& report = state_of(account).balance.reports[host];
    report.unsent = false;
    wire::peer_frame frame;
    auto* request = frame.mutable_token_request();
    request->set_account(account);
    request->set_grant_id(grant_id);
    request->set_wanted(wanted);
    request->set_spent_total(report.spent);
    request->set_returned_total(report.returned);
    return frame;
}

void rate_service::answer(const wire::token_request& request, const peer_id& from,
                          std::shared_ptr<frame_stream> stream) {
    wire::peer_frame frame;
    auto* reply = frame.mutable_token_reply();
    reply->set_account(request.account());
    reply->set_grant_id(request.grant_id());
    rate_share* share = own_share(request.account());
    if (share != nullptr) {
        const std::string receiver = from.host + "@" + std::to_string(from.incarnation);
        const grant_request received_request{receiver, request.grant_id(), request.wanted(),
                                             request.spent_total(), request.returned_total()};
        const double granted = grant_tokens(*share, received_request, context_.time.now());
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
    for (auto& [account, state] : accounts_) {
        return_idle_tokens(state->balance, now);
        for (auto& [host, report] : state->balance.reports) {
            if (report.unsent) {
                asio::co_spawn(context_.executor, request_from_owner(account, host, 0), asio::detached);
            }
        }
    }
}

std::vector<std::string> rate_service::share_owner_hosts(std::string_view account, std::string_view zone) {
    std::vector<std::string> hosts;
    const zone_settings* settings = context_.configuration.find_zone(zone);
    if (settings == nullptr) {
        return hosts;
    }
    for (const std::uint32_t slot : share_owners_.find(account, *settings)) {
        const auto* member = find_slot(context_.members, zone, slot);
        if (member != nullptr) {
            hosts.push_back(member->host());
        }
    }
    return hosts;
}

double rate_service::own_fraction(const std::string& account) {
    const auto lists = context_.configuration.zones_within(zone_change_window);
    return slot_fraction(account, {context_.members.self.zone(), context_.members.self.slot()}, lists,
                         share_owners_);
}

// A share that this slot owns both before and after a change of the zones keeps its tokens; if no request has
// used it yet, it starts here with the tokens gained since the slot was acquired. A share that is new to the
// slot starts later, in own_share(), because another slot may still use it.
void rate_service::apply_configuration() {
    std::erase_if(shares_, [this](const auto& entry) { return own_fraction(entry.first) <= 0; });
    const auto changed_at = context_.configuration.zones_changed_at();
    if (changed_at == applied_zone_change_) {
        return;
    }
    applied_zone_change_ = changed_at;
    for (const auto& account : context_.configuration.current().accounts) {
        const double fraction = own_fraction(account.name);
        if (fraction > 0 && context_.lease.acquired_at) {
            start_share(account, fraction, *context_.lease.acquired_at);
        }
    }
}

// A new share has refilled since `refilled_at`, because no process has used it since then.
rate_share& rate_service::start_share(const account_settings& account, double fraction,
                                      steady_time refilled_at) {
    auto [entry, inserted] = shares_.try_emplace(account.name);
    if (inserted) {
        entry->second.refilled_at = refilled_at;
        entry->second.rate = account.rate * fraction;
        entry->second.burst = account.burst * fraction;
    }
    return entry->second;
}

rate_share* rate_service::own_share(const std::string& account) {
    const auto now = context_.time.now();
    const auto* settings = find_account(context_.configuration.current(), account);
    if (settings == nullptr || !may_use_slot(context_.lease, now)) {
        return nullptr;
    }
    const double fraction = own_fraction(account);
    if (fraction <= 0) {
        return nullptr;
    }
    const auto slot_acquired_at = context_.lease.acquired_at.value_or(now);
    rate_share& share = start_share(
        *settings, fraction, refill_start(slot_acquired_at, context_.configuration.zones_changed_at(), now));
    set_share_limits(share, settings->rate * fraction, settings->burst * fraction, now);
    return &share;
}

} // namespace dandelionmount
