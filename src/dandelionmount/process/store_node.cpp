#include "dandelionmount/process/store_node.h"

#include "dandelionmount/connection/address.h"
#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/process/crypto.h"
#include "dandelionmount/process/logging.h"
#include "dandelionmount/process/rendezvous.h"
#include "dandelionmount/process/stop_wait.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

namespace dandelionmount {

namespace asio = boost::asio;

namespace {

constexpr duration maintenance_interval = std::chrono::milliseconds(125);
constexpr int rounds_between_reports = 2;
constexpr int rounds_per_second = 8;
constexpr int rounds_between_call_logs = 10 * rounds_per_second;
// A host whose known end is older reads the store itself, so that a change is in force within two seconds.
// The end is at most as old as two reads of the configuration and the interval between reports take.
constexpr duration configuration_end_validity = std::chrono::milliseconds(1600);
// The same for the list of hosts, whose reads wait longer.
constexpr duration hosts_end_validity = std::chrono::milliseconds(7000);
// Hosts whose known ends are too old all at once read the store spread over this time.
constexpr duration store_read_spread = std::chrono::seconds(1);
// Subtracted from the time within which a withdrawn key must stop working, for clocks that run at different
// speeds.
constexpr duration freshness_margin = std::chrono::milliseconds(500);
// Missing announcements after which a target counts as gone; announcements may be seconds late.
constexpr int missed_announcements_until_gone = 4;
// A host unreachable for this long is removed from the list.
constexpr duration removal_delay = std::chrono::seconds(20);
// A stopping host accepts requests until this many readiness checks have been answered with "not ready" or
// `max_stop_grace` has passed, and after that for `last_requests_grace`.
constexpr int unready_responses_until_drain = 2;
constexpr duration max_stop_grace = std::chrono::milliseconds(2500);
// Time for requests that callers sent before they learnt of the stop.
constexpr duration last_requests_grace = std::chrono::milliseconds(300);
// Only requests sent within 3 s of the signal may be cut off at the end of the platform's grace period, so no
// later ones are accepted.
static_assert(max_stop_grace + last_requests_grace < std::chrono::seconds(3));
// Reserved at the end of `stop_wait`, so that the process exits by itself.
constexpr duration stop_margin = std::chrono::milliseconds(800);
// How long a stop waits for the store to remove this host's record.
constexpr duration leave_timeout = std::chrono::milliseconds(300);
// Event loop delays above this are logged. Well below the silence after which a peer gives a link up.
constexpr duration logged_loop_delay = std::chrono::milliseconds(250);
constexpr duration stop_poll_interval = std::chrono::milliseconds(20);
// Body bytes of one response: a tenth of the memory of the smallest hosts, 160 MB.
constexpr std::size_t max_response_bytes = 16UL * 1024 * 1024;
// Bytes of all responses being received: three tenths of that memory.
constexpr std::size_t max_received_bytes = 48UL * 1024 * 1024;
// How long an idempotent request whose connection is lost is settled before it is sent to another host: a few
// round trips, as opening a connection and asking take.
constexpr duration idempotent_settle_timeout = std::chrono::milliseconds(100);
constexpr unsigned ok = 200;
constexpr unsigned bad_request = 400;
constexpr unsigned not_found = 404;
constexpr unsigned unavailable = 503;

asio::ip::address ip_of(const std::string& checked_address) {
    const auto parsed = parse_address(checked_address);
    DANDELIONMOUNT_INVARIANT(parsed.has_value());
    return parsed->ip;
}

wire::member_record make_own_record(const store_settings& own, std::uint64_t incarnation) {
    wire::member_record record;
    record.set_host(own.host);
    record.set_incarnation(incarnation);
    record.set_zone(own.zone);
    record.set_address(own.peer_address);
    record.set_service(own.service);
    record.set_state(wire::member_alive);
    return record;
}

dispatcher_context make_dispatcher_context(const time_source& time, metrics& counters,
                                           const configuration_store& configuration,
                                           const member_table& members, peer_directory& peers,
                                           executor& local, std::mt19937_64& random, retry_limiter& retries,
                                           service_pressure& pressure, const stop_schedule& stop) {
    dispatcher_context context{time, counters, configuration, members, peers, local, random, retries};
    context.shares_allowance = false;
    context.redirects_refused_attempts = true;
    context.pressure = &pressure;
    context.stop = &stop;
    return context;
}

} // namespace

store_node::store_node(asio::io_context& io, const store_settings& own, const platform_adapter& adapter,
                       record_store& store, const time_source& time)
    : io_(io), settings_(own), adapter_(adapter), time_(time), random_(random_number()),
      identity_{own.host, random_number(), {}}, members_{make_own_record(own, identity_.incarnation)},
      configuration_({}, time),
      target_(time, {}, own.announcement_interval * missed_announcements_until_gone),
      peers_({io.get_executor(), identity_, time, counters_, true, idempotent_settle_timeout,
              [this](const std::string& host, bool reachable) {
                  dispatcher_.record_reachability(host, reachable);
              },
              &stop_},
             members_),
      connections_(io.get_executor(), time, max_response_bytes,
                   std::make_shared<byte_budget>(byte_budget{max_received_bytes}), adapter.protocol),
      crash_monitor_({io.get_executor(), time, counters_, members_, peers_, random_}),
      executor_({io.get_executor(), time, counters_, configuration_, target_, connections_,
                 ip_of(own.target_address), &pressure_, false, &crash_monitor_, &stop_}),
      retry_limiter_(
          time, members_, {own.retry_share, static_cast<double>(own.retry_slack), own.retry_window},
          {[this](std::string_view service) { return limiter_.is_retry_allocator_reachable(service); },
           [this](std::string service) { return limiter_.report_retries(std::move(service)); }}),
      dispatcher_(make_dispatcher_context(time, counters_, configuration_, members_, peers_, executor_,
                                          random_, retry_limiter_, pressure_, stop_)),
      topics_(time, peers_), outlier_detector_(time, settings_.host, target_,
                                               [this](const std::string& host, const target_health& health) {
                                                   dispatcher_.record_worker_comparison(host, health);
                                               }),
      limiter_({io.get_executor(), time, counters_, configuration_, members_, peers_, topics_,
                outlier_detector_, retry_limiter_,
                [this](const std::string& host, std::uint64_t version) {
                    configuration_source_.compare_version(host, version);
                }}),
      registry_({io.get_executor(), time, counters_, store, random_, members_, adapter.hosts_topic,
                 [this] { handle_registry_change(); },
                 [this](const wire::member_record& earlier) {
                     target_.restore_leaving(earlier.left_incarnation());
                 },
                 make_topic_peers(adapter.hosts_topic, hosts_end_validity)}),
      configuration_source_({io.get_executor(), time, counters_, store, random_, adapter.configuration_topic,
                             adapter.configuration_key,
                             make_topic_peers(adapter.configuration_topic, configuration_end_validity),
                             configuration_,
                             [this](std::string_view document) { apply_configuration(document); },
                             [this](std::string host) {
                                 return topics_.fetch_newest(adapter_.configuration_topic, std::move(host));
                             },
                             [this] {
                                 return host_contact{!registry_.secret().empty(), !members_.others.empty(),
                                                     is_any_host_connected()};
                             }}),
      peer_server_(
          io.get_executor(), identity_, counters_,
          [this](const wire::peer_frame& frame, const peer_id& from, std::shared_ptr<frame_stream> stream) {
              handle_frame(frame, from, std::move(stream));
          },
          [this](const std::shared_ptr<frame_stream>& stream) { executor_.handle_stream_end(stream); }),
      caller_server_({time, counters_, configuration_, limiter_, nullptr, dispatcher_, random_, own.service,
                      adapter.protocol, stop_},
                     io.get_executor(), caller_limits{}),
      readiness_server_(io.get_executor(), caller_limits{}, counters_,
                        [this](http_request request, std::shared_ptr<cancel_token>) {
                            return handle_readiness_request(std::move(request));
                        }),
      announcement_server_(io.get_executor(), caller_limits{}, counters_,
                           [this](http_request request, std::shared_ptr<cancel_token>) {
                               return handle_target_request(std::move(request));
                           }),
      operator_server_(io.get_executor(), caller_limits{}, counters_,
                       [this](http_request request, std::shared_ptr<cancel_token>) {
                           return handle_operator_request(std::move(request));
                       }) {
    topics_.add(configuration_source_.follower());
    topics_.add(registry_.follower());
    configuration_.require_freshness({own.key_withdrawal - freshness_margin});
    target_.on_change([this] { publish_target(); });
    connections_.on_signals([this](const target_signals& signals) {
        target_.handle_response(signals.instance, signals.rate_limit, signals.is_leaving, signals.sent_at);
    });
}

// Every host reports to the rate allocators several times a second, so they read the store for all hosts. A
// host without the fleet's secret knows no other host.
topic_peers store_node::make_topic_peers(std::string topic, duration end_validity) {
    topic_peers peers;
    peers.reads_store = [this] { return registry_.secret().empty() || limiter_.is_rate_allocator(); };
    peers.fetch = [this, topic = std::move(topic)](std::string host, std::uint64_t era, std::uint64_t from) {
        return topics_.fetch(topic, std::move(host), era, from);
    };
    peers.end_validity = end_validity;
    peers.read_spread = store_read_spread;
    return peers;
}

result<void> store_node::start() {
    for (const auto& opened : {readiness_server_.listen(settings_.readiness_address),
                               announcement_server_.listen(settings_.announcement_address),
                               operator_server_.listen(settings_.operator_address),
                               caller_server_.listen(settings_.caller_address)}) {
        if (!opened) {
            return opened;
        }
    }
    configuration_source_.start();
    registry_.start();
    asio::co_spawn(io_, run_maintenance(), asio::detached);
    log_event(log_level::info, "started",
              {{"host", settings_.host},
               {"zone", settings_.zone},
               {"service", settings_.service},
               {"callers", settings_.caller_address},
               {"incarnation", std::to_string(identity_.incarnation)}});
    return boost::outcome_v2::success();
}

void store_node::apply_configuration(std::string_view text) {
    auto read = adapter_.read_configuration(text);
    if (!read) {
        log_event(log_level::error, "configuration rejected", {{"cause", read.error().message}});
        return;
    }
    const std::uint64_t version = read.value().version;
    const auto routes = std::to_string(read.value().document.routes.size());
    const caller_limits limits = read.value().limits;
    const bool adopted = configuration_.adopt_document(version, std::move(read.value().document));
    log_event(log_level::info,
              adopted ? "configuration in force" : "configuration older than the one in force",
              {{"version", std::to_string(version)}, {"routes", routes}});
    if (adopted) {
        counters_.count(event::configuration_changes);
        topics_.set_newest(adapter_.configuration_topic, {adapter_.configuration_key, std::string(text)});
        caller_server_.server().set_limits(limits);
    }
}

bool store_node::is_any_host_connected() const {
    return std::any_of(members_.others.begin(), members_.others.end(),
                       [this](const auto& entry) { return peers_.is_connected(entry.first); });
}

void store_node::handle_registry_change() {
    identity_.secret = registry_.secret();
    if (!registry_.secret().empty() && !peer_server_open_ && !stopping_) {
        const auto opened = peer_server_.listen(settings_.peer_address);
        peer_server_open_ = opened.has_value();
        if (!opened) {
            log_event(log_level::error, "peer port could not be opened", {{"cause", opened.error().message}});
        }
    }
    peers_.close_gone_links();
    if (peer_server_open_) {
        peers_.keep_connected();
    }
}

bool store_node::is_ready() const {
    const bool was_fresh = configuration_.age() != duration::max();
    return configuration_.is_ready() && was_fresh && peer_server_open_ && !stopping_;
}

// Each start of the target gets its own incarnation, since each begins with a slow start. A restart of this
// process does not change it, so that the stored record remains valid.
void store_node::publish_target() {
    const auto& announced = target_.announced();
    auto& record = members_.self;
    record.set_incarnation(target_.incarnation());
    record.set_left_incarnation(target_.left_incarnation());
    if (!announced.service.empty()) {
        record.set_service(announced.service);
    }
    record.set_target_slots(announced.slots);
    const bool leaving = stopping_ && announced.state != wire::target_none;
    record.set_target(leaving ? wire::target_draining : announced.state);
    record.set_host_stopping(leaving && announced.state == wire::target_ready);
    connections_.drop_idle();
    log_event(log_level::info, "target changed",
              {{"instance", announced.instance},
               {"service", announced.service},
               {"state", std::to_string(record.target())},
               {"slots", std::to_string(announced.slots)}});
    registry_.publish();
}

void store_node::handle_frame(const wire::peer_frame& frame, const peer_id& from,
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
    case wire::peer_frame::kTopicRequest:
        topics_.answer(frame.topic_request(), std::move(stream));
        break;
    case wire::peer_frame::kRateReport:
        limiter_.answer(frame.rate_report(), from, std::move(stream));
        break;
    default:
        counters_.count(event::peer_malformed);
        stream->close();
        break;
    }
}

