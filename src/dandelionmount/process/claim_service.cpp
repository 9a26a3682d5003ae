#include "dandelionmount/process/claim_service.h"

#include "dandelionmount/process/crypto.h"
#include "dandelionmount/process/logging.h"
#include "dandelionmount/process/token_share.h"
#include "dandelionmount/version/configuration_state.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace dandelionmount {

namespace asio = boost::asio;

namespace {

// Time that a claim waits for the answers of the owners.
constexpr duration owner_timeout = std::chrono::milliseconds(300);
constexpr duration copy_timeout = std::chrono::seconds(1);
// Interval at which a repeat polls the state of the request that holds its key.
constexpr duration poll_interval = std::chrono::milliseconds(25);
constexpr duration finish_timeout = std::chrono::seconds(1);
constexpr int max_finish_attempts = 3;
// Larger answers are not stored; a repeat gets the outcome `unknown`.
constexpr std::size_t max_kept_answer_bytes = 256UL * 1024;

std::uint32_t slot_number(std::string_view slot) {
    return static_cast<std::uint32_t>(std::stoul(std::string(slot.substr(slot.rfind('/') + 1))));
}

std::set<std::string> all_owners(std::span<const owner_group> groups) {
    std::set<std::string> owners;
    for (const auto& group : groups) {
        owners.insert(group.begin(), group.end());
    }
    return owners;
}

wire::forward_reply answer_to_keep(const wire::forward_reply& outcome) {
    wire::forward_reply kept = outcome;
    if (kept.body().size() > max_kept_answer_bytes) {
        kept.clear_body();
        kept.clear_headers();
        kept.set_outcome(wire::unknown);
        kept.set_reason(std::string(reason_token(reason::key_outcome_unknown)));
    }
    return kept;
}

} // namespace

bool has_majority_in_each_group(std::span<const owner_group> groups, const std::set<std::string>& slots) {
    return std::all_of(groups.begin(), groups.end(), [&slots](const owner_group& group) {
        const auto granted =
            std::count_if(group.begin(), group.end(), [&](const auto& slot) { return slots.contains(slot); });
        return 2 * static_cast<std::size_t>(granted) > group.size();
    });
}

claim_service::claim_service(claim_service_context context)
    : context_(std::move(context)), started_at_(context_.time.now()), next_call_(random_number()) {}

duration claim_service::earlier_owner_window() const {
    return context_.configuration.current().fleet.idempotency_window + zone_change_window;
}

std::set<std::string> claim_service::slots_with_records() const {
    std::set<std::string> slots;
    for (const auto& zones : context_.configuration.zones_within(earlier_owner_window())) {
        for (const auto& zone : zones) {
            for (std::uint32_t slot = 0; slot < zone.hosts; ++slot) {
                slots.insert(slot_name(zone.name, slot));
            }
        }
    }
    return slots;
}

std::vector<owner_group> claim_service::owner_groups(const claim_name& name) const {
    std::vector<owner_group> groups;
    for (const auto& zones : context_.configuration.zones_within(earlier_owner_window())) {
        groups.push_back(choose_claim_owners(name, zones));
    }
    return groups;
}

std::optional<std::string> claim_service::host_of(const std::string& slot) const {
    const std::string zone = slot.substr(0, slot.rfind('/'));
    const auto* member = find_slot(context_.members, zone, slot_number(slot));
    if (member == nullptr) {
        return std::nullopt;
    }
    return member->host();
}

