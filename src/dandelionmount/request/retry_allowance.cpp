#include "dandelionmount/request/retry_allowance.h"

#include <algorithm>

namespace dandelionmount {

bool retry_allowance::use_one() {
    if (left_ == 0) {
        return false;
    }
    --left_;
    return true;
}

std::uint32_t retry_allowance::take_slice() {
    const std::uint32_t slice = (left_ + 1) / 2;
    left_ -= slice;
    return slice;
}

void retry_budget::record_first_attempt(double share) {
    tokens_ = std::min(capacity_, tokens_ + share);
}

bool retry_budget::use_one() {
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

} // namespace dandelionmount
