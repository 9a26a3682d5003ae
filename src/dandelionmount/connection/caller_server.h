#ifndef DANDELIONMOUNT_CONNECTION_CALLER_SERVER_H
#define DANDELIONMOUNT_CONNECTION_CALLER_SERVER_H

#include "dandelionmount/connection/http_server.h"
#include "dandelionmount/process/account_limiter.h"
#include "dandelionmount/process/configuration_store.h"
#include "dandelionmount/process/metrics.h"
#include "dandelionmount/process/request_claims.h"
#include "dandelionmount/process/stop_schedule.h"
#include "dandelionmount/request/dispatcher.h"

#include <memory>
#include <string>

namespace dandelionmount {

/// Dependencies of a caller server; all of them outlive it.
struct caller_server_context {
    const time_source& time;
    metrics& counters;
    const configuration_store& configuration;
    account_limiter& limiter;
    /// Records of idempotency keys; nullptr where the platform does not support them.
    request_claims* claims;
    dispatcher& request_dispatcher;
    std::mt19937_64& random;
    /// Service of this host's target, sent along where the protocol has a header for it.
    std::string service;
    http_protocol protocol;
    const stop_schedule& stop;
};

/// Serves callers: checks route, API key, rate and idempotency key, then dispatches the request.
class caller_server {
public:
    caller_server(caller_server_context context, boost::asio::any_io_executor executor,
                  const caller_limits& limits);

    result<void> listen(std::string_view address) { return server_.listen(address); }
    [[nodiscard]] http_server& server() { return server_; }

private:
    /// Result of the checks: caller and route, or the reason for refusal. The route is copied, as a later
    /// configuration version may replace it while the request runs.
    struct checked_request {
        reason why{reason::none};
        route_settings route;
        key_owner owner;
        duration timeout{};
        std::uint32_t priority{0};
    };

    boost::asio::awaitable<http_response> handle_request(http_request request,
                                                         std::shared_ptr<cancel_token> cancel);
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
    /// The request id set by the caller; empty when there is none.
    [[nodiscard]] std::string caller_request_id(const http_request& request) const;
    [[nodiscard]] bool is_call(const route_settings& route) const;
    [[nodiscard]] reason check_form(const http_request& request) const;
    void log_result(const http_request& request, const checked_request& checked,
                    const wire::forward_reply& reply, duration took) const;
    void log_refusal(const http_request& request, const checked_request& checked) const;

    caller_server_context context_;
    http_server server_;
};

} // namespace dandelionmount

#endif
