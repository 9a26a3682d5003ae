#ifndef DANDELIONMOUNT_CONNECTION_LISTEN_H
#define DANDELIONMOUNT_CONNECTION_LISTEN_H

#include "dandelionmount/connection/address.h"
#include "dandelionmount/process/result.h"

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>

namespace dandelionmount {

/// Opens an acceptor at "IP:PORT"; on failure returns a message that begins with the address.
[[nodiscard]] inline result<void> open_acceptor(boost::asio::ip::tcp::acceptor& acceptor,
                                                std::string_view address) {
    const auto parsed = parse_address(address);
    if (!parsed) {
        return failure{std::string(address) + ": expected IP:PORT"};
    }
    const boost::asio::ip::tcp::endpoint endpoint(parsed->ip, parsed->port);
    boost::system::error_code error;
    acceptor.open(endpoint.protocol(), error);
    if (!error) {
        acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(endpoint, error);
    }
    if (!error) {
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return failure{std::string(address) + ": " + error.message()};
    }
    return boost::outcome_v2::success();
}

} // namespace dandelionmount

#endif
