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

constexpr duration upkeep_interval = std::chrono::milliseconds(125);
constexpr int rounds_between_reports = 2;
constexpr int rounds_of_second = 8;
// One read of the configuration waits this long. The proof that it gives is as old when it ends, and twice as
// old when the next one does; with the interval between reports that is below the time for which a proof
// counts.
constexpr duration configuration_wait = std::chrono::milliseconds(600);
// A host whose proofs are older reads the store itself; a change is then in force within two seconds.
constexpr duration configuration_proof_validity = std::chrono::milliseconds(1600);
// The same for the list of hosts, whose reads wait longer.
constexpr duration hosts_proof_validity = std::chrono::milliseconds(7000);
// Taken off the time within which a withdrawn key must stop, for clocks that run at different speeds.
constexpr duration freshness_margin = std::chrono::milliseconds(500);
// Announcements that may be missing before a target counts as gone; they may be seconds late.
constexpr int announcements_until_gone = 4;
// Retries at one service are repeated calls at the services below. With this part of the fleet's share at
// each, two services of a chain may fail at the same time.
constexpr double retry_part_of_chain = 0.5;
// A host that nobody reached for this long is taken off the list.
constexpr duration removal_time = std::chrono::seconds(20);
// A stopping host goes on taking requests until the platform has asked twice and was told that it is not
// ready, but not longer than this.
constexpr int questions_until_out = 2;
constexpr duration most_stop_grace = std::chrono::milliseconds(2500);
// Requests that callers sent before they knew arrive within this time.
constexpr duration last_requests_time = std::chrono::milliseconds(300);
// Runs of requests that were sent within 3 s of the signal may be cut at the end of the platform's grace
// period.
static_assert(most_stop_grace + last_requests_time < std::chrono::seconds(3));
// Kept free of the time that a stop may take, so that the process ends by itself.
constexpr duration stop_margin = std::chrono::milliseconds(800);
// How long the end waits for the store to take this host's record away.
constexpr duration leave_limit = std::chrono::milliseconds(300);
// Delays of the event loop that are worth a line: well below the silence after which a peer gives a link up.
constexpr duration logged_loop_delay = std::chrono::milliseconds(250);
constexpr duration quiet_poll = std::chrono::milliseconds(20);
// Bytes of one answer's body: a tenth of the memory of the smallest hosts, 160 MB.
constexpr std::size_t most_answer_bytes = 16UL * 1024 * 1024;
// Bytes of all answers that are being received: three tenths of it.
constexpr std::size_t most_received_bytes = 48UL * 1024 * 1024;
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
                                           executor& local, std::mt19937_64& random,
                                           service_pressure& pressure) {
    dispatcher_context context{time, counters, configuration, members, peers, local, random};
    context.shares_allowance = false;
    context.max_saved_retries = max_saved_retries_per_host(0, 1);
    context.redirects_refused_attempts = true;
    context.pressure = &pressure;
    return context;
}

} // namespace

store_node::store_node(asio::io_context& io, const store_settings& own, const platform_adapter& adapter,
                       record_store& store, const time_source& time)
    : io_(io), settings_(own), adapter_(adapter), time_(time), random_(random_number()),
      identity_{own.host, random_number(), {}}, members_{make_own_record(own, identity_.incarnation)},
      configuration_({}, time), target_(time, {}, own.announcement_interval * announcements_until_gone),
      peers_({io.get_executor(), identity_, time, counters_, true, true,
              [this](const std::string& host, bool reachable) {
                  dispatcher_.record_reachability(host, reachable);
              }},
             members_),
      connections_(io.get_executor(), time, most_answer_bytes,
                   std::make_shared<byte_budget>(byte_budget{most_received_bytes}), adapter.protocol),
      executor_({io.get_executor(), time, counters_, configuration_, target_, connections_,
                 ip_of(own.target_address), &pressure_}),
      dispatcher_(make_dispatcher_context(time, counters_, configuration_, members_, peers_, executor_,
                                          random_, pressure_)),
      topics_(time, peers_), watch_(time, settings_.host, target_,
                                    [this](const std::string& host, const target_health& note) {
                                        dispatcher_.record_worker_comparison(host, note);
                                    }),
      limiter_({io.get_executor(), time, counters_, configuration_, members_, peers_, topics_, watch_}),
      registry_({io.get_executor(), time, store, random_, members_, adapter.hosts_topic,
                 [this] { note_registry_change(); },
                 make_topic_peers(adapter.hosts_topic, hosts_proof_validity)}),
      configuration_follower_(
          {io.get_executor(), time, store, random_, adapter.configuration_topic, configuration_wait,
           duration{0}, make_topic_peers(adapter.configuration_topic, configuration_proof_validity)},
          {[this](std::span<const keyed_record> records, bool) { take_configuration(records); },
           [this](steady_time asked) { configuration_.note_fresh(asked); }}),
      peer_server_(
          io.get_executor(), identity_, counters_,
          [this](const wire::peer_frame& frame, const peer_name& from, std::shared_ptr<frame_stream> stream) {
              handle_frame(frame, from, std::move(stream));
          }),
      caller_server_({time, counters_, configuration_, limiter_, nullptr, dispatcher_, random_, own.service,
                      adapter.protocol},
                     io.get_executor(), caller_limits{}),
      readiness_server_(io.get_executor(), caller_limits{}, counters_,
                        [this](http_request request, std::shared_ptr<cancel_token>) {
                            return answer_readiness(std::move(request));
                        }),
      announcement_server_(io.get_executor(), caller_limits{}, counters_,
                           [this](http_request request, std::shared_ptr<cancel_token>) {
                               return answer_target(std::move(request));
                           }),
      operator_server_(io.get_executor(), caller_limits{}, counters_,
                       [this](http_request request, std::shared_ptr<cancel_token>) {
                           return answer_operator(std::move(request));
                       }) {
    topics_.add(configuration_follower_);
    topics_.add(registry_.follower());
    configuration_.require_freshness({own.key_withdrawal - freshness_margin});
    target_.on_change([this] { publish_target(); });
}

