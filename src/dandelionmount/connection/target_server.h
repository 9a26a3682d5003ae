#ifndef DANDELIONMOUNT_CONNECTION_TARGET_SERVER_H
#define DANDELIONMOUNT_CONNECTION_TARGET_SERVER_H

#include "dandelionmount/connection/http_server.h"
#include "dandelionmount/process/configuration_store.h"
#include "dandelionmount/process/local_target.h"
#include "dandelionmount/request/dispatcher.h"
#include "dandelionmount/request/executor.h"

#include <memory>

namespace dandelionmount {

/// Dependencies of a target server; all of them outlive it.
struct target_server_context {
    const time_source& time;
    metrics& counters;
    const configuration_store& configuration;
    local_target& target;
    executor& request_executor;
    dispatcher& request_dispatcher;
};

/// Serves this host's target: its announcements, and the calls it makes for requests that it runs.
class target_server {
public:
    target_server(target_server_context context, boost::asio::any_io_executor executor,
                  const caller_limits& limits);

    result<void> listen(std::string_view address) { return server_.listen(address); }
    [[nodiscard]] http_server& server() { return server_; }

private:
    boost::asio::awaitable<http_response> handle_request(http_request request,
                                                         std::shared_ptr<cancel_token> cancel);
    boost::asio::awaitable<http_response> call(http_request request, std::shared_ptr<cancel_token> cancel);
    [[nodiscard]] http_response handle_announcement(const http_request& request);
    [[nodiscard]] http_response refuse(reason why);
    [[nodiscard]] dispatch_order make_order(const http_request& request, const route_settings& route,
                                            const executor::execution_pointer& parent) const;

    target_server_context context_;
    http_server server_;
};

} // namespace dandelionmount

#endif
