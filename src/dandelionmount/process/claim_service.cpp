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

constexpr duration owner_limit = std::chrono::milliseconds(300);
constexpr duration copy_limit = std::chrono::seconds(1);
// Pause before a repeat asks again how the request that holds its key is doing.
constexpr duration poll_pause = std::chrono::milliseconds(25);
constexpr duration finish_limit = std::chrono::seconds(1);
constexpr int finish_tries = 3;
// Larger answers are not kept; a repeat is told that the outcome is unknown.
constexpr std::size_t most_kept_answer = 256UL * 1024;

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

wire::forward_reply kept_answer(const wire::forward_reply& outcome) {
    wire::forward_reply kept = outcome;
    if (kept.body().size() > most_kept_answer) {
        kept.clear_body();
        kept.clear_headers();
        kept.set_outcome(wire::unknown);
        kept.set_reason(std::string(reason_token(reason::key_outcome_unknown)));
    }
    return kept;
}

} // namespace

bool is_majority_of_all(std::span<const owner_group> groups, const std::set<std::string>& slots) {
    return std::all_of(groups.begin(), groups.end(), [&slots](const owner_group& group) {
        const auto granted =
            std::count_if(group.begin(), group.end(), [&](const auto& slot) { return slots.contains(slot); });
        return 2 * static_cast<std::size_t>(granted) > group.size();
    });
}

claim_service::claim_service(claim_service_context context)
    : context_(std::move(context)), started_(context_.time.now()), next_call_(random_number()) {}

duration claim_service::record_term() const {
    return context_.configuration.current().fleet.idempotency_window + zone_change_term;
}

