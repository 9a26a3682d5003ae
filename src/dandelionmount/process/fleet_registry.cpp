#include "dandelionmount/process/fleet_registry.h"

#include "dandelionmount/process/crypto.h"
#include "dandelionmount/process/host_record.h"
#include "dandelionmount/process/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <set>

namespace dandelionmount {

namespace asio = boost::asio;

namespace {

constexpr std::string_view secret_key = "secret";
constexpr std::string_view host_prefix = "host/";
constexpr std::size_t secret_bytes = 32;
// A silent connection to the store is noticed as late as this. Few hosts read for the others.
constexpr duration registry_wait = std::chrono::seconds(3);
constexpr duration registry_gather = std::chrono::milliseconds(150);
// A host that has just started is made known together with its target, unless that takes longer than this.
constexpr duration target_wait = std::chrono::seconds(2);
// How long a written record may take to be seen again before it is written once more.
constexpr duration write_check = std::chrono::milliseconds(500);
// Records that change in quick succession are written once.
constexpr duration write_delay = std::chrono::milliseconds(20);
constexpr int most_leave_tries = 2;

std::string key_of_host(std::string_view host) {
    return std::string(host_prefix) + std::string(host);
}

} // namespace

fleet_registry::fleet_registry(fleet_registry_context context)
    : context_(std::move(context)), started_(context_.time.now()),
      follower_({context_.executor, context_.time, context_.store, context_.random, context_.topic,
                 registry_wait, registry_gather, context_.peers},
                {[this](std::span<const keyed_record> records, bool whole) { take_records(records, whole); },
                 [](steady_time) {}}) {}

void fleet_registry::start() {
    follower_.start();
}

void fleet_registry::stop() {
    leaving_ = true;
    follower_.stop();
}

void fleet_registry::take_records(std::span<const keyed_record> records, bool whole) {
    std::set<std::string, std::less<>> named;
    for (const auto& record : records) {
        take_record(record);
        named.insert(record.key);
    }
    if (whole) {
        std::vector<std::string> gone;
        for (const auto& [host, member] : context_.members.others) {
            if (!named.contains(key_of_host(host))) {
                gone.push_back(host);
            }
        }
        for (const auto& host : gone) {
            erase_record(context_.members, host);
        }
        if (!named.contains(key_of_host(context_.members.self.host()))) {
            own_seen_.clear();
        }
    }
    if (secret_.empty() && !offering_) {
        offering_ = true;
        asio::co_spawn(context_.executor, offer_secret(), asio::detached);
    }
    publish();
    context_.on_change();
}

void fleet_registry::take_record(const keyed_record& record) {
    if (record.key == secret_key) {
        // The first secret counts for good: a later one would split the fleet.
        if (secret_.empty() && record.value) {
            secret_ = *record.value;
            log_event(log_level::info, "secret known");
        }
        return;
    }
    if (!record.key.starts_with(host_prefix)) {
        return;
    }
    const std::string host = record.key.substr(host_prefix.size());
    if (host == context_.members.self.host()) {
        own_seen_ = record.value.value_or("");
        return;
    }
    if (!record.value) {
        log_event(log_level::info, "host left", {{"host", host}});
        erase_record(context_.members, host);
        return;
    }
    auto member = read_host_record(host, *record.value);
    if (!member) {
        log_event(log_level::warning, "host record can't be read", {{"host", host}});
        return;
    }
    member->set_state(wire::member_alive);
    log_event(log_level::info, "host known",
              {{"host", host},
               {"address", member->address()},
               {"service", member->service()},
               {"target", std::to_string(member->target())},
               {"slots", std::to_string(member->target_slots())}});
    store_record(context_.members, *member);
}

// The first host of the fleet draws the secret. All may try: the store takes one record at an offset only.
asio::awaitable<void> fleet_registry::offer_secret() {
    keyed_record record{std::string(secret_key), to_hex(random_bytes(secret_bytes))};
    const auto offered = co_await context_.store.append(context_.topic, record, follower_.next());
    offering_ = false;
    if (!offered) {
        log_event(log_level::warning, "secret not offered", {{"cause", offered.error().message}});
        co_await sleep_for(context_.executor, write_check);
        if (secret_.empty() && !offering_ && !leaving_) {
            offering_ = true;
            co_await offer_secret();
        }
    }
}

void fleet_registry::publish() {
    const bool waits_for_target =
        context_.members.self.target() == wire::target_none && context_.time.now() - started_ < target_wait;
    if (!writing_ && !waits_for_target && !leaving_ && !secret_.empty() &&
        own_seen_ != write_host_record(context_.members.self)) {
        writing_ = true;
        asio::co_spawn(context_.executor, write_own_record(), asio::detached);
    }
}

// Writes until the store is seen to hold what is true now, since a write whose answer was lost may still take
// effect later, behind a newer one.
asio::awaitable<void> fleet_registry::write_own_record() {
    while (!leaving_ && own_seen_ != write_host_record(context_.members.self)) {
        co_await sleep_for(context_.executor, write_delay);
        keyed_record record{key_of_host(context_.members.self.host()),
                            write_host_record(context_.members.self)};
        const std::string written = *record.value;
        const auto appended = co_await context_.store.append(context_.topic, std::move(record), std::nullopt);
        if (!appended) {
            log_event(log_level::warning, "own record not written", {{"cause", appended.error().message}});
        }
        const auto until = context_.time.now() + write_check;
        while (own_seen_ != written && context_.time.now() < until && !leaving_) {
            co_await sleep_for(context_.executor, write_delay);
        }
    }
    writing_ = false;
}

asio::awaitable<void> fleet_registry::leave() {
    leaving_ = true;
    for (int tries = 0; tries < most_leave_tries; ++tries) {
        keyed_record record{key_of_host(context_.members.self.host()), std::nullopt};
        const auto appended = co_await context_.store.append(context_.topic, std::move(record), std::nullopt);
        if (appended) {
            has_left_ = true;
            co_return;
        }
        log_event(log_level::warning, "leave not written", {{"cause", appended.error().message}});
    }
}

asio::awaitable<void> fleet_registry::remove(std::string host) {
    keyed_record record{key_of_host(host), std::nullopt};
    const auto appended = co_await context_.store.append(context_.topic, std::move(record), std::nullopt);
    const std::string outcome = appended ? "removed" : appended.error().message;
    log_event(log_level::info, "unreachable host removed", {{"host", host}, {"outcome", outcome}});
}

} // namespace dandelionmount
