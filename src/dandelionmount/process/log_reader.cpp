#include "dandelionmount/process/log_reader.h"

#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/process/crypto.h"
#include "dandelionmount/process/logging.h"
#include "dandelionmount/process/rendezvous.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace dandelionmount {

namespace asio = boost::asio;

namespace {

// Well below the time for which a read of the log confirms the slot lease.
constexpr duration poll_timeout = std::chrono::milliseconds(500);
constexpr duration role_check_interval = std::chrono::milliseconds(200);
constexpr duration min_backoff = std::chrono::milliseconds(100);
constexpr duration max_backoff = std::chrono::milliseconds(2000);
constexpr duration fetch_timeout = std::chrono::seconds(1);
constexpr duration append_check_interval = std::chrono::seconds(1);
// Rate at which a whole fleet that starts appends holder records; far below the capacity of the log.
constexpr double slot_registrations_per_second = 100;
constexpr std::uint64_t records_between_snapshots = 100;
constexpr duration snapshot_interval = std::chrono::minutes(10);

duration jitter(std::mt19937_64& random, duration max_jitter) {
    std::uniform_int_distribution<duration::rep> draw(0, max_jitter.count());
    return duration(draw(random));
}

} // namespace

log_reader::log_reader(log_reader_context context)
    : context_(std::move(context)), last_snapshot_at_(context_.time.now()) {}

void log_reader::start() {
    asio::co_spawn(context_.executor, read_log(), asio::detached);
    asio::co_spawn(context_.executor, register_slot_holder(), asio::detached);
    asio::co_spawn(context_.executor, append_due_records(), asio::detached);
}

bool log_reader::is_log_reader() const {
    if (!caught_up_ || !context_.configuration.is_ready()) {
        return true;
    }
    std::vector<std::string> hosts{context_.members.self.host()};
    for (const auto& [host, record] : context_.members.others) {
        if (record.state() == wire::member_alive && record.zone() == context_.members.self.zone()) {
            hosts.push_back(host);
        }
    }
    const auto readers = rendezvous_choose("log reader", std::move(hosts), log_readers_per_zone);
    return std::find(readers.begin(), readers.end(), context_.members.self.host()) != readers.end();
}

bool log_reader::is_log_writer() const {
    std::vector<std::string> hosts = alive_hosts(context_.members);
    hosts.push_back(context_.members.self.host());
    return rendezvous_choose("log writer", std::move(hosts), 1).front() == context_.members.self.host();
}

asio::awaitable<void> log_reader::read_log() {
    duration backoff = min_backoff;
    while (!stopped_) {
        if (!is_log_reader()) {
            co_await sleep_for(context_.executor, role_check_interval);
            continue;
        }
        const bool succeeded = co_await read_once();
        if (succeeded) {
            backoff = min_backoff;
            continue;
        }
        // Jitter keeps the readers from returning all at once when the log is back.
        co_await sleep_for(context_.executor, backoff / 2 + jitter(context_.random, backoff));
        backoff = std::min(2 * backoff, max_backoff);
    }
}

asio::awaitable<bool> log_reader::read_once() {
    const auto started_at = context_.time.now();
    const std::uint64_t from = context_.configuration.state().next_offset;
    // Reads don't wait for new records until this process has caught up, that is, reached the end of the log.
    const duration wait = caught_up_ ? poll_timeout : duration::zero();
    const auto read = co_await context_.log.read(from, wait);
    if (!read) {
        context_.counters.count(event::log_failures);
        log_event(log_level::debug, "log read failed", {{"cause", read.error().message}});
        co_return false;
    }
    const log_records& page = read.value();
    if (page.first > from) {
        const bool started = co_await start_from_snapshot(page);
        co_return started;
    }
    if (page.next < from) {
        log_event(log_level::error, "the log ends before the offset that was already read",
                  {{"next", std::to_string(page.next)}, {"read", std::to_string(from)}});
        co_return false;
    }
    const std::uint64_t version = context_.configuration.state().version;
    context_.configuration.apply_records(page.from, page.records);
    if (context_.configuration.state().version != version) {
        context_.counters.count(event::configuration_changes);
    }
    last_read_at_ = context_.time.now();
    caught_up_ = caught_up_ || context_.configuration.state().next_offset >= page.next;
    context_.configuration.record_contact();
    // Counted from the start of the read, so that a pause of this process can't make an old answer look
    // fresh.
    update_slot_lease(started_at);
    co_return true;
}

// The records after the current state are gone: loads the newest snapshot that the remaining records
// continue.
asio::awaitable<bool> log_reader::start_from_snapshot(const log_records& page) {
    std::uint64_t from = page.first;
    std::optional<configuration_state> found;
    while (from < page.next) {
        const auto read = co_await context_.log.read(from, duration::zero());
        if (!read || read.value().records.empty()) {
            break;
        }
        for (const auto& record : read.value().records) {
            auto snapshot = read_snapshot(record);
            const bool usable = snapshot && snapshot.value().next_offset >= page.first;
            if (usable && (!found || snapshot.value().next_offset > found->next_offset)) {
                found = std::move(snapshot.value());
            }
        }
        from = read.value().from + read.value().records.size();
    }
    if (!found) {
        log_event(log_level::error, "records are missing from the log and no later snapshot was found");
        co_return false;
    }
    log_event(log_level::info, "configuration loaded from a snapshot",
              {{"offset", std::to_string(found->next_offset)}});
    context_.configuration.adopt(std::move(*found));
    co_return true;
}

