#include "dandelionmount/process/clock.h"

#include "dandelionmount/process/result.h"

#include <algorithm>
#include <ctime>

namespace dandelionmount {

steady_time system_time_source::now() const {
    return std::chrono::steady_clock::now();
}

steady_time system_time_source::now_with_suspension() const {
    timespec read{};
    const int failed = ::clock_gettime(CLOCK_BOOTTIME, &read);
    DANDELIONMOUNT_INVARIANT(failed == 0);
    return steady_time(std::chrono::seconds(read.tv_sec) + std::chrono::nanoseconds(read.tv_nsec));
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
