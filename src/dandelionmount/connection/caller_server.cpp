#include "dandelionmount/connection/caller_server.h"

#include "dandelionmount/connection/peer_link.h"
#include "dandelionmount/process/crypto.h"
#include "dandelionmount/process/logging.h"
#include "dandelionmount/request/traffic_split.h"

#include <algorithm>

namespace dandelionmount {

namespace asio = boost::asio;

namespace {

constexpr duration refusal_retry_after = std::chrono::seconds(1);
constexpr std::size_t max_idempotency_key_bytes = 255;

// Hash of what must not differ between requests with the same idempotency key.
std::string claim_fingerprint(const http_request& request) {
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
    : context_(std::move(context)), server_(
                                        std::move(executor), limits, context_.counters,
                                        [this](http_request request, std::shared_ptr<cancel_token> cancel) {
                                            return handle_request(std::move(request), std::move(cancel));
                                        },
                                        context_.protocol) {}

std::string caller_server::caller_request_id(const http_request& request) const {
    return context_.protocol.caller_sets_request_id
               ? std::string(request[context_.protocol.request_id_header])
               : std::string();
}

http_response caller_server::refuse(const http_request& request, const checked_request& checked,
                                    duration retry_after) {
    context_.counters.count_refusal(checked.why);
    log_refusal(request, checked);
    http_response response = make_refusal(checked.why, retry_after, context_.protocol);
    if (context_.protocol.caller_sets_request_id) {
        response.set(context_.protocol.request_id_header, caller_request_id(request));
    }
    return response;
}

// Checks that do not depend on the configuration.
reason caller_server::check_form(const http_request& request) const {
    const bool lacks_request_id =
        context_.protocol.caller_sets_request_id && caller_request_id(request).empty();
    const std::string path(request.target());
    // RFC 9110, section 9.3.8 forbids it, and Beast throws when such a request is prepared for sending.
    const bool is_trace_with_body =
        request.method() == boost::beast::http::verb::trace && !request.body().empty();
    if (lacks_request_id || is_trace_with_body || has_ambiguous_headers(request, context_.protocol) ||
        has_dot_segment(path) || idempotency_key_of(request).size() > max_idempotency_key_bytes) {
        return reason::bad_request;
    }
    return reason::none;
}

caller_server::checked_request caller_server::check(const http_request& request) const {
    checked_request checked;
    if (!context_.configuration.is_ready()) {
        checked.why = reason::no_configuration;
        return checked;
    }
    checked.why = check_form(request);
    if (checked.why != reason::none) {
        return checked;
    }
    const auto* route =
        find_route(context_.configuration.current(), routing_path(request, context_.protocol));
    if (route == nullptr) {
        checked.why = reason::no_route;
        return checked;
    }
    checked.route = *route;
    checked.priority = route->priority;
    bool valid = true;
    const auto timeout = timeout_of(request, valid, context_.protocol);
    if (!valid) {
        checked.why = reason::bad_request;
        return checked;
    }
    checked.timeout = checked.route.timeout;
    if (timeout) {
        const duration requested = std::chrono::milliseconds(*timeout);
        checked.timeout = std::min<duration>(requested, checked.route.timeout_limit);
    }
    checked.why = check_key(request, checked);
    // Until then, the hosts of the workers decide whether a request can end in time: they know how long it
    // would wait and run.
    if (checked.why == reason::none && context_.time.now() >= latest_run_end(context_.stop)) {
        checked.why = reason::host_stopping;
    }
    return checked;
}

// Targets call through open routes, for requests that are already running, so they are not shed at the
// ingress node. Other requests on these routes can't be told apart and are treated alike.
bool caller_server::is_call(const route_settings& route) const {
    return route.open && context_.protocol.targets_call_open_routes;
}

reason caller_server::check_key(const http_request& request, checked_request& checked) const {
    const auto key = api_key_of(request, context_.protocol);
    if (key && exposes_key(request, *key, context_.protocol)) {
        return reason::key_exposed;
    }
    if (checked.route.open) {
        return reason::none;
    }
    if (!context_.configuration.is_fresh()) {
        return reason::stale_configuration;
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
    checked.priority += account == nullptr ? 0 : account->priority;
    return reason::none;
}

asio::awaitable<http_response> caller_server::handle_request(http_request request,
                                                             std::shared_ptr<cancel_token> cancel) {
    const auto started_at = context_.time.now();
    context_.counters.count(event::caller_requests);
    checked_request checked = check(request);
    if (checked.why != reason::none) {
        co_return refuse(request, checked, refusal_retry_after);
    }
    if (!checked.route.open) {
        const bool admitted = co_await context_.limiter.admit(checked.owner.account);
        if (!admitted) {
            checked.why = reason::over_rate;
            co_return refuse(request, checked, context_.limiter.retry_delay(checked.owner.account));
        }
    }
    const auto reply = co_await run(request, checked, std::move(cancel));
    const auto took = context_.time.now() - started_at;
    context_.counters.request_time().add(took);
    log_result(request, checked, reply, took);
    if (reply.outcome() == wire::ran) {
        context_.counters.count(event::answers);
    } else {
        context_.counters.count_refusal(reason_from_token(reply.reason()));
        context_.counters.count(event::outcomes_unknown, reply.outcome() == wire::unknown ? 1 : 0);
    }
    if (reply.outcome() == wire::not_run && !checked.route.open) {
        context_.limiter.refund(checked.owner.account);
    }
    http_response response = make_response(reply, context_.protocol);
    if (context_.protocol.caller_sets_request_id) {
        response.set(context_.protocol.request_id_header, caller_request_id(request));
    }
    co_return response;
}

void caller_server::log_refusal(const http_request& request, const checked_request& checked) const {
    log_event(log_level::info, "refused",
              {{"request", caller_request_id(request)},
               {"reason", std::string(reason_token(checked.why))},
               {"account", checked.owner.account},
               {"route", checked.route.prefix},
               {"version", std::to_string(context_.configuration.state().document_version)},
               {"version_age_ms", std::to_string(to_milliseconds(context_.configuration.age()))}});
}

void caller_server::log_result(const http_request& request, const checked_request& checked,
                               const wire::forward_reply& reply, duration took) const {
    const bool ran = reply.outcome() == wire::ran;
    const log_level level = ran ? log_level::debug : log_level::info;
    if (!is_log_enabled(level)) {
        return;
    }
    log_event(level, ran ? "answered" : "gave up",
              {{"request", caller_request_id(request)},
               {"id", reply.id()},
               {"reason", reply.reason()},
               {"outcome", reply.outcome() == wire::not_run ? "not-run"
                           : ran                            ? "ran"
                                                            : "unknown"},
               {"account", checked.owner.account},
               {"route", checked.route.prefix},
               {"attempt", std::to_string(reply.attempt())},
               {"took_ms", std::to_string(to_milliseconds(took))},
               {"timeout_ms", std::to_string(to_milliseconds(checked.timeout))},
               {"target_running", std::to_string(reply.load().in_flight())},
               {"target_queued", std::to_string(reply.load().queued())},
               {"target_limit", std::to_string(reply.load().limit())},
               {"demand_ratio", std::to_string(reply.demand_ratio())},
               {"bottleneck", reply.bottleneck()},
               {"version", std::to_string(context_.configuration.state().document_version)},
               {"version_age_ms", std::to_string(to_milliseconds(context_.configuration.age()))}});
}

dispatch_order caller_server::make_order(const http_request& request, const checked_request& checked,
                                         std::shared_ptr<cancel_token> cancel) const {
    dispatch_order order;
    order.deadline = context_.time.now() + checked.timeout;
    order.due = context_.time.now() + std::min<duration>(checked.timeout, checked.route.latency_objective);
    order.cancel = std::move(cancel);
    order.request = make_forward_request(request, checked.route, context_.protocol);
    auto& forwarded = order.request;
    if (!checked.route.traffic_split.empty()) {
        std::uniform_real_distribution<double> draw(0, 1);
        forwarded.set_service(
            std::string(choose_service(checked.route.traffic_split, draw(context_.random))));
    }
    const auto* service = find_service(context_.configuration.current(), forwarded.service());
    const std::uint32_t retries = service == nullptr ? 0 : service->retries;
    const std::uint32_t max_attempts = checked.route.max_attempts;
    order.allowance = std::make_shared<retry_allowance>(max_attempts == 0 ? retries : max_attempts - 1);
    forwarded.set_account(checked.owner.account);
    forwarded.set_key_id(checked.owner.key_id);
    forwarded.set_configuration_version(context_.configuration.state().document_version);
    forwarded.set_priority(checked.priority);
    if (!context_.protocol.caller_service_header.empty()) {
        auto* header = forwarded.add_headers();
        header->set_name(context_.protocol.caller_service_header);
        header->set_value(context_.service);
    }
    order.route = checked.route.prefix;
    forwarded.set_route(checked.route.prefix);
    order.at_ingress = !is_call(checked.route);
    forwarded.set_is_call(!order.at_ingress);
    return order;
}

asio::awaitable<wire::forward_reply> caller_server::run(const http_request& request, checked_request checked,
                                                        std::shared_ptr<cancel_token> cancel) {
    dispatch_order order = make_order(request, checked, std::move(cancel));
    const std::string key = idempotency_key_of(request);
    if (key.empty() || checked.route.open || context_.claims == nullptr) {
        auto reply = co_await context_.request_dispatcher.dispatch(std::move(order));
        co_return reply;
    }
    auto reply = co_await run_claimed(request, key, std::move(order));
    co_return reply;
}

// Runs the request only when it holds the claim on its idempotency key; a duplicate gets the first response.
asio::awaitable<wire::forward_reply> caller_server::run_claimed(const http_request& request, std::string key,
                                                                dispatch_order order) {
    const claim_name name{order.request.account(), std::move(key)};
    const auto claim_deadline = std::min(order.deadline, latest_run_end(context_.stop));
    const auto claimed =
        co_await context_.claims->claim(name, claim_fingerprint(request), order.request.id(), claim_deadline);
    if (claimed.granted) {
        auto reply = co_await context_.request_dispatcher.dispatch(std::move(order));
        context_.claims->finish(name, claimed.holder, reply);
        co_return reply;
    }
    if (claimed.answer) {
        context_.counters.count(event::duplicate_requests_joined);
        co_return *claimed.answer;
    }
    // While another request with this key is in progress, "not run" can't be guaranteed.
    const bool undecided = claimed.why == reason::key_in_progress;
    auto refusal = make_reply(order.request, undecided ? wire::unknown : wire::not_run, claimed.why);
    refusal.set_retry_after_ms(to_milliseconds(refusal_retry_after));
    co_return refusal;
}

} // namespace dandelionmount