// Those who divide the rates hear from every host several times a second, and so read the store for all.
topic_peers store_node::make_topic_peers(std::string topic, duration proof_validity) {
    topic_peers peers;
    peers.reads_store = [this] { return limiter_.is_rate_allocator(); };
    peers.fetch = [this, topic = std::move(topic)](std::string host, std::uint64_t from) {
        return topics_.fetch(topic, std::move(host), from);
    };
    peers.proof_validity = proof_validity;
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
    configuration_follower_.start();
    registry_.start();
    asio::co_spawn(io_, run_upkeep(), asio::detached);
    log_event(log_level::info, "started",
              {{"host", settings_.host},
               {"zone", settings_.zone},
               {"service", settings_.service},
               {"callers", settings_.caller_address},
               {"incarnation", std::to_string(identity_.incarnation)}});
    return boost::outcome_v2::success();
}

void store_node::take_configuration(std::span<const keyed_record> records) {
    // Each record is whole: only the newest counts.
    const auto newest = std::find_if(records.rbegin(), records.rend(), [this](const keyed_record& record) {
        return record.key == adapter_.configuration_key && record.value;
    });
    if (newest != records.rend()) {
        take_configuration_text(*newest->value);
    }
}

void store_node::take_configuration_text(std::string_view text) {
    auto read = adapter_.read_configuration(text);
    if (!read) {
        log_event(log_level::error, "configuration refused", {{"cause", read.error().message}});
        return;
    }
    for (auto& service : read.value().document.services) {
        service.retry_budget = settings_.retry_share * retry_part_of_chain;
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
        caller_server_.server().set_limits(limits);
    }
}

void store_node::note_registry_change() {
    if (!registry_.secret().empty() && !peers_open_ && !stopping_) {
        identity_.secret = registry_.secret();
        const auto opened = peer_server_.listen(settings_.peer_address);
        peers_open_ = opened.has_value();
        if (!opened) {
            log_event(log_level::error, "peer port not open", {{"cause", opened.error().message}});
        }
    }
    dispatcher_.set_max_saved_retries(
        max_saved_retries_per_host(settings_.retry_slack * retry_part_of_chain, members_.others.size() + 1));
    peers_.close_gone_links();
    if (peers_open_) {
        peers_.keep_connected();
    }
}

bool store_node::is_ready() const {
    return configuration_.is_ready() && peers_open_ && !stopping_;
}

// The incarnation tells each life of the target apart from the one before, as each starts slowly.
void store_node::publish_target() {
    const auto& announced = target_.announced();
    auto& record = members_.self;
    record.set_incarnation(rendezvous_weight(std::to_string(identity_.incarnation), announced.instance));
    if (!announced.service.empty()) {
        record.set_service(announced.service);
    }
    record.set_target_slots(announced.slots);
    const bool leaving = stopping_ && announced.state != wire::target_none;
    record.set_target(leaving ? wire::target_draining : announced.state);
    connections_.drop_idle();
    log_event(log_level::info, "target changed",
              {{"instance", announced.instance},
               {"service", announced.service},
               {"state", std::to_string(record.target())},
               {"slots", std::to_string(announced.slots)}});
    registry_.publish();
}

