#include "dandelionmount/version/duration_text.h"

#include <charconv>
#include <cmath>

namespace dandelionmount {

namespace {

constexpr double milliseconds_per_second = 1000;
constexpr double max_milliseconds = 24.0 * 3600 * milliseconds_per_second;

} // namespace

std::optional<std::chrono::milliseconds> read_duration(std::string_view text) {
    double number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc()) {
        return std::nullopt;
    }
    const std::string_view unit = text.substr(static_cast<std::size_t>(parsed.ptr - text.data()));
    if (unit != "ms" && unit != "s") {
        return std::nullopt;
    }
    const double milliseconds = unit == "s" ? number * milliseconds_per_second : number;
    if (!(milliseconds >= 0) || milliseconds > max_milliseconds) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(std::llround(milliseconds));
}

} // namespace dandelionmount