asio::awaitable<void> store_node::run_maintenance() {
    for (int round = 1; !stopping_ || executor_.busy() > 0; ++round) {
        const auto due = time_.now() + maintenance_interval;
        co_await sleep_for(io_.get_executor(), maintenance_interval);
        record_loop_delay(time_.now() - due);
        target_.expire_announcement();
        if (round % rounds_per_second == 0) {
            connections_.close_unusable();
        }
        if (round % rounds_between_call_logs == 0) {
            log_store_calls();
        }
        update_pressure(pressure_, target_.limiter(), time_.now());
        update_demands(target_.limiter(), time_.now());
        if (!peer_server_open_) {
            continue;
        }
        peers_.keep_connected();
        if (round % rounds_between_reports == 0) {
            limiter_.report();
        }
        if (round % rounds_per_second == 0) {
            registry_.publish();
            executor_.remove_expired();
            crash_monitor_.exchange();
            remove_unreachable_hosts();
        }
    }
}

// Totals since the process started, by cause.
void store_node::log_store_calls() const {
    const auto total = [this](store_call cause) {
        return log_field{store_call_label(cause), std::to_string(counters_.store_calls(cause))};
    };
    log_event(log_level::info, "store calls",
              {total(store_call::snapshot), total(store_call::poll), total(store_call::stale_end),
               total(store_call::catch_up), total(store_call::own_record), total(store_call::secret),
               total(store_call::removal), total(store_call::leave)});
}

