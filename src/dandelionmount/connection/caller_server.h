#ifndef DANDELIONMOUNT_CONNECTION_CALLER_SERVER_H
#define DANDELIONMOUNT_CONNECTION_CALLER_SERVER_H

#include "dandelionmount/connection/http_server.h"
#include "dandelionmount/process/account_limiter.h"
#include "dandelionmount/process/configuration_store.h"
#include "dandelionmount/process/metrics.h"
#include "dandelionmount/process/request_claims.h"
#include "dandelionmount/request/dispatcher.h"

#include <memory>
#include <optional>
#include <string>

namespace dandelionmount {

/// What a caller server needs of its process. All of it outlives the server.
struct caller_server_context {
    const time_source& time;
    metrics& counters;
    const configuration_store& configuration;
    account_limiter& rates;
    /// Records of idempotency keys; nullptr where the platform's callers have none.
    request_claims* claims;
    dispatcher& requests;
    std::mt19937_64& random;
    /// The service of this host's target; told to other targets where the protocol wants it.
    std::string service;
    http_protocol protocol;
};

/// Takes callers' requests: checks key, route, rate and idempotency key, and hands them on.
class caller_server {
public:
    caller_server(caller_server_context context, boost::asio::any_io_executor executor,
                  const caller_limits& limits);

    result<void> listen(std::string_view address) { return server_.listen(address); }
    [[nodiscard]] http_server& server() { return server_; }
    /// Refuses requests from now on whose time may last longer than this; calls of running work are taken.
    void set_shutdown_deadline(steady_time end) { end_ = end; }

private:
    /// What the checks of a request came to: who called and where it goes, or why it is refused. The route is
    /// a copy, as a later version may replace it while the request runs.
    struct checked_request {
        reason why{reason::none};
        route_settings route;
        key_owner owner;
        duration timeout{};
        std::uint32_t priority{0};
    };

    boost::asio::awaitable<http_response> answer(http_request request, std::shared_ptr<cancel_token> cancel);
    boost::asio::awaitable<wire::forward_reply> run(const http_request& request, checked_request checked,
                                                    std::shared_ptr<cancel_token> cancel);
    boost::asio::awaitable<wire::forward_reply> run_claimed(const http_request& request, std::string key,
                                                            dispatch_order order);
    [[nodiscard]] dispatch_order make_order(const http_request& request, const checked_request& checked,
                                            std::shared_ptr<cancel_token> cancel) const;
    [[nodiscard]] checked_request check(const http_request& request) const;
    [[nodiscard]] reason check_key(const http_request& request, checked_request& checked) const;
    [[nodiscard]] http_response refuse(const http_request& request, const checked_request& checked,
                                       duration retry_after);
    /// The name that the caller gave the request; empty when it gave none.
    [[nodiscard]] std::string request_name(const http_request& request) const;
    [[nodiscard]] bool is_call(const route_settings& route) const;
    [[nodiscard]] reason check_form(const http_request& request) const;
    void log_end(const http_request& request, const checked_request& checked,
                 const wire::forward_reply& reply, duration took) const;
    void log_refusal(const http_request& request, const checked_request& checked) const;

    caller_server_context context_;
    /// When this process ends, once that is known.
    std::optional<steady_time> end_;
    http_server server_;
};

} // namespace dandelionmount

#endif
