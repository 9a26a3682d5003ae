#include "dandelionmount/connection/caller_server.h"

#include "dandelionmount/connection/peer_link.h"
#include "dandelionmount/process/crypto.h"
#include "dandelionmount/process/logging.h"

#include <algorithm>

namespace dandelionmount {

namespace asio = boost::asio;

namespace {

constexpr duration refusal_return_time = std::chrono::seconds(1);
constexpr std::size_t most_idempotency_key = 255;

// Two requests with one idempotency key have to be the same request.
std::string request_fingerprint(const http_request& request) {
    std::string text(request.method_string());
    text += '\n';
    text += std::string(request.target());
    text += '\n';
    text += request.body();
    return sha256_hex(text);
}

std::string idempotency_key_of(const http_request& request) {
    return std::string(request[std::string(idempotency_header)]);
}

} // namespace

caller_server::caller_server(caller_server_context context, asio::any_io_executor executor,
                             const caller_limits& limits)
    : context_(context), server_(std::move(executor), limits, context_.counters,
                                 [this](http_request request, std::shared_ptr<cancel_token> cancel) {
                                     return answer(std::move(request), std::move(cancel));
                                 }) {}

http_response caller_server::refuse(reason why, duration retry_after) {
    context_.counters.refused(why);
    return make_refusal(why, retry_after);
}

caller_server::checked_request caller_server::check(const http_request& request) const {
    checked_request checked;
    if (!context_.configuration.is_ready()) {
        checked.why = reason::no_configuration;
        return checked;
    }
    const auto* route = find_route(context_.configuration.current(), std::string(request.target()));
    if (route == nullptr) {
        checked.why = reason::no_route;
        return checked;
    }
    checked.route = *route;
    bool valid = true;
    const auto timeout = timeout_of(request, valid);
    const bool key_too_long = idempotency_key_of(request).size() > most_idempotency_key;
    if (!valid || key_too_long) {
        checked.why = reason::bad_request;
        return checked;
    }
    checked.timeout = checked.route.timeout;
    if (timeout) {
        const duration asked = std::chrono::milliseconds(*timeout);
        checked.timeout = std::min<duration>(asked, checked.route.timeout_limit);
    }
    checked.why = check_key(request, checked);
    return checked;
}

reason caller_server::check_key(const http_request& request, checked_request& checked) const {
    const auto key = bearer_key(request);
    if (key && exposes_key(request, *key)) {
        return reason::key_exposed;
    }
    if (checked.route.open) {
        return reason::none;
    }
    if (!key) {
        return reason::no_key;
    }
    const auto owner = context_.configuration.find_key(sha256_hex(*key));
    if (!owner) {
        return reason::unknown_key;
    }
    if (context_.configuration.is_withdrawn(owner->key_id)) {
        return reason::withdrawn_key;
    }
    const auto& allowed = checked.route.accounts;
    if (!allowed.empty() && std::find(allowed.begin(), allowed.end(), owner->account) == allowed.end()) {
        return reason::key_not_allowed;
    }
    const auto* account = find_account(context_.configuration.current(), owner->account);
    if (context_.configuration.is_isolated(account)) {
        return reason::isolated;
    }
    checked.owner = *owner;
    return reason::none;
}

asio::awaitable<http_response> caller_server::answer(http_request request,
                                                     std::shared_ptr<cancel_token> cancel) {
    const auto began = context_.time.now();
    context_.counters.count(event::caller_requests);
    const checked_request checked = check(request);
    if (checked.why != reason::none) {
        co_return refuse(checked.why, refusal_return_time);
    }
    if (!checked.route.open) {
        const bool admitted = co_await context_.rates.admit(checked.owner.account);
        if (!admitted) {
            co_return refuse(reason::over_rate, context_.rates.return_time(checked.owner.account));
        }
    }
    const auto reply = co_await run(request, checked, std::move(cancel));
    context_.counters.request_time().add(context_.time.now() - began);
    log_end(checked, reply);
    if (reply.outcome() == wire::ran) {
        context_.counters.count(event::answers);
    } else {
        context_.counters.refused(reason_from_token(reply.reason()));
        context_.counters.count(event::outcomes_unknown, reply.outcome() == wire::unknown ? 1 : 0);
    }
    co_return make_answer(reply);
}

void caller_server::log_end(const checked_request& checked, const wire::forward_reply& reply) const {
    const bool ran = reply.outcome() == wire::ran;
    log_event(ran ? log_level::debug : log_level::info, ran ? "answered" : "gave up",
              {{"request", reply.id()}, {"account", checked.owner.account}, {"reason", reply.reason()}});
}

dispatch_order caller_server::make_order(const http_request& request, const checked_request& checked,
                                         std::shared_ptr<cancel_token> cancel) const {
    const auto* service = find_service(context_.configuration.current(), checked.route.service);
    dispatch_order order;
    order.deadline = context_.time.now() + checked.timeout;
    order.allowance = std::make_shared<retry_allowance>(service == nullptr ? 0 : service->retries);
    order.cancel = std::move(cancel);
    order.request = make_forward_request(request, checked.route);
    auto& forwarded = order.request;
    forwarded.set_account(checked.owner.account);
    forwarded.set_key_id(checked.owner.key_id);
    order.route = checked.route.prefix;
    order.enters_here = true;
    return order;
}

asio::awaitable<wire::forward_reply> caller_server::run(const http_request& request, checked_request checked,
                                                        std::shared_ptr<cancel_token> cancel) {
    dispatch_order order = make_order(request, checked, std::move(cancel));
    const std::string key = idempotency_key_of(request);
    if (key.empty() || checked.route.open) {
        auto reply = co_await context_.requests.dispatch(std::move(order));
        co_return reply;
    }
    auto reply = co_await run_claimed(request, key, std::move(order));
    co_return reply;
}

// Runs the request only when it holds its idempotency key; a repeat gets the first one's answer.
asio::awaitable<wire::forward_reply> caller_server::run_claimed(const http_request& request, std::string key,
                                                                dispatch_order order) {
    const claim_name name{order.request.account(), std::move(key)};
    const auto claimed = co_await context_.claims.claim(name, request_fingerprint(request),
                                                        order.request.id(), order.deadline);
    if (claimed.granted) {
        auto reply = co_await context_.requests.dispatch(std::move(order));
        context_.claims.finish(name, claimed.holder, reply);
        co_return reply;
    }
    if (claimed.answer) {
        context_.counters.count(event::duplicate_requests_joined);
        co_return *claimed.answer;
    }
    // While the first request with this key is under way, nobody can say that it will not run.
    const bool undecided = claimed.why == reason::key_in_progress;
    auto refusal = make_reply(order.request, undecided ? wire::unknown : wire::not_run, claimed.why);
    refusal.set_retry_after_ms(to_milliseconds(refusal_return_time));
    co_return refusal;
}

} // namespace dandelionmount