// A process that gets too little CPU time is late with everything, its messages to other hosts included.
void store_node::record_loop_delay(duration delay) {
    counters_.loop_delay().add(delay);
    if (delay > logged_loop_delay) {
        log_event(log_level::warning, "event loop delayed",
                  {{"delay_ms", std::to_string(to_milliseconds(delay))},
                   {"requests", std::to_string(caller_server_.server().busy())},
                   {"runs", std::to_string(executor_.busy())}});
    }
}

// A host that fails for good leaves its record behind. Rendezvous hashing among the reachable hosts chooses
// the one that removes it; hosts that see the same fleet choose the same one.
void store_node::remove_unreachable_hosts() {
    const auto now = time_.now();
    std::vector<std::string> reachable{settings_.host};
    for (const auto& [host, member] : members_.others) {
        if (peers_.is_connected(host)) {
            unreachable_since_.erase(host);
            reachable.push_back(host);
        } else {
            unreachable_since_.try_emplace(host, now);
        }
    }
    for (auto& [host, since] : unreachable_since_) {
        const bool listed = members_.others.contains(host);
        if (!listed || now - since < removal_delay) {
            continue;
        }
        since = now;
        if (rendezvous_choose(host, reachable, 1).front() == settings_.host) {
            asio::co_spawn(io_, registry_.remove(host), asio::detached);
        }
    }
    std::erase_if(unreachable_since_,
                  [this](const auto& entry) { return !members_.others.contains(entry.first); });
}

