#include "dandelionmount/process/target_rate.h"

#include <algorithm>
#include <cmath>

namespace dandelionmount {

namespace {

// Time over which unused tokens accumulate, in seconds. Short, as the target is already in need.
constexpr double burst_seconds = 0.25;
// A target that names a limit near zero still gets a request now and then, as only answers lift the limit.
constexpr double min_per_second = 0.5;

double capacity(double per_second) {
    return std::max(1.0, per_second * burst_seconds);
}

double tokens_at(const target_rate& rate, steady_time now) {
    const double added = *rate.per_second * to_seconds(std::max(duration{0}, now - rate.filled_at));
    return std::min(capacity(*rate.per_second), rate.tokens + added);
}

void set_rate(target_rate& rate, double per_second, steady_time now) {
    // A limit that was lifted for a moment does not start again with a full bucket.
    rate.tokens = rate.per_second ? tokens_at(rate, now) : 0;
    rate.filled_at = now;
    rate.per_second = std::max(min_per_second, per_second);
    rate.tokens = std::min(rate.tokens, capacity(*rate.per_second));
}

} // namespace

void record_named_rate(target_rate& rate, double per_second, steady_time now) {
    if (!std::isfinite(per_second) || per_second < 0) {
        return;
    }
    set_rate(rate, per_second, now);
    rate.named_at = now;
    rate.answered = true;
}

void record_unnamed_rate(target_rate& rate, steady_time sent_at) {
    rate.answered = true;
    if (rate.per_second && sent_at > rate.named_at) {
        rate.per_second.reset();
    }
}

void adopt_rate(target_rate& rate, double per_second, steady_time now) {
    if (!rate.answered && !rate.per_second && std::isfinite(per_second) && per_second > 0) {
        set_rate(rate, per_second, now);
        rate.named_at = now;
    }
}

bool take_token(target_rate& rate, steady_time now) {
    if (!rate.per_second) {
        return true;
    }
    rate.tokens = tokens_at(rate, now);
    rate.filled_at = now;
    if (rate.tokens < 1) {
        return false;
    }
    rate.tokens -= 1;
    return true;
}

duration time_to_next_token(const target_rate& rate, steady_time now) {
    if (!rate.per_second) {
        return duration{0};
    }
    return from_seconds(std::max(0.0, 1 - tokens_at(rate, now)) / *rate.per_second);
}

} // namespace dandelionmount
