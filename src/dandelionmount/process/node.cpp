#include "dandelionmount/process/node.h"

#include "dandelionmount/connection/address.h"
#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/process/crypto.h"
#include "dandelionmount/process/logging.h"
#include "dandelionmount/process/stop_wait.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace dandelionmount {

namespace asio = boost::asio;

namespace {

constexpr duration maintenance_interval = std::chrono::milliseconds(100);
// Minimum time for which a stopping host still answers on open connections, for requests that callers sent
// before they could notice the stop.
constexpr duration stop_grace = std::chrono::milliseconds(700);
constexpr duration leave_delay = std::chrono::milliseconds(10);
constexpr int rounds_per_second = 10;
// Bytes of all responses being received: a quarter of the 128 MB of memory that a node may use, or a few
// responses of the largest size that the settings allow, if that is more.
constexpr std::size_t min_received_bytes = 32UL * 1024 * 1024;
constexpr std::size_t concurrent_large_responses = 4;

// Later processes need higher numbers, so the clock of a host must not be set back to before the start of the
// previous process.
std::uint64_t make_incarnation() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count());
}

// The target listens on this host, at the IP address of `target_address`, to which it sends its own calls.
asio::ip::address ip_of(const std::string& checked_address) {
    const auto parsed = parse_address(checked_address);
    DANDELIONMOUNT_INVARIANT(parsed.has_value());
    return parsed->ip;
}

byte_budget received_responses_budget(const caller_limits& limits) {
    return {std::max(min_received_bytes, concurrent_large_responses * limits.body_bytes)};
}

wire::member_record make_own_record(const settings& own, std::uint64_t incarnation) {
    wire::member_record record;
    record.set_host(own.host);
    record.set_incarnation(incarnation);
    record.set_counter(1);
    record.set_zone(own.zone);
    record.set_slot(own.slot);
    record.set_address(own.peer_address);
    return record;
}

} // namespace

node::node(asio::io_context& io, const settings& own, std::string secret, platform_log& log,
           const time_source& time)
    : io_(io), settings_(own), time_(time), random_(random_number()),
      identity_{own.host, make_incarnation(), std::move(secret)},
      members_{make_own_record(own, identity_.incarnation)}, lease_{identity_.incarnation},
      configuration_(own.zones, time), target_(time, own.mechanisms),
      peers_({io.get_executor(), identity_, time, counters_, own.mechanisms.settle, std::nullopt, {}, &stop_},
             members_),
      connections_(io.get_executor(), time, own.limits.body_bytes,
                   std::make_shared<byte_budget>(received_responses_budget(own.limits))),
      crash_monitor_({io.get_executor(), time, counters_, members_, peers_, random_}),
      executor_({io.get_executor(), time, counters_, configuration_, target_, connections_,
                 ip_of(own.target_address), nullptr, true, &crash_monitor_, &stop_}),
      retry_limiter_(configuration_),
      dispatcher_({time, counters_, configuration_, members_, peers_, executor_, random_, retry_limiter_,
                   own.mechanisms.allowance, true, false, nullptr, &stop_}),
      rates_({io.get_executor(), time, counters_, configuration_, members_, peers_, lease_}),
      claims_({io.get_executor(), time, configuration_, members_, peers_}),
      gossip_({io.get_executor(), time, counters_, identity_, members_, lease_, configuration_, random_,
               own.seeds}),
      log_reader_({io.get_executor(), time, counters_, log, configuration_, members_, peers_, lease_, claims_,
                   random_}),
      operator_service_({time, counters_, configuration_, members_, lease_, gossip_, log_reader_, claims_,
                         target_,
                         [this](bool on) {
                             draining_ = on;
                             publish_target();
                         }},
                        rpc_connector_),
      peer_server_(
          io.get_executor(), identity_, counters_,
          [this](const wire::peer_frame& frame, const peer_id& from, std::shared_ptr<frame_stream> stream) {
              handle_frame(frame, from, std::move(stream));
          }),
      caller_server_({time, counters_, configuration_, rates_, &claims_, dispatcher_, random_, {}, {}, stop_},
                     io.get_executor(), own.limits),
      target_server_({time, counters_, configuration_, target_, executor_, dispatcher_}, io.get_executor(),
                     own.limits),
      operator_server_(io.get_executor(), own.limits, counters_, rpc_connector_,
                       [this] { return operator_service_.status_text(); }) {
    target_.on_change([this] { publish_target(); });
    gossip_.on_newer_configuration([this](const std::string& host) { log_reader_.fetch_from(host); });
    gossip_.on_member_change([this] { peers_.close_gone_links(); });
    configuration_.on_change([this] {
        update_lease_voters();
        rates_.apply_configuration();
        gossip_.schedule_gossip();
    });
    update_lease_voters();
}

