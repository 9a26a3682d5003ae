#include "dandelionmount/process/configuration_source.h"

#include "dandelionmount/process/logging.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace dandelionmount {

namespace asio = boost::asio;

namespace {

// How long one read of the configuration waits for a record. A known end of the topic dates from the start of
// its read, so it may be twice as old as this when the next read ends; other hosts rely on it for
// `end_validity`.
constexpr duration poll_timeout = std::chrono::milliseconds(600);
// A host without any configuration has nothing that could be outdated, and only waits for the first one.
constexpr duration first_poll_timeout = std::chrono::seconds(3);

} // namespace

configuration_source::configuration_source(configuration_source_context context)
    : context_(std::move(context)),
      follower_({context_.executor, context_.time, context_.counters, context_.store, context_.random,
                 context_.topic,
                 [this] { return context_.configuration.is_ready() ? poll_timeout : first_poll_timeout; },
                 [] { return duration{0}; }, context_.peers},
                {[this](std::span<const keyed_record> records, bool) { apply_records(records); },
                 [this](steady_time as_of) { record_freshness(as_of); }}) {
    comparison_.trust_began_at = context_.time.now_with_suspension();
}

// Each record holds the whole configuration, so only the newest counts.
void configuration_source::apply_records(std::span<const keyed_record> records) {
    const auto newest = std::find_if(records.rbegin(), records.rend(), [this](const keyed_record& record) {
        return record.key == context_.key && record.value;
    });
    if (newest != records.rend()) {
        context_.apply(*newest->value);
    }
}

void configuration_source::update_trust() {
    const auto changed_at = follower_.era_changed_at();
    comparison_.trust_began_at = changed_at.value_or(comparison_.trust_began_at);
}

// The store may have lost a configuration that hosts have acted on. The later version wins, so a host that
// lacks it takes it from the others, unless it is about to read it anyway.
void configuration_source::compare_version(const std::string& host, std::uint64_t version) {
    update_trust();
    const auto now = context_.time.now_with_suspension();
    const auto own_version = context_.configuration.state().document_version;
    record_version_elsewhere(comparison_, version, now);
    if (version > own_version && !is_up_to_date(comparison_, own_version, now) && !is_fetching_) {
        is_fetching_ = true;
        asio::co_spawn(context_.executor, fetch_from(host), asio::detached);
    }
}

asio::awaitable<void> configuration_source::fetch_from(std::string host) {
    const auto found = co_await context_.fetch_newest(host);
    log_event(log_level::info, "later configuration requested from another host",
              {{"host", host}, {"outcome", found ? "received" : found.error().message}});
    if (found) {
        apply_records(found.value().records);
    }
    is_fetching_ = false;
}

void configuration_source::record_freshness(steady_time as_of) {
    update_trust();
    const auto now = context_.time.now_with_suspension();
    const auto own_version = context_.configuration.state().document_version;
    if (record_proof(comparison_, own_version, context_.contact(), now)) {
        context_.configuration.record_freshness(as_of);
    }
}

} // namespace dandelionmount