asio::awaitable<http_response> store_node::handle_readiness_request(http_request request) {
    const std::string path(request.target());
    if (path != adapter_.readiness_path) {
        co_return make_text_response(not_found, "text/plain", "");
    }
    if (stopping_) {
        ++unready_responses_;
    }
    co_return make_text_response(is_ready() ? ok : unavailable, "text/plain", "");
}

asio::awaitable<http_response> store_node::handle_target_request(http_request request) {
    const auto heartbeat = adapter_.read_target_heartbeat(std::string(request.method_string()),
                                                          std::string(request.target()), request.body());
    if (!heartbeat) {
        log_event(log_level::warning, "target announcement rejected", {{"cause", heartbeat.error().message}});
        co_return make_text_response(bad_request, "text/plain", heartbeat.error().message + "\n");
    }
    target_.handle_heartbeat(heartbeat.value());
    co_return make_text_response(ok, "application/json", adapter_.heartbeat_response);
}

asio::awaitable<http_response> store_node::handle_operator_request(http_request request) {
    const std::string path(request.target());
    if (path == "/metrics") {
        co_return make_text_response(ok, "text/plain; version=0.0.4", counters_.render());
    }
    if (path == "/status") {
        co_return make_text_response(ok, "application/json", status_text());
    }
    co_return make_text_response(not_found, "text/plain", "GET /metrics or GET /status\n");
}