std::uint64_t log_reader::slot_holder_incarnation() const {
    const auto& self = context_.members.self;
    const auto& holders = context_.configuration.state().holders;
    const auto found = holders.find(slot_name(self.zone(), self.slot()));
    return found == holders.end() ? 0 : found->second.incarnation;
}

void log_reader::update_slot_lease(steady_time read_started_at) {
    record_log_reading(context_.lease, slot_holder_incarnation(), read_started_at, context_.time.now());
}

// Registers this process in the log as the holder of its slot.
asio::awaitable<void> log_reader::register_slot_holder() {
    const auto& self = context_.members.self;
    while (!stopped_ && !caught_up_) {
        co_await sleep_for(context_.executor, min_backoff);
    }
    if (slot_holder_incarnation() == 0) {
        context_.claims.mark_first_in_slot();
    }
    const double fleet = static_cast<double>(context_.members.others.size()) + 1;
    co_await sleep_for(context_.executor,
                       jitter(context_.random, from_seconds(fleet / slot_registrations_per_second)));
    duration backoff = min_backoff;
    while (!stopped_ && slot_holder_incarnation() < self.incarnation()) {
        const slot_holder holder{self.host(), self.incarnation(), self.address()};
        context_.counters.count(event::log_appends);
        const auto appended =
            co_await context_.log.append(make_holder_record(self.zone(), self.slot(), holder));
        if (appended) {
            backoff = max_backoff;
        }
        // The record is seen with the next read, here or at a peer.
        const auto until = context_.time.now() + backoff + jitter(context_.random, backoff);
        while (context_.time.now() < until && slot_holder_incarnation() < self.incarnation()) {
            co_await sleep_for(context_.executor, min_backoff / 4);
        }
        backoff = std::min(2 * backoff, max_backoff);
    }
    update_slot_lease(steady_time{});
}

// Appends withdrawals of keys that the log does not hold yet, and a snapshot when one is due.
asio::awaitable<void> log_reader::append_due_records() {
    while (!stopped_) {
        co_await sleep_for(context_.executor, append_check_interval);
        const auto& state = context_.configuration.state();
        if (!caught_up_ || !is_log_writer()) {
            continue;
        }
        for (const auto& id : context_.configuration.pending_withdrawals()) {
            submit("withdraw-" + id, make_withdraw_record("withdraw-" + id, id));
        }
        const bool many_records = state.next_offset >= state.snapshot_offset + records_between_snapshots;
        const bool overdue = context_.time.now() - last_snapshot_at_ > snapshot_interval;
        if (state.version > 0 && (many_records || overdue)) {
            context_.counters.count(event::log_appends);
            const auto appended = co_await context_.log.append(make_snapshot_record(state));
            if (appended) {
                last_snapshot_at_ = context_.time.now();
            }
        }
    }
}

void log_reader::submit(std::string change_id, std::string record) {
    if (submitted_.contains(change_id) || find_change(context_.configuration.state(), change_id) != nullptr) {
        return;
    }
    submitted_[change_id] = std::move(record);
    asio::co_spawn(context_.executor, append_change(change_id), asio::detached);
}

asio::awaitable<void> log_reader::append_change(std::string change_id) {
    duration backoff = min_backoff;
    while (!stopped_ && find_change(context_.configuration.state(), change_id) == nullptr) {
        context_.counters.count(event::log_appends);
        const auto appended = co_await context_.log.append(submitted_[change_id]);
        if (!appended) {
            context_.counters.count(event::log_failures);
        }
        // Waits for the record to appear in the log before appending it again; a second copy would be
        // ignored.
        const auto until = context_.time.now() + (appended ? max_backoff : backoff);
        while (context_.time.now() < until &&
               find_change(context_.configuration.state(), change_id) == nullptr) {
            co_await sleep_for(context_.executor, min_backoff / 4);
        }
        backoff = std::min(2 * backoff, max_backoff);
    }
    submitted_.erase(change_id);
}

void log_reader::fetch_from(const std::string& host) {
    if (!fetching_) {
        fetching_ = true;
        asio::co_spawn(context_.executor, fetch_state(host), asio::detached);
    }
}

asio::awaitable<void> log_reader::fetch_state(std::string host) {
    const auto link = context_.peers.find(host);
    if (link != nullptr) {
        wire::peer_frame frame;
        const std::uint64_t call = random_number();
        frame.mutable_state_request()->set_call(call);
        frame.mutable_state_request()->set_have_version(context_.configuration.state().next_offset);
        const std::uint64_t from = context_.configuration.state().next_offset;
        const auto reply = co_await link->call(frame, call_key(call), context_.time.now() + fetch_timeout);
        if (reply && !reply->state_reply().snapshot().empty()) {
            auto state = read_snapshot(reply->state_reply().snapshot());
            if (state) {
                context_.configuration.adopt(std::move(state.value()));
            }
        } else if (reply) {
            const std::vector<std::string> records(reply->state_reply().records().begin(),
                                                   reply->state_reply().records().end());
            context_.configuration.apply_records(from, records);
        }
        update_slot_lease(steady_time{});
    }
    fetching_ = false;
}

wire::state_reply log_reader::answer(const wire::state_request& request) const {
    wire::state_reply reply;
    reply.set_call(request.call());
    const auto records = context_.configuration.records_from(request.have_version());
    if (records) {
        for (const auto& record : *records) {
            reply.add_records(record);
        }
    } else {
        reply.set_snapshot(make_snapshot_record(context_.configuration.state()));
    }
    return reply;
}

} // namespace dandelionmount
