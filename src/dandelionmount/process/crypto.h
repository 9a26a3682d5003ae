#ifndef DANDELIONMOUNT_PROCESS_CRYPTO_H
#define DANDELIONMOUNT_PROCESS_CRYPTO_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dandelionmount {

/// SHA-256 of the text as lower-case hexadecimal.
[[nodiscard]] std::string sha256_hex(std::string_view text);
/// HMAC-SHA256 as 32 raw bytes.
[[nodiscard]] std::string hmac_sha256(std::string_view secret, std::string_view text);
/// Compares in constant time to prevent timing attacks.
[[nodiscard]] bool equal_secrets(std::string_view left, std::string_view right);
/// `count` bytes from the system's cryptographic random generator.
[[nodiscard]] std::string random_bytes(std::size_t count);
/// An unguessable token of 32 hexadecimal digits.
[[nodiscard]] std::string random_token();
/// A random 64-bit number, never zero.
[[nodiscard]] std::uint64_t random_number();
/// Decodes base64 with padding; nothing for any other text.
[[nodiscard]] std::optional<std::string> base64_decode(std::string_view text);
/// Lower-case hexadecimal of raw bytes.
[[nodiscard]] std::string to_hex(std::string_view bytes);

} // namespace dandelionmount

#endif
