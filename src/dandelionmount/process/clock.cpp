#include "dandelionmount/process/clock.h"

#include <algorithm>

namespace dandelionmount {

steady_time system_time_source::now() const {
    return std::chrono::steady_clock::now();
}

double to_seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

duration from_seconds(double seconds) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

std::uint32_t to_milliseconds(duration value) {
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    return static_cast<std::uint32_t>(std::max<decltype(count)>(count, 0));
}

} // namespace dandelionmount
