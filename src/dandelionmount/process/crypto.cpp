#include "dandelionmount/process/crypto.h"

#include "dandelionmount/process/result.h"

#include <array>
#include <cstring>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace dandelionmount {

namespace {

constexpr std::size_t sha256_bytes = 32;
constexpr std::size_t token_bytes = 16;

} // namespace

std::string to_hex(std::string_view bytes) {
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned low_bits = 0x0F;
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const char raw : bytes) {
        const auto value = static_cast<unsigned char>(raw);
        text.push_back(digits[value >> 4U]);
        text.push_back(digits[value & low_bits]);
    }
    return text;
}

std::string sha256_hex(std::string_view text) {
    std::array<unsigned char, sha256_bytes> digest{};
    unsigned length = 0;
    const int done = EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr);
    DANDELIONMOUNT_INVARIANT(done == 1 && length == sha256_bytes);
    return to_hex({reinterpret_cast<const char*>(digest.data()), digest.size()});
}

std::string hmac_sha256(std::string_view secret, std::string_view text) {
    std::array<unsigned char, sha256_bytes> digest{};
    unsigned length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data(), &length);
    DANDELIONMOUNT_INVARIANT(length == sha256_bytes);
    return {reinterpret_cast<const char*>(digest.data()), digest.size()};
}

bool equal_secrets(std::string_view left, std::string_view right) {
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string random_bytes(std::size_t count) {
    std::string bytes(count, '\0');
    const int done = RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(count));
    DANDELIONMOUNT_INVARIANT(done == 1);
    return bytes;
}

std::string random_token() {
    return to_hex(random_bytes(token_bytes));
}

std::uint64_t random_number() {
    std::uint64_t number = 0;
    while (number == 0) {
        const std::string bytes = random_bytes(sizeof number);
        std::memcpy(&number, bytes.data(), sizeof number);
    }
    return number;
}

std::optional<std::string> base64_decode(std::string_view text) {
    constexpr std::size_t group = 4;
    constexpr std::size_t group_bytes = 3;
    if (text.size() % group != 0) {
        return std::nullopt;
    }
    std::string bytes(text.size() / group * group_bytes, '\0');
    // The library takes unsigned characters.
    auto* output = reinterpret_cast<unsigned char*>(bytes.data());
    const auto* input = reinterpret_cast<const unsigned char*>(text.data());
    const int count = EVP_DecodeBlock(output, input, static_cast<int>(text.size()));
    if (count < 0) {
        return std::nullopt;
    }
    // The library decodes padding as zero bytes.
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') {
        ++padding;
    }
    bytes.resize(static_cast<std::size_t>(count) - padding);
    return bytes;
}

} // namespace dandelionmount
