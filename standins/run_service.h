#ifndef STANDINS_RUN_SERVICE_H
#define STANDINS_RUN_SERVICE_H

#include "dandelionmount/connection/http_server.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <string_view>

namespace standins {

using service_handler =
    std::function<boost::asio::awaitable<dandelionmount::http_response>(dandelionmount::http_request)>;

/// Serves requests with bodies of at most `max_body_bytes` bytes at `address` until the process ends. Returns
/// the exit code of the process.
int run_service(boost::asio::io_context& io, std::string_view address, std::uint32_t max_body_bytes,
                const service_handler& handler);

} // namespace standins

#endif
