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

/// Answers requests with bodies of at most so many bytes at the address until the process ends. Returns the
/// process's exit code.
int run_service(boost::asio::io_context& io, std::string_view address, std::uint32_t most_body_bytes,
                const service_handler& answer);

} // namespace standins

#endif