std::set<std::string> claim_service::slots_with_records() const {
    std::set<std::string> slots;
    for (const auto& zones : context_.configuration.zones_within(record_term())) {
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
    for (const auto& zones : context_.configuration.zones_within(record_term())) {
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
    wire::claim_request ask;
    ask.set_account(name.account);
    ask.set_key(name.key);
    ask.set_fingerprint(fingerprint);
    for (int round = 1;; ++round) {
        // Each round claims under a name of its own, so that a late release of an earlier round takes nothing
        // away.
        const std::string holder = request_id + "#" + std::to_string(round);
        ask.set_request_id(holder);
        const auto groups = owner_groups(name);
        const tally seen = co_await ask_owners(ask, all_owners(groups));
        if (is_majority_of_all(groups, seen.granted) && !seen.answer && !seen.running) {
            co_return claim_result{true, holder, std::nullopt, reason::none};
        }
        if (!seen.granted.empty()) {
            release(name, holder);
        }
        if (seen.mismatch) {
            co_return claim_result{false, {}, std::nullopt, reason::key_mismatch};
        }
        if (seen.answer) {
            co_return claim_result{false, {}, seen.answer, reason::none};
        }
        if (!seen.running) {
            co_return claim_result{false, {}, std::nullopt, reason::claim_unavailable};
        }
        if (context_.time.now() + 2 * poll_pause >= deadline) {
            co_return claim_result{false, {}, std::nullopt, reason::key_in_progress};
        }
        co_await sleep_for(context_.executor, poll_pause);
    }
}

asio::awaitable<claim_service::tally> claim_service::ask_owners(wire::claim_request ask,
                                                                std::set<std::string> owners) {
    auto seen = std::make_shared<tally>();
    auto all_answered = std::make_shared<async_event>(context_.executor);
    auto open = std::make_shared<std::size_t>(owners.size());
    for (const auto& slot : owners) {
        asio::co_spawn(context_.executor, ask_owner(ask, slot),
                       [seen, all_answered, open, slot](const std::exception_ptr&,
                                                        const std::optional<wire::claim_reply>& reply) {
                           if (reply) {
                               if (reply->state() == wire::claim_granted) {
                                   seen->granted.insert(slot);
                               }
                               seen->running |= reply->state() == wire::claim_running;
                               seen->mismatch |= reply->state() == wire::claim_mismatch;
                               if (reply->state() == wire::claim_finished) {
                                   seen->answer = reply->answer();
                               }
                           }
                           if (--*open == 0) {
                               all_answered->set();
                           }
                       });
    }
    if (!owners.empty()) {
        co_await all_answered->wait_until(context_.time.now() + owner_limit);
    }
    co_return *seen;
}

asio::awaitable<std::optional<wire::claim_reply>> claim_service::ask_owner(wire::claim_request ask,
                                                                           std::string slot) {
    const auto host = host_of(slot);
    if (!host) {
        co_return std::nullopt;
    }
    store_.window = context_.configuration.current().fleet.idempotency_window;
    ask.set_call(next_call_++);
    if (*host == context_.members.self.host()) {
        co_return answer_claim(store_, ask, context_.time.now());
    }
    const auto link = context_.peers.find(*host);
    if (link == nullptr) {
        co_return std::nullopt;
    }
    wire::peer_frame frame;
    *frame.mutable_claim_request() = ask;
    auto reply = co_await link->call(frame, call_key(ask.call()), context_.time.now() + owner_limit);
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
    *finish.mutable_answer() = kept_answer(outcome);
    for (const auto& slot : all_owners(owner_groups(name))) {
        send_finish(finish, slot);
    }
}

void claim_service::release(const claim_name& name, const std::string& holder) {
    wire::forward_reply nothing;
    nothing.set_outcome(wire::not_run);
    finish(name, holder, nothing);
}

// Tells one owner, also over a connection that is lost on the way: the frame is repeated, which is harmless.
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
    const auto send = [](std::shared_ptr<peer_link> to, wire::claim_finish what, std::uint64_t call,
                         const time_source& time) -> asio::awaitable<void> {
        wire::peer_frame frame;
        *frame.mutable_claim_finish() = what;
        frame.mutable_claim_finish()->set_call(call);
        for (int tries = 0; tries < finish_tries; ++tries) {
            const auto reply = co_await to->call(frame, call_key(call), time.now() + finish_limit);
            if (reply) {
                co_return;
            }
        }
    };
    asio::co_spawn(context_.executor, send(link, finish, next_call_++, context_.time), asio::detached);
}

void claim_service::answer(const wire::claim_request& ask, std::shared_ptr<frame_stream> stream) {
    store_.window = context_.configuration.current().fleet.idempotency_window;
    wire::peer_frame frame;
    *frame.mutable_claim_reply() = answer_claim(store_, ask, context_.time.now());
    stream->send(frame);
}

void claim_service::handle_finish(const wire::claim_finish& finish, std::shared_ptr<frame_stream> stream) {
    finish_claim(store_, finish);
    wire::peer_frame frame;
    frame.mutable_claim_reply()->set_call(finish.call());
    stream->send(frame);
}

// Hands over the records that the asking slot has to have. Those of keys that the asker does not own stay
// here.
void claim_service::answer(const wire::claim_copy_request& ask, std::shared_ptr<frame_stream> stream) {
    const auto now = context_.time.now();
    const std::string slot = slot_name(ask.zone(), ask.slot());
    wire::peer_frame frame;
    auto* reply = frame.mutable_claim_copy_reply();
    reply->set_call(ask.call());
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
        record->set_age_ms(to_milliseconds(now - entry.claimed));
    }
    stream->send(frame);
}

asio::awaitable<void> claim_service::copy_records() {
    if (store_.complete || copying_ || !context_.configuration.is_ready()) {
        co_return;
    }
    store_.window = context_.configuration.current().fleet.idempotency_window;
    if (context_.time.now() - started_ > store_.window) {
        store_.complete = true;
        co_return;
    }
    copying_ = true;
    bool all = true;
    for (const auto& slot : slots_with_records()) {
        const auto host = host_of(slot);
        const bool own = host && *host == context_.members.self.host();
        if (!own && all) {
            all = false;
            if (host) {
                all = co_await copy_from(*host);
            }
        }
    }
    copying_ = false;
    if (all) {
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
    auto* ask = frame.mutable_claim_copy_request();
    ask->set_call(next_call_++);
    ask->set_zone(context_.members.self.zone());
    ask->set_slot(context_.members.self.slot());
    const auto reply = co_await link->call(frame, call_key(ask->call()), context_.time.now() + copy_limit);
    if (!reply || !reply->claim_copy_reply().complete()) {
        co_return false;
    }
    for (const auto& record : reply->claim_copy_reply().records()) {
        copy_claim(store_, record, context_.time.now());
    }
    co_return true;
}

} // namespace dandelionmount
