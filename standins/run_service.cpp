#include "standins/run_service.h"

#include <iostream>

namespace standins {

int run_service(boost::asio::io_context& io, std::string_view address, std::uint32_t most_body_bytes,
                const service_handler& answer) {
    dandelionmount::metrics counters;
    dandelionmount::caller_limits limits;
    limits.body_bytes = most_body_bytes;
    dandelionmount::http_server server(io.get_executor(), limits, counters,
                                       [&answer](dandelionmount::http_request request,
                                                 const std::shared_ptr<dandelionmount::cancel_token>&) {
                                           return answer(std::move(request));
                                       });
    const auto opened = server.listen(address);
    if (!opened) {
        std::cerr << opened.error().message << "\n";
        return 1;
    }
    io.run();
    return 0;
}

} // namespace standins
