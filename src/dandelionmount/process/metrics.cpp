#include "dandelionmount/process/metrics.h"

namespace dandelionmount {

namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 2> quantiles = {0.5, 0.99};

constexpr std::array<std::string_view, event_count> event_names = {
    "caller_connections",
    "caller_requests",
    "requests_unanswered",
    "answers",
    "outcomes_unknown",
    "attempts",
    "target_calls",
    "target_crashes",
    "settle_questions",
    "settle_proved",
    "cancels",
    "duplicate_requests_joined",
    "peer_connections",
    "peer_strangers",
    "peer_malformed",
    "datagrams_sent",
    "datagrams_received",
    "datagram_bytes_sent",
    "datagrams_rejected",
    "token_requests",
    "tokens_granted",
    "log_appends",
    "log_failures",
    "configuration_changes",
    "store_era_changes",
    "members_declared_dead",
};

constexpr std::array<std::string_view, store_call_count> store_call_labels = {
    "snapshot", "poll", "stale_end", "catch_up", "own_record", "secret", "removal", "leave",
};

void render_line(std::string& text, std::string_view name, std::string_view label, double value) {
    text.append("dandelionmount_").append(name);
    if (!label.empty()) {
        text.append("{").append(label).append("}");
    }
    text.append(" ").append(std::to_string(value)).append("\n");
}

void render_count(std::string& text, std::string_view name, std::string_view label, std::uint64_t value) {
    text.append("dandelionmount_").append(name);
    if (!label.empty()) {
        text.append("{").append(label).append("}");
    }
    text.append(" ").append(std::to_string(value)).append("\n");
}

void render_reasons(std::string& text, std::string_view name,
                    const std::array<std::uint64_t, reason_count>& counts) {
    text.append("# TYPE dandelionmount_").append(name).append(" counter\n");
    for (std::size_t index = 1; index < counts.size(); ++index) {
        std::string label = "reason=\"";
        label.append(reason_token(static_cast<reason>(index))).append("\"");
        render_count(text, name, label, counts.at(index));
    }
}

} // namespace

std::string_view store_call_label(store_call cause) {
    return store_call_labels.at(static_cast<std::size_t>(cause));
}

duration_summary::duration_summary() : values_(accumulators::extended_p_square_probabilities = quantiles) {}

void duration_summary::add(duration value) {
    values_(to_seconds(value));
}

void duration_summary::render(std::string& text, std::string_view name) const {
    text.append("# TYPE dandelionmount_").append(name).append(" summary\n");
    for (std::size_t index = 0; index < quantiles.size(); ++index) {
        const std::string label = "quantile=\"" + std::to_string(quantiles.at(index)) + "\"";
        const bool any = accumulators::count(values_) > 0;
        const auto position = static_cast<std::ptrdiff_t>(index);
        render_line(text, name, label, any ? accumulators::extended_p_square(values_)[position] : 0.0);
    }
    render_line(text, std::string(name) + "_sum", "", accumulators::sum(values_));
    render_count(text, std::string(name) + "_count", "", accumulators::count(values_));
}

void metrics::count_refusal(reason why) {
    ++refusals_.at(static_cast<std::size_t>(why));
}

void metrics::count_retry(reason why) {
    ++retries_.at(static_cast<std::size_t>(why));
}

void metrics::count(event what, std::uint64_t by) {
    events_.at(static_cast<std::size_t>(what)) += by;
}

void metrics::count_store_call(store_call cause) {
    ++store_calls_.at(static_cast<std::size_t>(cause));
}

std::uint64_t metrics::store_calls(store_call cause) const {
    return store_calls_.at(static_cast<std::size_t>(cause));
}

std::uint64_t metrics::refusals(reason why) const {
    return refusals_.at(static_cast<std::size_t>(why));
}

std::uint64_t metrics::retries(reason why) const {
    return retries_.at(static_cast<std::size_t>(why));
}

std::uint64_t metrics::total(event what) const {
    return events_.at(static_cast<std::size_t>(what));
}

std::string metrics::render() const {
    std::string text;
    render_reasons(text, "refusals_total", refusals_);
    render_reasons(text, "retries_total", retries_);
    for (std::size_t index = 0; index < event_count; ++index) {
        const std::string name = std::string(event_names.at(index)) + "_total";
        text.append("# TYPE dandelionmount_").append(name).append(" counter\n");
        render_count(text, name, "", events_.at(index));
    }
    text.append("# TYPE dandelionmount_store_calls_total counter\n");
    for (std::size_t index = 0; index < store_call_count; ++index) {
        const std::string label = "cause=\"" + std::string(store_call_labels.at(index)) + "\"";
        render_count(text, "store_calls_total", label, store_calls_.at(index));
    }
    request_time_.render(text, "request_seconds");
    target_time_.render(text, "target_seconds");
    loop_delay_.render(text, "loop_delay_seconds");
    return text;
}

} // namespace dandelionmount
