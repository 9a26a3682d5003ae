#ifndef DANDELIONMOUNT_CONNECTION_SOCKET_OPTIONS_H
#define DANDELIONMOUNT_CONNECTION_SOCKET_OPTIONS_H

#include "dandelionmount/process/clock.h"

#include <boost/asio/ip/tcp.hpp>

namespace dandelionmount {

/// Makes the kernel close a connection whose peer acknowledges nothing for `timeout`, with or without data in
/// flight. Errors are ignored: users of the connection have their own timeouts.
void set_unacknowledged_timeout(boost::asio::ip::tcp::socket& socket, duration timeout);
/// Whether a connection is open, with neither unread bytes nor an end of stream.
[[nodiscard]] bool is_idle(boost::asio::ip::tcp::socket& socket);

} // namespace dandelionmount

#endif
