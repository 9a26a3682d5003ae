#include "dandelionmount/process/rendezvous.h"

#include <algorithm>
#include <utility>

namespace dandelionmount {

namespace {

// 64-bit FNV-1a followed by the finalizer of MurmurHash3. std::hash may differ between builds, but every
// process must compute the same order.
constexpr std::uint64_t fnv_offset = 14695981039346656037ULL;
constexpr std::uint64_t fnv_prime = 1099511628211ULL;

std::uint64_t hash_append(std::uint64_t hash, std::string_view text) {
    for (const char character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= fnv_prime;
    }
    return hash;
}

std::uint64_t finalize(std::uint64_t hash) {
    hash ^= hash >> 33U;
    hash *= 0xFF51AFD7ED558CCDULL;
    hash ^= hash >> 33U;
    hash *= 0xC4CEB9FE1A85EC53ULL;
    hash ^= hash >> 33U;
    return hash;
}

} // namespace

std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate) {
    std::uint64_t hash = hash_append(fnv_offset, key);
    hash = hash_append(hash, std::string_view("\0", 1));
    return finalize(hash_append(hash, candidate));
}

std::vector<std::string> rendezvous_choose(std::string_view key, std::vector<std::string> candidates,
                                           std::size_t count) {
    std::vector<std::pair<std::uint64_t, std::string>> weighted;
    weighted.reserve(candidates.size());
    for (auto& candidate : candidates) {
        const std::uint64_t weight = rendezvous_weight(key, candidate);
        weighted.emplace_back(weight, std::move(candidate));
    }
    const std::size_t chosen_count = std::min(count, weighted.size());
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(chosen_count),
                      weighted.end(), [](const auto& left, const auto& right) { return left > right; });
    std::vector<std::string> chosen;
    for (std::size_t index = 0; index < chosen_count; ++index) {
        chosen.push_back(std::move(weighted[index].second));
    }
    return chosen;
}

} // namespace dandelionmount
