#ifndef DANDELIONMOUNT_VERSION_DURATION_TEXT_H
#define DANDELIONMOUNT_VERSION_DURATION_TEXT_H

#include <chrono>
#include <optional>
#include <string_view>

namespace dandelionmount {

/// Parses a number with unit "ms" or "s", such as "1500ms" or "2.5s". Nothing for any other text, a negative
/// value or more than a day.
[[nodiscard]] std::optional<std::chrono::milliseconds> read_duration(std::string_view text);

} // namespace dandelionmount

#endif
