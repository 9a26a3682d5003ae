#include "dandelionmount/process/local_target.h"

#include "dandelionmount/process/logging.h"
#include "dandelionmount/process/rendezvous.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace dandelionmount {

namespace {

constexpr std::uint64_t max_port = 65535;
constexpr std::uint64_t max_slots = 100000;
constexpr std::uint32_t unlimited_slots = 1000000;
// Longest delay of an announcement that was sent before a departure and arrives after it.
constexpr duration departure_retention = std::chrono::seconds(10);

// Targets slow down when nearly full: the last slots cost more throughput than they add.
std::uint32_t usable_slots(std::uint32_t slots) {
    constexpr double spare_share = 0.07;
    return slots - static_cast<std::uint32_t>(std::lround(spare_share * slots));
}

std::optional<wire::target_state> read_state(const std::string& text) {
    if (text == "starting") {
        return wire::target_starting;
    }
    if (text == "ready") {
        return wire::target_ready;
    }
    if (text == "draining") {
        return wire::target_draining;
    }
    return std::nullopt;
}

std::optional<std::uint64_t> read_number(const nlohmann::json& source, const char* key, std::uint64_t max) {
    const auto found = source.find(key);
    if (found == source.end() || !found->is_number_unsigned() || found->get<std::uint64_t>() > max) {
        return std::nullopt;
    }
    return found->get<std::uint64_t>();
}

} // namespace

std::uint64_t local_target::incarnation() const {
    return rendezvous_weight(std::to_string(started()), announced_.instance);
}

void local_target::announce(const target_announcement& received) {
    target_announcement announcement = received;
    // Without an identifier, a restarted process can't be told from one that is leaving.
    if (announcement.instance.empty() && announcement.state != wire::target_draining) {
        leaving_incarnation_ = 0;
    }
    const bool said_leaving =
        leaving_incarnation_ != 0 &&
        leaving_incarnation_ == rendezvous_weight(std::to_string(started()), announcement.instance);
    if (said_leaving && announcement.state != wire::target_none) {
        announcement.state = wire::target_draining;
    }
    last_announced_at_ = time_.now();
    const bool changed = announcement.service != announced_.service || announcement.port != announced_.port ||
                         announcement.slots != announced_.slots || announcement.state != announced_.state ||
                         announcement.instance != announced_.instance;
    const bool replaced = announcement.instance != announced_.instance;
    announced_ = announcement;
    if (replaced) {
        reset_measurements(limiter_);
        reset_speed(speed_);
        timeout_trial_ = timeout_trial{};
        rejection_trial_ = rejection_trial{};
    }
    if (announced_.state == wire::target_draining) {
        leaving_incarnation_ = incarnation();
    }
    set_ceiling(limiter_, switches_.guard ? usable_slots(announcement.slots) : unlimited_slots);
    if (changed && action_) {
        action_();
    }
}

void local_target::handle_heartbeat(const target_heartbeat& heartbeat) {
    const auto& instance = heartbeat.announcement.instance;
    if (heartbeat.what == target_heartbeat::kind::departure) {
        if (instance == announced_.instance) {
            departed_process_started_ = latest_order_.first;
            handle_departure();
        } else {
            departed_instance_ = instance;
            departed_at_ = time_.now();
        }
        return;
    }
    const std::pair<std::uint64_t, std::uint64_t> order{heartbeat.started, heartbeat.sequence};
    const bool is_outdated = order <= latest_order_;
    const bool has_left = departed_process_started_ && heartbeat.started <= *departed_process_started_;
    // The announcement may have been sent before the departure and delivered after it.
    const bool may_have_left =
        instance == departed_instance_ && time_.now() - departed_at_ < departure_retention;
    if (is_outdated || has_left || may_have_left) {
        return;
    }
    latest_order_ = order;
    announce(heartbeat.announcement);
}

