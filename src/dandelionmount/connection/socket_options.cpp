#include "dandelionmount/connection/socket_options.h"

#include <cerrno>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace dandelionmount {

namespace {

// Delay before the first keepalive probe of an idle connection and between probes; the kernel counts in
// seconds.
constexpr int probe_interval_s = 1;

void set_option(int socket, int level, int option, int value) {
    // Errors are ignored: only the detection of dead peers depends on these options, and users of the
    // connection have their own timeouts.
    static_cast<void>(::setsockopt(socket, level, option, &value, sizeof value));
}

} // namespace

void set_unacknowledged_timeout(boost::asio::ip::tcp::socket& socket, duration timeout) {
    const int handle = socket.native_handle();
    set_option(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(handle, IPPROTO_TCP, TCP_KEEPIDLE, probe_interval_s);
    set_option(handle, IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_s);
    set_option(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(to_milliseconds(timeout)));
}

bool is_idle(boost::asio::ip::tcp::socket& socket) {
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace dandelionmount
