#ifndef DANDELIONMOUNT_PROCESS_METRICS_H
#define DANDELIONMOUNT_PROCESS_METRICS_H

#include "dandelionmount/process/clock.h"
#include "dandelionmount/process/reason.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace dandelionmount {

/// Count, sum, and estimated median and 99th percentile of durations.
class duration_summary {
public:
    duration_summary();
    void add(duration value);
    /// Appends the summary in Prometheus text format, in seconds.
    void render(std::string& text, std::string_view name) const;

private:
    using statistics =
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                   boost::accumulators::tag::max,
                                   boost::accumulators::tag::extended_p_square>;
    boost::accumulators::accumulator_set<double, statistics> values_;
};

/// Events counted since the process started, other than refusals and retries by reason.
enum class event {
    caller_connections,
    caller_requests,
    requests_unanswered,
    answers,
    outcomes_unknown,
    attempts,
    target_calls,
    target_crashes,
    settle_questions,
    settle_proved,
    cancels,
    duplicate_requests_joined,
    peer_connections,
    peer_strangers,
    peer_malformed,
    datagrams_sent,
    datagrams_received,
    datagram_bytes_sent,
    datagrams_rejected,
    token_requests,
    tokens_granted,
    log_appends,
    log_failures,
    configuration_changes,
    store_era_changes,
    members_declared_dead,
    count_
};

constexpr std::size_t event_count = static_cast<std::size_t>(event::count_);

/// Why the platform's record store is called.
enum class store_call {
    /// The newest records of a topic are read, at the start and after its history was trimmed.
    snapshot,
    /// A topic is read on behalf of the fleet.
    poll,
    /// No other host has reported the end of a topic for too long.
    stale_end,
    /// A topic has newer records, which no other host could hand on.
    catch_up,
    own_record,
    secret,
    /// The record of a host that is gone is removed.
    removal,
    /// This host's own record is removed.
    leave,
    count_
};

constexpr std::size_t store_call_count = static_cast<std::size_t>(store_call::count_);

/// The label of the counter.
[[nodiscard]] std::string_view store_call_label(store_call cause);

/// All counters of one process.
class metrics {
public:
    void count_refusal(reason why);
    void count_retry(reason why);
    void count(event what, std::uint64_t by = 1);
    void count_store_call(store_call cause);
    [[nodiscard]] std::uint64_t refusals(reason why) const;
    [[nodiscard]] std::uint64_t retries(reason why) const;
    [[nodiscard]] std::uint64_t total(event what) const;
    [[nodiscard]] std::uint64_t store_calls(store_call cause) const;
    duration_summary& request_time() { return request_time_; }
    duration_summary& target_time() { return target_time_; }
    /// Delay of event loop timers beyond the requested time.
    duration_summary& loop_delay() { return loop_delay_; }
    /// Prometheus text format.
    [[nodiscard]] std::string render() const;

private:
    std::array<std::uint64_t, reason_count> refusals_{};
    std::array<std::uint64_t, reason_count> retries_{};
    std::array<std::uint64_t, event_count> events_{};
    std::array<std::uint64_t, store_call_count> store_calls_{};
    duration_summary request_time_;
    duration_summary target_time_;
    duration_summary loop_delay_;
};

} // namespace dandelionmount

#endif
