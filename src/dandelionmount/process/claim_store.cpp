#include "dandelionmount/process/claim_store.h"

#include "dandelionmount/process/rendezvous.h"
#include "dandelionmount/version/configuration_state.h"

#include <algorithm>

namespace dandelionmount {

namespace {

// Checking all records at each claim would make the cost of a claim grow with their number.
constexpr duration expiry_interval = std::chrono::seconds(1);

bool has_capacity(const claim_store& store) {
    return store.entries.size() < max_claims && store.answer_bytes < max_claim_answer_bytes;
}

wire::claim_reply answer_existing(const claim_entry& entry, const wire::claim_request& request) {
    wire::claim_reply reply;
    reply.set_request_id(entry.request_id);
    if (entry.fingerprint != request.fingerprint()) {
        reply.set_state(wire::claim_mismatch);
    } else if (entry.finished) {
        reply.set_state(wire::claim_finished);
        *reply.mutable_answer() = entry.answer;
    } else {
        reply.set_state(entry.request_id == request.request_id() ? wire::claim_granted : wire::claim_running);
    }
    return reply;
}

bool is_expired(const claim_store& store, const claim_entry& entry, steady_time now) {
    return now - entry.claimed_at > store.window;
}

void drop_entry(claim_store& store, std::map<claim_name, claim_entry>::iterator entry) {
    store.answer_bytes -= entry->second.answer.body().size();
    store.entries.erase(entry);
}

} // namespace

wire::claim_reply answer_claim(claim_store& store, const wire::claim_request& request, steady_time now) {
    if (now - store.last_expiry_at >= expiry_interval) {
        expire_claims(store, now);
    }
    const claim_name name{request.account(), request.key()};
    wire::claim_reply reply;
    auto found = store.entries.find(name);
    if (found != store.entries.end() && is_expired(store, found->second, now)) {
        drop_entry(store, found);
        found = store.entries.end();
    }
    if (found != store.entries.end()) {
        reply = answer_existing(found->second, request);
    } else if (!store.complete || !has_capacity(store)) {
        reply.set_state(wire::claim_abstained);
    } else {
        store.entries[name] = {request.fingerprint(), request.request_id(), false, {}, now};
        reply.set_state(wire::claim_granted);
        reply.set_request_id(request.request_id());
    }
    reply.set_call(request.call());
    return reply;
}

void finish_claim(claim_store& store, const wire::claim_finish& finish) {
    const auto found = store.entries.find({finish.account(), finish.key()});
    if (found == store.entries.end() || found->second.request_id != finish.request_id()) {
        return;
    }
    claim_entry& entry = found->second;
    if (entry.finished) {
        return;
    }
    if (finish.released()) {
        drop_entry(store, found);
        return;
    }
    entry.finished = true;
    entry.answer = finish.answer();
    store.answer_bytes += entry.answer.body().size();
}

void copy_claim(claim_store& store, const wire::claim_record& record, steady_time now) {
    const claim_name name{record.account(), record.key()};
    const auto found = store.entries.find(name);
    if (found != store.entries.end() && (found->second.finished || !record.finished())) {
        return;
    }
    if (found != store.entries.end()) {
        drop_entry(store, found);
    }
    const auto age = std::chrono::milliseconds(record.age_ms());
    store.entries[name] = {record.fingerprint(), record.request_id(), record.finished(), record.answer(),
                           now - age};
    store.answer_bytes += record.answer().body().size();
}

void expire_claims(claim_store& store, steady_time now) {
    store.last_expiry_at = now;
    for (auto entry = store.entries.begin(); entry != store.entries.end();) {
        const auto current = entry++;
        if (is_expired(store, current->second, now)) {
            drop_entry(store, current);
        }
    }
}

std::vector<std::string> choose_claim_owners(const claim_name& name, std::span<const zone_settings> zones) {
    const std::string hash_key = "claim:" + name.account + "/" + name.key;
    std::vector<std::string> zone_names;
    for (const auto& zone : zones) {
        zone_names.push_back(zone.name);
    }
    const auto ordered = rendezvous_choose(hash_key, std::move(zone_names), zones.size());
    std::vector<std::vector<std::string>> slots_by_zone;
    for (const auto& zone_name : ordered) {
        std::vector<std::string> slots;
        const auto has_name = [&](const zone_settings& zone) { return zone.name == zone_name; };
        const auto& zone = *std::find_if(zones.begin(), zones.end(), has_name);
        for (std::uint32_t slot = 0; slot < zone.hosts; ++slot) {
            slots.push_back(slot_name(zone.name, slot));
        }
        slots_by_zone.push_back(rendezvous_choose(hash_key, std::move(slots), claim_owner_count));
    }
    std::vector<std::string> owners;
    for (std::size_t rank = 0; rank < claim_owner_count; ++rank) {
        for (const auto& slots : slots_by_zone) {
            if (rank < slots.size() && owners.size() < claim_owner_count) {
                owners.push_back(slots[rank]);
            }
        }
    }
    return owners;
}

} // namespace dandelionmount