void local_target::handle_response(std::string_view instance, std::optional<double> rate_limit,
                                   bool is_leaving, steady_time sent_at) {
    if (instance != announced_.instance) {
        return;
    }
    const auto before = limiter_.rate.per_second;
    if (rate_limit) {
        record_named_rate(limiter_.rate, *rate_limit, time_.now());
    } else {
        record_unnamed_rate(limiter_.rate, sent_at);
    }
    const auto& current = limiter_.rate.per_second;
    if (before.has_value() != current.has_value()) {
        log_event(log_level::info,
                  current ? "target names a rate limit" : "target names no rate limit any more",
                  {{"instance", announced_.instance},
                   {"per_second", std::to_string(current ? *current : *before)}});
    }
    if (is_leaving) {
        mark_leaving();
    }
}

void local_target::adopt_rate_limit(double per_second) {
    if (announced_.state != wire::target_none) {
        adopt_rate(limiter_.rate, per_second, time_.now());
    }
}

void local_target::mark_leaving() {
    if (leaving_incarnation_ == incarnation()) {
        return;
    }
    leaving_incarnation_ = incarnation();
    if (announced_.state == wire::target_none || announced_.state == wire::target_draining) {
        return;
    }
    log_event(log_level::info, "target is leaving", {{"instance", announced_.instance}});
    announced_.state = wire::target_draining;
    if (action_) {
        action_();
    }
}

void local_target::restore_leaving(std::uint64_t incarnation) {
    if (leaving_incarnation_ != 0) {
        return;
    }
    leaving_incarnation_ = incarnation;
    if (announced_.state != wire::target_none && incarnation == this->incarnation()) {
        announced_.state = wire::target_draining;
    }
    if (action_) {
        action_();
    }
}

void local_target::handle_departure() {
    leaving_incarnation_ = incarnation();
    withdraw();
}

void local_target::withdraw() {
    if (announced_.state == wire::target_none) {
        return;
    }
    announced_ = {};
    if (action_) {
        action_();
    }
}

bool local_target::has_left_or_was_replaced(std::string_view instance, std::uint64_t incarnation) const {
    const bool replaced = announced_.state != wire::target_none && announced_.instance != instance;
    // A departure that comes after the announcement has expired names a process that is not announced.
    const bool departed = !instance.empty() && departed_instance_ == instance &&
                          time_.now() - departed_at_ < departure_retention;
    return replaced || departed || leaving_incarnation_ == incarnation;
}

void local_target::expire_announcement() {
    if (announced_.state != wire::target_none && time_.now() - last_announced_at_ > ttl_) {
        withdraw();
    }
}

bool local_target::is_ready_for(std::string_view service) const {
    return announced_.state == wire::target_ready && announced_.service == service;
}

wire::load_report local_target::load() const {
    wire::load_report load;
    load.set_in_flight(limiter_.in_flight);
    load.set_queued(static_cast<std::uint32_t>(limiter_.queue.size()));
    load.set_limit(static_cast<std::uint32_t>(std::floor(effective_limit(limiter_))));
    load.set_rate_limit(limiter_.rate.per_second.value_or(0));
    const bool is_leaving = leaving_incarnation_ != 0 && leaving_incarnation_ == incarnation();
    load.set_leaving_incarnation(is_leaving ? leaving_incarnation_ : 0);
    return load;
}

double local_target::demand_ratio(std::uint32_t priority, std::string_view account) const {
    const auto* demand = switches_.shares ? find_demand(limiter_.demands, priority, account) : nullptr;
    return demand == nullptr ? 0 : demand->ratio;
}

std::optional<target_announcement> read_announcement(std::string_view text) {
    const auto source = nlohmann::json::parse(text, nullptr, false);
    if (!source.is_object() || !source.contains("service") || !source["service"].is_string() ||
        !source.contains("state") || !source["state"].is_string()) {
        return std::nullopt;
    }
    const auto state = read_state(source["state"].get<std::string>());
    const auto port = read_number(source, "port", max_port);
    const auto slots = read_number(source, "slots", max_slots);
    const auto connections = read_number(source, "connections", max_slots);
    if (!state || !port || *port == 0 || !slots || *slots == 0) {
        return std::nullopt;
    }
    target_announcement announcement;
    announcement.service = source["service"].get<std::string>();
    announcement.port = static_cast<std::uint16_t>(*port);
    announcement.slots = static_cast<std::uint32_t>(*slots);
    announcement.connections = static_cast<std::uint32_t>(connections.value_or(*slots));
    announcement.state = *state;
    return announcement;
}

} // namespace dandelionmount
