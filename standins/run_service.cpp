#include "standins/run_service.h"

#include <iostream>

namespace standins {

int run_service(boost::asio::io_context& io, std::string_view address, std::uint32_t max_body_bytes,
                const service_handler& handler) {
    dandelionmount::metrics counters;
    dandelionmount::caller_limits limits;
    limits.body_bytes = max_body_bytes;
    dandelionmount::http_server server(io.get_executor(), limits, counters,
                                       [&handler](dandelionmount::http_request request,
                                                  const std::shared_ptr<dandelionmount::cancel_token>&) {
                                           return handler(std::move(request));
                                       });
    const auto listening = server.listen(address);
    if (!listening) {
        std::cerr << listening.error().message << "\n";
        return 1;
    }
    io.run();
    return 0;
}

} // namespace standins