void store_node::handle_frame(const wire::peer_frame& frame, const peer_name& from,
                              std::shared_ptr<frame_stream> stream) {
    if (executor_.handle_attempt_frame(frame, stream)) {
        return;
    }
    switch (frame.body_case()) {
    case wire::peer_frame::kHeartbeat:
        stream->send(frame);
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

asio::awaitable<void> store_node::run_upkeep() {
    for (int round = 1; !stopping_ || executor_.busy() > 0; ++round) {
        const auto due = time_.now() + upkeep_interval;
        co_await sleep_for(io_.get_executor(), upkeep_interval);
        note_loop_delay(time_.now() - due);
        target_.expire_announcement();
        if (round % rounds_of_second == 0) {
            connections_.close_unusable();
        }
        update_pressure(pressure_, target_.limiter(), time_.now());
        update_demands(target_.limiter(), time_.now());
        if (!peers_open_) {
            continue;
        }
        peers_.keep_connected();
        if (round % rounds_between_reports == 0) {
            limiter_.report();
        }
        if (round % rounds_of_second == 0) {
            registry_.publish();
            executor_.remove_expired();
            remove_unreachable_hosts();
        }
    }
}

// A process that gets too little processor time is late with everything, its word to other hosts included.
void store_node::note_loop_delay(duration delay) {
    counters_.loop_delay().add(delay);
    if (delay > logged_loop_delay) {
        log_event(log_level::warning, "event loop late",
                  {{"delay_ms", std::to_string(to_milliseconds(delay))},
                   {"requests", std::to_string(caller_server_.server().busy())},
                   {"runs", std::to_string(executor_.busy())}});
    }
}

// Hosts that are gone for good leave their records behind. One host, the same for all that see the same
// fleet, takes each away.
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
        if (!listed || now - since < removal_time) {
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

asio::awaitable<http_response> store_node::answer_readiness(http_request request) {
    const std::string path(request.target());
    if (path != adapter_.readiness_path) {
        co_return make_text_response(not_found, "text/plain", "");
    }
    if (stopping_) {
        ++told_unready_;
    }
    co_return make_text_response(is_ready() ? ok : unavailable, "text/plain", "");
}

asio::awaitable<http_response> store_node::answer_target(http_request request) {
    const auto report = adapter_.read_target_report(std::string(request.method_string()),
                                                    std::string(request.target()), request.body());
    if (!report) {
        log_event(log_level::warning, "target report refused", {{"cause", report.error().message}});
        co_return make_text_response(bad_request, "text/plain", report.error().message + "\n");
    }
    target_.handle_heartbeat(report.value());
    co_return make_text_response(ok, "application/json", adapter_.report_answer);
}

asio::awaitable<http_response> store_node::answer_operator(http_request request) {
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
                                {"store_connected", configuration_follower_.is_connected()},
                                {"target", target_.announced().instance},
                                {"hosts", hosts}};
    return status.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

asio::awaitable<void> store_node::wait_until_told(steady_time deadline) {
    while (told_unready_ < questions_until_out && time_.now() < deadline) {
        co_await sleep_for(io_.get_executor(), quiet_poll);
    }
    co_await sleep_for(io_.get_executor(), last_requests_time);
}

void store_node::log_stop(std::string_view step, steady_time began) {
    log_event(log_level::info, step,
              {{"host", settings_.host},
               {"took_ms", std::to_string(to_milliseconds(time_.now() - began))},
               {"told", std::to_string(told_unready_)},
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
    const auto began = time_.now();
    const auto deadline = began + settings_.stop_wait - stop_margin;
    stopping_ = true;
    publish_target();
    // Requests for this host's target go elsewhere from now on; those that enter here are still taken.
    executor_.drain();
    caller_server_.server().disable_keep_alive();
    co_await wait_until_told(std::min(began + most_stop_grace, deadline));
    log_stop("callers told", began);
    caller_server_.server().drain();
    caller_server_.set_shutdown_deadline(deadline);
    stop_wait_context parts{io_.get_executor(), time_, executor_, peer_server_, {}};
    parts.servers.push_back(&caller_server_.server());
    co_await wait_until_idle(parts, deadline);
    log_stop("quiet", began);
    co_await wait_until_flushed(parts, deadline);
    configuration_follower_.stop();
    asio::co_spawn(io_, registry_.leave(), asio::detached);
    const auto leave_by = time_.now() + leave_limit;
    while (!registry_.has_left() && time_.now() < leave_by) {
        co_await sleep_for(io_.get_executor(), quiet_poll);
    }
    const auto unanswered = caller_server_.server().log_unanswered("stopped");
    log_stop("stopped", began);
    if (unanswered > 0) {
        log_event(log_level::warning, "requests cut by the stop", {{"requests", std::to_string(unanswered)}});
    }
    registry_.stop();
    peer_server_.stop();
    peers_.stop();
    io_.stop();
}

} // namespace dandelionmount
