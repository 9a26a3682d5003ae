#ifndef DANDELIONMOUNT_CONNECTION_PEER_HANDSHAKE_H
#define DANDELIONMOUNT_CONNECTION_PEER_HANDSHAKE_H

#include "dandelionmount/connection/frame_stream.h"
#include "dandelionmount/process/clock.h"

#include <cstdint>
#include <string>

namespace dandelionmount {

/// Who this process is, and the secret that all hosts of the fleet share.
struct peer_identity {
    std::string host;
    std::uint64_t incarnation{0};
    std::string secret;
};

/// The process at the other end of a connection.
struct peer_name {
    std::string host;
    std::uint64_t incarnation{0};
};

/// How long a handshake may take.
constexpr duration handshake_limit = std::chrono::seconds(1);

/// Proves knowledge of the secret to the listening side and has it proved in turn; the secret is not sent.
boost::asio::awaitable<result<peer_name>> connect_handshake(frame_stream& stream, const peer_identity& self);
/// The same for the listening side.
boost::asio::awaitable<result<peer_name>> accept_handshake(frame_stream& stream, const peer_identity& self);

/// The proof that one side gives: HMAC over its role, both nonces and both names.
[[nodiscard]] std::string handshake_proof(std::string_view secret, std::string_view role,
                                          const wire::hello& connecting, const wire::hello& listening);

} // namespace dandelionmount

#endif
