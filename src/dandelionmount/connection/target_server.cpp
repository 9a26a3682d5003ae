#include "dandelionmount/connection/target_server.h"

#include <algorithm>

namespace dandelionmount {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr duration refusal_retry_after = std::chrono::seconds(1);
constexpr std::string_view announcement_path = "/announce";

} // namespace

target_server::target_server(target_server_context context, asio::any_io_executor executor,
                             const caller_limits& limits)
    : context_(context), server_(std::move(executor), limits, context_.counters,
                                 [this](http_request request, std::shared_ptr<cancel_token> cancel) {
                                     return handle_request(std::move(request), std::move(cancel));
                                 }) {}

http_response target_server::refuse(reason why) {
    context_.counters.count_refusal(why);
    return make_refusal(why, refusal_retry_after);
}

asio::awaitable<http_response> target_server::handle_request(http_request request,
                                                             std::shared_ptr<cancel_token> cancel) {
    if (request.target() == boost::beast::string_view(announcement_path.data(), announcement_path.size())) {
        co_return handle_announcement(request);
    }
    auto response = co_await call(std::move(request), std::move(cancel));
    co_return response;
}

http_response target_server::handle_announcement(const http_request& request) {
    constexpr unsigned no_content = 204;
    if (request.method() == http::verb::delete_) {
        context_.target.handle_departure();
        return make_text_response(no_content, "text/plain", "");
    }
    const auto announcement = read_announcement(request.body());
    if (request.method() != http::verb::put || !announcement) {
        return refuse(reason::bad_request);
    }
    context_.target.announce(*announcement);
    return make_text_response(no_content, "text/plain", "");
}

// The call inherits from the request whose id the target sends: its account, key and weight, at least its
// priority, at most its remaining time, and a slice of its retry allowance. A call without such a request
// inherits nothing and has no retry allowance.
dispatch_order target_server::make_order(const http_request& request, const route_settings& route,
                                         const executor::execution_pointer& parent) const {
    bool valid = true;
    const auto requested = timeout_of(request, valid);
    duration timeout = requested && valid ? std::chrono::milliseconds(*requested) : duration(route.timeout);
    timeout = std::min<duration>(timeout, route.timeout_limit);
    dispatch_order order;
    order.deadline = context_.time.now() + timeout;
    order.due = context_.time.now() + std::min<duration>(timeout, route.latency_objective);
    order.request = make_forward_request(request, route);
    auto& forwarded = order.request;
    order.route = route.prefix;
    if (parent != nullptr) {
        order.deadline = std::min(order.deadline, parent->deadline);
        order.due = std::min(order.due, order.deadline);
        forwarded.set_account(parent->request.account());
        forwarded.set_key_id(parent->request.key_id());
        forwarded.set_weight(parent->request.weight());
        // Calls have at least the priority of the request that they belong to.
        forwarded.set_priority(std::max(route.priority, parent->request.priority()));
    }
    const std::uint32_t slice = parent == nullptr ? 0 : parent->allowance.take_slice();
    order.allowance = std::make_shared<retry_allowance>(slice);
    return order;
}

asio::awaitable<http_response> target_server::call(http_request request,
                                                   std::shared_ptr<cancel_token> cancel) {
    if (!context_.configuration.is_ready()) {
        co_return refuse(reason::no_configuration);
    }
    const auto* route = find_route(context_.configuration.current(), std::string(request.target()));
    if (route == nullptr) {
        co_return refuse(reason::no_route);
    }
    const std::string request_id(request[http_protocol{}.request_id_header]);
    const auto parent = context_.request_executor.find_running(request_id);
    if (parent == nullptr && !route->open) {
        co_return refuse(request_id.empty() ? reason::no_key : reason::unknown_context);
    }
    if (parent != nullptr && !route->open) {
        const auto& allowed = route->accounts;
        const auto& account = parent->request.account();
        const bool listed = std::find(allowed.begin(), allowed.end(), account) != allowed.end();
        if (context_.configuration.is_withdrawn(parent->request.key_id())) {
            co_return refuse(reason::withdrawn_key);
        }
        if (account.empty() || (!allowed.empty() && !listed)) {
            co_return refuse(reason::key_not_allowed);
        }
    }
    dispatch_order order = make_order(request, *route, parent);
    order.cancel = cancel;
    if (parent != nullptr) {
        parent->cancel->on_cancel([weak = std::weak_ptr<cancel_token>(cancel)] {
            if (const auto child = weak.lock()) {
                child->request();
            }
        });
    }
    const auto allowance = order.allowance;
    const auto reply = co_await context_.request_dispatcher.dispatch(std::move(order));
    if (parent != nullptr) {
        parent->allowance.refund(allowance->left());
        parent->downstream_ratio = std::max(parent->downstream_ratio, reply.demand_ratio());
    }
    if (reply.outcome() != wire::ran) {
        context_.counters.count_refusal(reason_from_token(reply.reason()));
    }
    co_return make_response(reply);
}

} // namespace dandelionmount
