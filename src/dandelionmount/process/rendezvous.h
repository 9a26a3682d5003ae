#ifndef DANDELIONMOUNT_PROCESS_RENDEZVOUS_H
#define DANDELIONMOUNT_PROCESS_RENDEZVOUS_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionmount {

/// Weight of a candidate for a key; the same in every process.
[[nodiscard]] std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate);

/// The `count` candidates of highest weight for the key, in descending order.
/// Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998.
[[nodiscard]] std::vector<std::string>
rendezvous_choose(std::string_view key, std::vector<std::string> candidates, std::size_t count);

} // namespace dandelionmount

#endif