std::string store_node::status_text() const {
    nlohmann::json hosts = nlohmann::json::array();
    for (const auto& [host, member] : members_.others) {
        hosts.push_back({{"host", host},
                         {"zone", member.zone()},
                         {"service", member.service()},
                         {"target", static_cast<int>(member.target())},
                         {"connected", peers_.is_connected(host)}});
    }
    const nlohmann::json status{{"host", settings_.host},
                                {"zone", settings_.zone},
                                {"ready", is_ready()},
                                {"version", configuration_.state().document_version},
                                {"version_age_ms", to_milliseconds(configuration_.age())},
                                {"keys_count", configuration_.is_fresh()},
                                {"store_connected", configuration_source_.follower().is_connected()},
                                {"target", target_.announced().instance},
                                {"hosts", hosts}};
    return status.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

asio::awaitable<void> store_node::wait_until_unready_reported(steady_time deadline) {
    while (unready_responses_ < unready_responses_until_drain && time_.now() < deadline) {
        co_await sleep_for(io_.get_executor(), stop_poll_interval);
    }
    co_await sleep_for(io_.get_executor(), last_requests_grace);
}

void store_node::log_stop_progress(std::string_view step, steady_time stop_began) {
    log_event(log_level::info, step,
              {{"host", settings_.host},
               {"took_ms", std::to_string(to_milliseconds(time_.now() - stop_began))},
               {"told", std::to_string(unready_responses_)},
               {"connections", std::to_string(caller_server_.server().connections())},
               {"requests", std::to_string(caller_server_.server().busy())},
               {"runs", std::to_string(executor_.busy())},
               {"unsent_bytes", std::to_string(peer_server_.unsent_bytes())}});
}

asio::awaitable<void> store_node::stop() {
    if (stopping_) {
        co_return;
    }
    log_event(log_level::info, "stopping", {{"host", settings_.host}});
    const auto stop_began = time_.now();
    const auto deadline = stop_began + settings_.stop_wait - stop_margin;
    stopping_ = true;
    stop_.process_end = deadline;
    peers_.announce_stop();
    executor_.check_waiting();
    publish_target();
    // Requests for this host's target go to other hosts from now on, unless their service has no other
    // target; requests that callers send to this host are still accepted.
    executor_.drain();
    caller_server_.server().disable_keep_alive();
    co_await wait_until_unready_reported(std::min(stop_began + max_stop_grace, deadline));
    log_stop_progress("callers informed of the stop", stop_began);
    executor_.close();
    caller_server_.server().drain();
    stop_wait_context stop_context{io_.get_executor(), time_, executor_, peer_server_, {}};
    stop_context.servers.push_back(&caller_server_.server());
    co_await wait_until_idle(stop_context, deadline);
    log_stop_progress("no request running", stop_began);
    co_await wait_until_flushed(stop_context, deadline);
    configuration_source_.stop();
    asio::co_spawn(io_, registry_.leave(), asio::detached);
    const auto leave_deadline = time_.now() + leave_timeout;
    while (!registry_.has_left() && time_.now() < leave_deadline) {
        co_await sleep_for(io_.get_executor(), stop_poll_interval);
    }
    const auto unanswered = caller_server_.server().log_unanswered("stopped");
    log_store_calls();
    log_stop_progress("stopped", stop_began);
    if (unanswered > 0) {
        log_event(log_level::warning, "requests cut off by the stop",
                  {{"requests", std::to_string(unanswered)}});
    }
    registry_.stop();
    peer_server_.stop();
    peers_.stop();
    io_.stop();
}

} // namespace dandelionmount