asio::awaitable<claim_result> claim_service::claim(claim_name name, std::string fingerprint,
                                                   std::string request_id, steady_time deadline) {
    wire::claim_request request;
    request.set_account(name.account);
    request.set_key(name.key);
    request.set_fingerprint(fingerprint);
    for (int round = 1;; ++round) {
        // Each round uses its own holder name, so that a late release of an earlier round does not release
        // this one.
        const std::string holder = request_id + "#" + std::to_string(round);
        request.set_request_id(holder);
        const auto groups = owner_groups(name);
        const owner_replies replies = co_await request_grants(request, all_owners(groups));
        if (has_majority_in_each_group(groups, replies.granted) && !replies.answer && !replies.running) {
            co_return claim_result{true, holder, std::nullopt, reason::none};
        }
        if (!replies.granted.empty()) {
            release(name, holder);
        }
        if (replies.mismatch) {
            co_return claim_result{false, {}, std::nullopt, reason::key_mismatch};
        }
        if (replies.answer) {
            co_return claim_result{false, {}, replies.answer, reason::none};
        }
        if (!replies.running) {
            co_return claim_result{false, {}, std::nullopt, reason::claim_unavailable};
        }
        if (context_.time.now() + 2 * poll_interval >= deadline) {
            co_return claim_result{false, {}, std::nullopt, reason::key_in_progress};
        }
        co_await sleep_for(context_.executor, poll_interval);
    }
}

asio::awaitable<claim_service::owner_replies> claim_service::request_grants(wire::claim_request request,
                                                                            std::set<std::string> owners) {
    auto replies = std::make_shared<owner_replies>();
    auto all_answered = std::make_shared<async_event>(context_.executor);
    auto pending = std::make_shared<std::size_t>(owners.size());
    for (const auto& slot : owners) {
        asio::co_spawn(context_.executor, request_grant(request, slot),
                       [replies, all_answered, pending, slot](const std::exception_ptr&,
                                                              const std::optional<wire::claim_reply>& reply) {
                           if (reply) {
                               if (reply->state() == wire::claim_granted) {
                                   replies->granted.insert(slot);
                               }
                               replies->running |= reply->state() == wire::claim_running;
                               replies->mismatch |= reply->state() == wire::claim_mismatch;
                               if (reply->state() == wire::claim_finished) {
                                   replies->answer = reply->answer();
                               }
                           }
                           if (--*pending == 0) {
                               all_answered->set();
                           }
                       });
    }
    if (!owners.empty()) {
        co_await all_answered->wait_until(context_.time.now() + owner_timeout);
    }
    co_return *replies;
}

asio::awaitable<std::optional<wire::claim_reply>> claim_service::request_grant(wire::claim_request request,
                                                                               std::string slot) {
    const auto host = host_of(slot);
    if (!host) {
        co_return std::nullopt;
    }
    store_.window = context_.configuration.current().fleet.idempotency_window;
    request.set_call(next_call_++);
    if (*host == context_.members.self.host()) {
        co_return answer_claim(store_, request, context_.time.now());
    }
    const auto link = context_.peers.find(*host);
    if (link == nullptr) {
        co_return std::nullopt;
    }
    wire::peer_frame frame;
    *frame.mutable_claim_request() = request;
    auto reply = co_await link->call(frame, call_key(request.call()), context_.time.now() + owner_timeout);
    if (!reply) {
        co_return std::nullopt;
    }
    co_return reply->claim_reply();
}

void claim_service::finish(claim_name name, std::string holder, wire::forward_reply outcome) {
    wire::claim_finish finish;
    finish.set_account(name.account);
    finish.set_key(name.key);
    finish.set_request_id(holder);
    finish.set_released(outcome.outcome() == wire::not_run);
    *finish.mutable_answer() = answer_to_keep(outcome);
    for (const auto& slot : all_owners(owner_groups(name))) {
        send_finish(finish, slot);
    }
}

void claim_service::release(const claim_name& name, const std::string& holder) {
    wire::forward_reply not_run_outcome;
    not_run_outcome.set_outcome(wire::not_run);
    finish(name, holder, not_run_outcome);
}

