#include "dandelionmount/connection/peer_handshake.h"

#include "dandelionmount/connection/scoped_timeout.h"
#include "dandelionmount/process/crypto.h"

#include <boost/asio/this_coro.hpp>

namespace dandelionmount {

namespace asio = boost::asio;

namespace {

constexpr std::size_t nonce_bytes = 16;
constexpr std::string_view connecting_role = "connecting";
constexpr std::string_view listening_role = "listening";

// Closes the stream when the handshake exceeds its timeout.
scoped_timeout limit_handshake(frame_stream& stream, asio::any_io_executor executor) {
    return scoped_timeout(std::move(executor), handshake_timeout, [weak = stream.weak_from_this()] {
        if (const auto open = weak.lock()) {
            open->close();
        }
    });
}

wire::hello make_hello(const peer_identity& self) {
    wire::hello hello;
    hello.set_host(self.host);
    hello.set_incarnation(self.incarnation);
    hello.set_nonce(random_bytes(nonce_bytes));
    return hello;
}

void send_hello(frame_stream& stream, const wire::hello& hello) {
    wire::peer_frame frame;
    *frame.mutable_hello() = hello;
    stream.send(frame);
}

void send_proof(frame_stream& stream, std::string proof) {
    wire::peer_frame frame;
    frame.mutable_proof()->set_mac(std::move(proof));
    stream.send(frame);
}

result<wire::hello> expect_hello(const result<wire::peer_frame>& frame) {
    if (!frame) {
        return frame.error();
    }
    if (!frame.value().has_hello() || frame.value().hello().nonce().size() != nonce_bytes) {
        return failure{"expected a hello frame"};
    }
    return frame.value().hello();
}

bool is_proof(const result<wire::peer_frame>& frame, std::string_view expected) {
    return frame && frame.value().has_proof() && equal_secrets(frame.value().proof().mac(), expected);
}

} // namespace

std::string handshake_proof(std::string_view secret, std::string_view role, const wire::hello& connecting,
                            const wire::hello& listening) {
    std::string text(role);
    for (const auto* side : {&connecting, &listening}) {
        text += '\n' + side->host() + '\n' + std::to_string(side->incarnation()) + '\n' + side->nonce();
    }
    return hmac_sha256(secret, text);
}

asio::awaitable<result<peer_id>> connect_handshake(frame_stream& stream, const peer_identity& self) {
    const auto executor = co_await asio::this_coro::executor;
    const auto limit = limit_handshake(stream, executor);
    const wire::hello own = make_hello(self);
    send_hello(stream, own);
    const auto first = co_await stream.read(max_handshake_frame_bytes);
    const auto other = expect_hello(first);
    if (!other) {
        co_return other.error();
    }
    const auto second = co_await stream.read(max_handshake_frame_bytes);
    if (!is_proof(second, handshake_proof(self.secret, listening_role, own, other.value()))) {
        co_return failure{"the listening host sent no valid proof of the secret"};
    }
    send_proof(stream, handshake_proof(self.secret, connecting_role, own, other.value()));
    co_return peer_id{other.value().host(), other.value().incarnation()};
}

asio::awaitable<result<peer_id>> accept_handshake(frame_stream& stream, const peer_identity& self) {
    const auto executor = co_await asio::this_coro::executor;
    const auto limit = limit_handshake(stream, executor);
    const auto first = co_await stream.read(max_handshake_frame_bytes);
    const auto other = expect_hello(first);
    if (!other) {
        co_return other.error();
    }
    const wire::hello own = make_hello(self);
    send_hello(stream, own);
    send_proof(stream, handshake_proof(self.secret, listening_role, other.value(), own));
    const auto second = co_await stream.read(max_handshake_frame_bytes);
    if (!is_proof(second, handshake_proof(self.secret, connecting_role, other.value(), own))) {
        co_return failure{"the connecting host sent no valid proof of the secret"};
    }
    co_return peer_id{other.value().host(), other.value().incarnation()};
}

} // namespace dandelionmount
