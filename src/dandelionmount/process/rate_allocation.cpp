#include "dandelionmount/process/rate_allocation.h"

#include <algorithm>
#include <cmath>

namespace dandelionmount {

namespace {

// Time over which the demand is averaged.
constexpr duration demand_window = std::chrono::milliseconds(500);
// The stock covers the demand of this time: the interval between reports, and some more.
constexpr duration stock_time = std::chrono::milliseconds(350);
// What a new bucket holds of the burst. An earlier bucket may have been emptied within the same window, so
// that it has to fit into what the operators tolerate above the rate, a tenth.
constexpr double first_part_of_burst = 0.1;
constexpr double least_first_tokens = 10;
// An account above its rate asks out of turn this often, at most.
constexpr duration out_of_turn_interval = std::chrono::milliseconds(100);
// A bucket smaller than one request would never admit any.
constexpr double least_depth = 1;

} // namespace

bool spend(token_stock& stock, const fleet_share& share, bool in_touch, steady_time now) {
    if (in_touch) {
        stock.own_tokens = 0;
        stock.own_filled = now;
        if (stock.valid_until <= now || stock.tokens < 1) {
            return false;
        }
        stock.tokens -= 1;
        return true;
    }
    const double part = 1 / static_cast<double>(std::max<std::size_t>(1, share.hosts));
    const double passed = stock.own_filled == steady_time{} ? 0 : to_seconds(now - stock.own_filled);
    stock.own_filled = now;
    stock.own_tokens =
        std::min(std::max(least_depth, share.burst * part), stock.own_tokens + passed * share.rate * part);
    if (stock.own_tokens < 1) {
        return false;
    }
    stock.own_tokens -= 1;
    return true;
}

void return_token(token_stock& stock, bool in_touch) {
    if (in_touch) {
        stock.tokens += 1;
    } else {
        stock.own_tokens += 1;
    }
}

void note_report(token_stock& stock, steady_time now) {
    const double passed = stock.reported == steady_time{} ? 1 : to_seconds(now - stock.reported);
    if (passed <= 0) {
        return;
    }
    const double weight = std::min(1.0, passed / to_seconds(demand_window));
    stock.demand += weight * (stock.arrived / passed - stock.demand);
    stock.arrived = 0;
    stock.reported = now;
}

std::uint32_t wanted_tokens(const token_stock& stock, bool urgent, steady_time now) {
    const double here = stock.valid_until > now ? stock.tokens : 0;
    const double wanted = stock.demand * to_seconds(stock_time) + (urgent ? 1 : 0) - here;
    return static_cast<std::uint32_t>(std::max(wanted, 0.0));
}

bool may_ask_out_of_turn(const token_stock& stock, steady_time now) {
    return stock.pressure < 1 || now - stock.asked_out_of_turn >= out_of_turn_interval;
}

void take_tokens(token_stock& stock, double tokens, steady_time until, steady_time now) {
    const double here = stock.valid_until > now ? stock.tokens : 0;
    stock.tokens = here + tokens;
    stock.valid_until = std::max(stock.valid_until, until);
}

std::uint32_t grant_tokens(account_bucket& bucket, std::uint32_t wanted, const fleet_share& share,
                           double heard, steady_time now) {
    if (heard > bucket.most_heard) {
        const double first = share.burst * first_part_of_burst + least_first_tokens;
        bucket.tokens += first * (heard - bucket.most_heard);
        bucket.most_heard = heard;
    }
    const double passed = bucket.filled == steady_time{} ? 0 : to_seconds(now - bucket.filled);
    bucket.filled = now;
    bucket.tokens =
        std::min(std::max(least_depth, share.burst * heard), bucket.tokens + passed * share.rate * heard);
    const double granted = std::floor(std::min(static_cast<double>(wanted), bucket.tokens));
    bucket.tokens -= granted;
    return static_cast<std::uint32_t>(granted);
}

double note_demand(account_bucket& bucket, std::string_view host, double demand, double rate,
                   steady_time now) {
    bucket.demands[std::string(host)] = {demand, now};
    std::erase_if(bucket.demands,
                  [now](const auto& entry) { return now - entry.second.second > touch_validity; });
    double total = 0;
    for (const auto& [name, reported] : bucket.demands) {
        total += reported.first;
    }
    return rate > 0 ? total / rate : 0;
}

} // namespace dandelionmount
