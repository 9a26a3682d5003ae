#ifndef DANDELIONMOUNT_CONNECTION_PEER_HANDSHAKE_H
#define DANDELIONMOUNT_CONNECTION_PEER_HANDSHAKE_H

#include "dandelionmount/connection/frame_stream.h"
#include "dandelionmount/process/clock.h"

#include <cstdint>
#include <string>

namespace dandelionmount {

/// Identity of this process, and the secret shared by all hosts of the fleet.
struct peer_identity {
    std::string host;
    std::uint64_t incarnation{0};
    std::string secret;
};

/// The process at the other end of a connection.
struct peer_id {
    std::string host;
    std::uint64_t incarnation{0};
};

/// Time limit for a whole handshake; the stream is closed when it is exceeded.
constexpr duration handshake_timeout = std::chrono::seconds(1);

/// Mutual authentication for the connecting side; the secret is not transmitted.
boost::asio::awaitable<result<peer_id>> connect_handshake(frame_stream& stream, const peer_identity& self);
/// The same for the listening side.
boost::asio::awaitable<result<peer_id>> accept_handshake(frame_stream& stream, const peer_identity& self);

/// Proof sent by one side: HMAC-SHA256 over its role, and the host, incarnation and nonce of both sides.
[[nodiscard]] std::string handshake_proof(std::string_view secret, std::string_view role,
                                          const wire::hello& connecting, const wire::hello& listening);

} // namespace dandelionmount

#endif