// Sends the outcome to one owner, and again when no answer arrives in time: the message is idempotent.
void claim_service::send_finish(const wire::claim_finish& finish, const std::string& slot) {
    const auto host = host_of(slot);
    if (!host) {
        return;
    }
    if (*host == context_.members.self.host()) {
        finish_claim(store_, finish);
        return;
    }
    const auto link = context_.peers.find(*host);
    if (link == nullptr) {
        return;
    }
    const auto send = [](std::shared_ptr<peer_link> owner, wire::claim_finish message, std::uint64_t call,
                         const time_source& time) -> asio::awaitable<void> {
        wire::peer_frame frame;
        *frame.mutable_claim_finish() = message;
        frame.mutable_claim_finish()->set_call(call);
        for (int attempt_number = 0; attempt_number < max_finish_attempts; ++attempt_number) {
            const auto reply = co_await owner->call(frame, call_key(call), time.now() + finish_timeout);
            if (reply) {
                co_return;
            }
        }
    };
    asio::co_spawn(context_.executor, send(link, finish, next_call_++, context_.time), asio::detached);
}

void claim_service::answer(const wire::claim_request& request, std::shared_ptr<frame_stream> stream) {
    store_.window = context_.configuration.current().fleet.idempotency_window;
    wire::peer_frame frame;
    *frame.mutable_claim_reply() = answer_claim(store_, request, context_.time.now());
    stream->send(frame);
}

void claim_service::handle_finish(const wire::claim_finish& finish, std::shared_ptr<frame_stream> stream) {
    finish_claim(store_, finish);
    wire::peer_frame frame;
    frame.mutable_claim_reply()->set_call(finish.call());
    stream->send(frame);
}

// Sends only the records of keys that the requesting slot owns.
void claim_service::answer(const wire::claim_copy_request& request, std::shared_ptr<frame_stream> stream) {
    const auto now = context_.time.now();
    const std::string slot = slot_name(request.zone(), request.slot());
    wire::peer_frame frame;
    auto* reply = frame.mutable_claim_copy_reply();
    reply->set_call(request.call());
    reply->set_complete(store_.complete);
    for (const auto& [name, entry] : store_.entries) {
        if (!all_owners(owner_groups(name)).contains(slot)) {
            continue;
        }
        auto* record = reply->add_records();
        record->set_account(name.account);
        record->set_key(name.key);
        record->set_fingerprint(entry.fingerprint);
        record->set_request_id(entry.request_id);
        record->set_finished(entry.finished);
        *record->mutable_answer() = entry.answer;
        record->set_age_ms(to_milliseconds(now - entry.claimed_at));
    }
    stream->send(frame);
}

asio::awaitable<void> claim_service::copy_records() {
    if (store_.complete || copying_ || !context_.configuration.is_ready()) {
        co_return;
    }
    store_.window = context_.configuration.current().fleet.idempotency_window;
    if (context_.time.now() - started_at_ > store_.window) {
        // All records of an earlier process in this slot have expired.
        store_.complete = true;
        co_return;
    }
    copying_ = true;
    bool all_copied = true;
    for (const auto& slot : slots_with_records()) {
        const auto host = host_of(slot);
        const bool own = host && *host == context_.members.self.host();
        if (!own && all_copied) {
            all_copied = false;
            if (host) {
                all_copied = co_await copy_from(*host);
            }
        }
    }
    copying_ = false;
    if (all_copied) {
        store_.complete = true;
        log_event(log_level::info, "idempotency records complete",
                  {{"records", std::to_string(store_.entries.size())}});
    }
}

asio::awaitable<bool> claim_service::copy_from(std::string host) {
    const auto link = context_.peers.find(host);
    if (link == nullptr) {
        co_return false;
    }
    wire::peer_frame frame;
    auto* request = frame.mutable_claim_copy_request();
    request->set_call(next_call_++);
    request->set_zone(context_.members.self.zone());
    request->set_slot(context_.members.self.slot());
    const auto reply =
        co_await link->call(frame, call_key(request->call()), context_.time.now() + copy_timeout);
    // A host whose own records are incomplete may lack some of this slot.
    if (!reply || !reply->claim_copy_reply().complete()) {
        co_return false;
    }
    for (const auto& record : reply->claim_copy_reply().records()) {
        copy_claim(store_, record, context_.time.now());
    }
    co_return true;
}

} // namespace dandelionmount