result<void> node::start() {
    for (const auto& opened :
         {peer_server_.listen(settings_.peer_address), gossip_.listen(settings_.peer_address),
          operator_server_.listen(settings_.operator_address),
          target_server_.listen(settings_.target_address), caller_server_.listen(settings_.caller_address)}) {
        if (!opened) {
            return opened;
        }
    }
    log_reader_.start();
    asio::co_spawn(io_, run_maintenance(), asio::detached);
    log_event(log_level::info, "started",
              {{"host", settings_.host}, {"zone", settings_.zone}, {"callers", settings_.caller_address}});
    return boost::outcome_v2::success();
}

void node::update_lease_voters() {
    const auto* zone = configuration_.find_zone(settings_.zone);
    const std::uint32_t slots = zone == nullptr ? settings_.slot + 1 : zone->hosts;
    lease_.voters = choose_lease_voters(settings_.zone, settings_.slot, slots);
}

void node::publish_target() {
    const auto& announced = target_.announced();
    auto& record = members_.self;
    record.set_service(announced.service);
    record.set_target_slots(announced.slots);
    const bool leaving = (draining_ || stopping_) && announced.state != wire::target_none;
    record.set_target(leaving ? wire::target_draining : announced.state);
    connections_.drop_idle();
    announce_self(members_);
    gossip_.schedule_gossip();
}

void node::handle_frame(const wire::peer_frame& frame, const peer_id& from,
                        std::shared_ptr<frame_stream> stream) {
    if (executor_.handle_attempt_frame(frame, stream)) {
        return;
    }
    switch (frame.body_case()) {
    case wire::peer_frame::kHeartbeat:
        crash_monitor_.handle(frame.heartbeat().crashes());
        executor_.handle_stop_notice(frame.heartbeat(), stream);
        stream->send(make_heartbeat(frame.heartbeat().sequence()));
        break;
    case wire::peer_frame::kTokenRequest:
        rates_.answer(frame.token_request(), from, std::move(stream));
        break;
    case wire::peer_frame::kClaimRequest:
        claims_.answer(frame.claim_request(), std::move(stream));
        break;
    case wire::peer_frame::kClaimFinish:
        claims_.handle_finish(frame.claim_finish(), std::move(stream));
        break;
    case wire::peer_frame::kClaimCopyRequest:
        claims_.answer(frame.claim_copy_request(), std::move(stream));
        break;
    case wire::peer_frame::kStateRequest: {
        wire::peer_frame reply;
        *reply.mutable_state_reply() = log_reader_.answer(frame.state_request());
        stream->send(reply);
        break;
    }
    default:
        counters_.count(event::peer_malformed);
        stream->close();
        break;
    }
}

asio::awaitable<void> node::run_maintenance() {
    for (int round = 1; !stopping_; ++round) {
        co_await sleep_for(io_.get_executor(), maintenance_interval);
        target_.expire_announcement();
        update_demands(target_.limiter(), time_.now());
        rates_.report();
        if (round % rounds_per_second == 0) {
            executor_.remove_expired();
            crash_monitor_.exchange();
            connections_.close_unusable();
            co_await claims_.copy_records();
        }
    }
}

asio::awaitable<void> node::stop() {
    log_event(log_level::info, "stopping", {{"host", settings_.host}});
    stopping_ = true;
    const auto deadline = time_.now() + settings_.stop_wait;
    stop_.process_end = deadline;
    peers_.announce_stop();
    executor_.check_waiting();
    // Peers stop sending requests once they receive the update; requests that still arrive are refused as not
    // run, and the peers send them to another host.
    publish_target();
    gossip_.probe_all();
    caller_server_.server().drain();
    executor_.close();
    co_await sleep_for(io_.get_executor(), stop_grace);
    stop_wait_context stop_context{io_.get_executor(), time_, executor_, peer_server_, {}};
    stop_context.servers.push_back(&caller_server_.server());
    stop_context.servers.push_back(&target_server_.server());
    co_await wait_until_idle(stop_context, deadline);
    // Not waited for, as the target keeps its connections open.
    stop_context.servers.pop_back();
    co_await wait_until_flushed(stop_context, deadline);
    members_.self.set_state(wire::member_left);
    announce_self(members_);
    gossip_.probe_all();
    co_await sleep_for(io_.get_executor(), leave_delay);
    log_reader_.stop();
    log_event(log_level::info, "stopped", {{"host", settings_.host}});
    gossip_.stop();
    peer_server_.stop();
    peers_.stop();
    io_.stop();
}

} // namespace dandelionmount
