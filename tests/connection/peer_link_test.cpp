#include "dandelionmount/connection/peer_link.h"

#include "dandelionmount/connection/address.h"
#include "dandelionmount/connection/http_server.h"
#include "dandelionmount/connection/listen.h"
#include "dandelionmount/connection/peer_handshake.h"
#include "dandelionmount/connection/peer_server.h"
#include "dandelionmount/process/peer_directory.h"
#include "dandelionmount/request/executor.h"
#include "tests/support/host_process.h"
#include "tests/support/relay.h"
#include "tests/support/seed.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <atomic>
#include <doctest/doctest.h>
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <thread>

namespace dm = dandelionmount;
namespace asio = boost::asio;
namespace wire = dandelionmount::wire;
using std::chrono::milliseconds;
using tests::host_process;

namespace {

const std::string receiver_ip = "127.0.0.1";
const std::string host_address = tests::host_address(receiver_ip);
const std::string target_address = tests::target_address(receiver_ip);

// A sender, a relay that breaks connections, and a receiving host with a target that counts runs.
struct link_fixture {
    link_fixture(std::uint64_t seed, bool settles,
                 std::optional<dm::duration> idempotent_settle_timeout = std::nullopt)
        : idempotent_requests_are_settled(!idempotent_settle_timeout), random(seed) {
        REQUIRE(target_server.listen(target_address));
        start_process();
        middle = std::make_unique<tests::relay>(io.get_executor(), host_address);
        const dm::peer_link_context context{io.get_executor(), sender,  time,
                                            counters,          settles, idempotent_settle_timeout};
        link = std::make_shared<dm::peer_link>(context, "receiver", middle->listen());
    }

    ~link_fixture() {
        link->stop();
        middle->stop();
        for (auto& process : processes) {
            process->kill();
        }
        target_server.drain();
        io.run_for(milliseconds(100));
    }

    void start_process() {
        if (!processes.empty()) {
            processes.back()->kill();
        }
        processes.push_back(std::make_unique<host_process>(io, time, configuration, receiver_ip,
                                                           static_cast<std::uint64_t>(processes.size() + 1),
                                                           idempotent_requests_are_settled));
    }

    asio::awaitable<dm::http_response> run_at_target(dm::http_request request,
                                                     std::shared_ptr<dm::cancel_token> cancel) {
        const std::string id(request["Dandelion-Request"]);
        ++runs[id];
        cancel->on_cancel([this, id] { broken_off.insert(id); });
        co_await dm::sleep_for(io.get_executor(), min_run_time + milliseconds(random() % 20));
        co_return dm::make_text_response(200, "text/plain", std::string(request["Dandelion-Request"]));
    }

    // The receiver believes that it has `extra_time` more than the limit, as after a slow transit.
    asio::awaitable<void> send(std::string id, dm::duration limit, dm::duration extra_time = {}) {
        ++open_requests;
        wire::forward_request request;
        request.set_id(id);
        request.set_attempt(1);
        request.set_open(true);
        request.set_service("store");
        request.set_method("POST");
        request.set_path("/x");
        request.set_priority(4);
        request.set_remaining_ms(dm::to_milliseconds(limit + extra_time));
        auto cancel = std::make_shared<dm::cancel_token>();
        if (random() % 12 == 0) {
            auto timer = std::make_shared<asio::steady_timer>(io, milliseconds(random() % 30));
            timer->async_wait([timer, cancel](const boost::system::error_code&) { cancel->request(); });
        }
        const auto result = co_await link->forward(request, time.now() + limit, cancel);
        const auto& reply = result.reply;
        outcomes[id] = reply.outcome();
        lost_outcomes += reply.outcome() == wire::unknown && reply.reason() == "peer_lost" ? 1 : 0;
        if (reply.outcome() == wire::ran && reply.body() != id) {
            ++mismatched_replies;
        }
        --open_requests;
    }

    bool run_until_quiet(dm::duration limit) {
        const auto until = std::chrono::steady_clock::now() + limit;
        while (open_requests > 0 && std::chrono::steady_clock::now() < until) {
            io.run_for(milliseconds(5));
        }
        return open_requests == 0;
    }

    void check_all() const {
        CHECK(mismatched_replies == 0);
        for (const auto& [id, outcome] : outcomes) {
            CAPTURE(id);
            const auto found = runs.find(id);
            const int count = found == runs.end() ? 0 : found->second;
            CHECK(count <= 1);
            if (outcome == wire::not_run) {
                CHECK(count == 0);
            }
            if (outcome == wire::ran) {
                CHECK(count == 1);
            }
        }
    }

    // Starts a request that its caller can cancel.
    void start_cancellable(std::string id, bool idempotent, std::shared_ptr<dm::cancel_token> cancel) {
        asio::co_spawn(
            io,
            [this, id = std::move(id), idempotent, cancel]() -> asio::awaitable<void> {
                wire::forward_request request;
                request.set_id(id);
                request.set_attempt(1);
                request.set_open(true);
                request.set_service("store");
                request.set_method("GET");
                request.set_path("/x");
                request.set_idempotent(idempotent);
                request.set_remaining_ms(5000);
                const auto deadline = time.now() + std::chrono::seconds(5);
                auto result = co_await link->forward(request, deadline, cancel);
                if (result.unsettled && resumes) {
                    auto reply = co_await link->resume(*result.unsettled, deadline, cancel);
                    result.reply = std::move(reply);
                } else if (result.unsettled) {
                    link->abandon(*result.unsettled, deadline);
                }
                outcomes[id] = result.reply.outcome();
            },
            asio::detached);
    }

    bool run_until_ended(const std::string& id, dm::duration limit) {
        const auto until = std::chrono::steady_clock::now() + limit;
        while (!outcomes.contains(id) && std::chrono::steady_clock::now() < until) {
            io.run_for(milliseconds(5));
        }
        return outcomes.contains(id);
    }

    // Runs until the target notices that the request was cancelled, at most for the time; returns whether it
    // did.
    bool run_until_broken_off(const std::string& id, dm::duration limit) {
        const auto until = std::chrono::steady_clock::now() + limit;
        while (!broken_off.contains(id) && std::chrono::steady_clock::now() < until) {
            link->keep_connected();
            io.run_for(milliseconds(5));
        }
        return broken_off.contains(id);
    }

    bool idempotent_requests_are_settled;
    asio::io_context io{1};
    std::mt19937_64 random;
    dm::system_time_source time;
    dm::metrics counters;
    dm::configuration_store configuration{{}, time};
    dm::peer_identity sender{"sender", 1, "secret"};
    dm::http_server target_server{io.get_executor(),
                                  {},
                                  counters,
                                  [this](dm::http_request request, std::shared_ptr<dm::cancel_token> cancel) {
                                      return run_at_target(std::move(request), std::move(cancel));
                                  }};
    std::vector<std::unique_ptr<host_process>> processes;
    std::unique_ptr<tests::relay> middle;
    std::shared_ptr<dm::peer_link> link;
    /// Whether an unsettled attempt is resumed, and not abandoned.
    bool resumes{false};
    /// Minimum duration of each run.
    dm::duration min_run_time{0};
    std::map<std::string, int> runs;
    /// Requests whose connection to the target was closed while they ran.
    std::set<std::string> broken_off;
    std::map<std::string, wire::forward_outcome> outcomes;
    /// Requests whose outcome is unknown because a connection was lost.
    int lost_outcomes{0};
    int mismatched_replies{0};
    int open_requests{0};
};

// A host in its own thread that echoes heartbeats after a delay, and replies to a request after the second
// one.
class delayed_peer {
public:
    delayed_peer() {
        REQUIRE(dm::open_acceptor(acceptor_, "127.0.0.1:0"));
        asio::co_spawn(io_, serve(), asio::detached);
        thread_ = std::thread([this] { io_.run(); });
    }
    delayed_peer(const delayed_peer&) = delete;
    delayed_peer& operator=(const delayed_peer&) = delete;
    ~delayed_peer() {
        io_.stop();
        thread_.join();
    }

    [[nodiscard]] std::string address() const {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    [[nodiscard]] int connections() const { return connections_; }
    [[nodiscard]] int heartbeats() const { return heartbeats_; }

private:
    asio::awaitable<void> serve() {
        while (true) {
            auto [error, socket] = co_await acceptor_.async_accept(dm::as_result);
            if (error) {
                co_return;
            }
            ++connections_;
            asio::co_spawn(io_, serve_stream(std::make_shared<dm::frame_stream>(std::move(socket))),
                           asio::detached);
        }
    }

    asio::awaitable<void> serve_stream(std::shared_ptr<dm::frame_stream> stream) {
        const auto peer = co_await dm::accept_handshake(*stream, self_);
        wire::peer_frame reply;
        while (peer) {
            const auto frame = co_await stream->read(dm::max_frame_bytes);
            if (!frame) {
                break;
            }
            if (frame.value().has_forward_request()) {
                *reply.mutable_forward_reply() =
                    dm::make_reply(frame.value().forward_request(), wire::ran, dm::reason::none);
            } else if (frame.value().has_heartbeat()) {
                const bool replies = ++heartbeats_ == 2;
                co_await dm::sleep_for(io_.get_executor(), milliseconds(50));
                stream->send(replies ? reply : frame.value());
            }
        }
        stream->close();
    }

    asio::io_context io_{1};
    asio::ip::tcp::acceptor acceptor_{io_};
    dm::peer_identity self_{"receiver", 1, "secret"};
    std::atomic<int> connections_{0};
    std::atomic<int> heartbeats_{0};
    std::thread thread_;
};

enum class link_fault { cut_connections, drop_traffic, restart };

// Sends requests for a while with faults in between, and waits for all outcomes.
void run_with_faults(link_fixture& fixture, int requests, const std::vector<link_fault>& faults) {
    for (int number = 0; number < requests; ++number) {
        const std::string id = "r" + std::to_string(number);
        const auto limit = milliseconds(fixture.random() % 10 == 0 ? 10 : 4000);
        asio::co_spawn(fixture.io, fixture.send(id, limit), asio::detached);
        fixture.io.run_for(milliseconds(fixture.random() % 8));
        for (auto& process : fixture.processes) {
            // The target keeps announcing itself.
            process->announce();
        }
        if (fixture.random() % 25 == 0) {
            switch (faults[fixture.random() % faults.size()]) {
            case link_fault::cut_connections:
                fixture.middle->cut_connections();
                break;
            case link_fault::drop_traffic:
                fixture.middle->drop_traffic();
                break;
            case link_fault::restart:
                fixture.start_process();
                break;
            }
        }
    }
    CHECK(fixture.run_until_quiet(std::chrono::seconds(20)));
}

} // namespace

TEST_SUITE_BEGIN("connection");

TEST_CASE("A request runs at most once and its outcome is reported correctly while connections break or go "
          "silent and hosts restart") {
    const auto range = tests::seeds(4);
    for (std::uint64_t seed = range.first; seed < range.first + range.count; ++seed) {
        CAPTURE(seed);
        std::cout << "peer link run, seed " << seed << "\n";
        link_fixture fixture(seed, true);
        run_with_faults(fixture, 300,
                        {link_fault::cut_connections, link_fault::drop_traffic, link_fault::restart});
        fixture.check_all();
    }
}

TEST_CASE("With settling, lost connections alone leave no outcome unknown") {
    link_fixture with(7, true);
    run_with_faults(with, 250, {link_fault::cut_connections});
    with.check_all();
    CHECK(with.counters.total(dm::event::settle_questions) > 0);
    MESSAGE("unknown with settling: " << with.lost_outcomes << " of " << with.outcomes.size());
    CHECK(with.lost_outcomes == 0);
}

TEST_CASE("Without settling, lost connections leave outcomes unknown") {
    link_fixture without(7, false);
    run_with_faults(without, 250, {link_fault::cut_connections});
    without.check_all();
    MESSAGE("unknown without settling: " << without.lost_outcomes << " of " << without.outcomes.size());
    CHECK(without.lost_outcomes > 0);
}

TEST_CASE("A host that settles a request as not seen refuses it from then on") {
    link_fixture fixture(1, true);
    auto& executor = fixture.processes.back()->executor;
    auto stream = std::make_shared<dm::frame_stream>(asio::ip::tcp::socket(fixture.io));
    wire::settle_request outcome_query;
    outcome_query.set_id("late");
    outcome_query.set_attempt(1);
    executor.settle(outcome_query, stream);
    wire::forward_request request;
    request.set_id("late");
    request.set_attempt(1);
    request.set_open(true);
    request.set_service("store");
    request.set_method("POST");
    request.set_path("/x");
    request.set_remaining_ms(1000);
    executor.accept(request, stream);
    fixture.io.run_for(milliseconds(100));
    CHECK(fixture.runs.empty());
}

// Guards against 504 for a request that waited at its target's host until the deadline, and so did not run.
TEST_CASE("A request that still waits for its target at the deadline is reported as not run") {
    link_fixture fixture(3, true);
    fixture.min_run_time = milliseconds(400);
    for (int number = 0; number < 3; ++number) {
        asio::co_spawn(fixture.io, fixture.send("running-" + std::to_string(number), std::chrono::seconds(2)),
                       asio::detached);
    }
    fixture.io.run_for(milliseconds(50));
    for (int number = 0; number < 20; ++number) {
        asio::co_spawn(
            fixture.io,
            fixture.send("waiting-" + std::to_string(number), milliseconds(100 + number), milliseconds(200)),
            asio::detached);
    }
    REQUIRE(fixture.run_until_quiet(std::chrono::seconds(3)));
    fixture.check_all();
    for (int number = 0; number < 20; ++number) {
        CHECK(fixture.outcomes.at("waiting-" + std::to_string(number)) == wire::not_run);
    }
}

// Guards against targets at work for callers that have left: a cancellation was lost with the connection that
// carried it, and never sent again.
TEST_CASE("A request whose caller leaves while the connection is lost is cancelled once it is open again") {
    link_fixture fixture(1, true);
    fixture.min_run_time = std::chrono::seconds(3);
    const auto cancel = std::make_shared<dm::cancel_token>();
    fixture.start_cancellable("left", false, cancel);
    fixture.io.run_for(milliseconds(100));
    REQUIRE(fixture.runs["left"] == 1);
    fixture.middle->cut_connections();
    cancel->request();
    CHECK(fixture.run_until_broken_off("left", milliseconds(500)));
}

// Guards against targets at work on an attempt that was given up: the request was sent to another host, and
// its caller may have left since.
TEST_CASE("An attempt that is given up with its connection is cancelled once the connection is open again") {
    link_fixture fixture(1, true, dm::duration{0});
    fixture.processes.back()->ends_runs_with_connection = false;
    fixture.min_run_time = std::chrono::seconds(3);
    fixture.start_cancellable("given-up", true, std::make_shared<dm::cancel_token>());
    fixture.io.run_for(milliseconds(100));
    REQUIRE(fixture.runs["given-up"] == 1);
    fixture.middle->cut_connections();
    CHECK(fixture.run_until_broken_off("given-up", milliseconds(500)));
    CHECK(fixture.outcomes.at("given-up") == wire::unknown);
}

// Guards against targets at work for the callers of a host that was killed or can't connect again.
TEST_CASE(
    "A run of an idempotent request ends soon after the connection that brought it where senders send it "
    "elsewhere") {
    for (const bool idempotent : {true, false}) {
        CAPTURE(idempotent);
        link_fixture fixture(1, true, dm::duration{0});
        fixture.min_run_time = std::chrono::seconds(3);
        fixture.start_cancellable("orphan", idempotent, std::make_shared<dm::cancel_token>());
        fixture.io.run_for(milliseconds(100));
        REQUIRE(fixture.runs["orphan"] == 1);
        fixture.link->stop();
        // A short loss of the connection breaks off nothing.
        CHECK_FALSE(fixture.run_until_broken_off("orphan", milliseconds(500)));
        CHECK(fixture.run_until_broken_off("orphan", milliseconds(1000)) == idempotent);
    }
}

// Guards against a second run of a request whose first one goes on: its connection was lost, and its host
// reachable again after a round trip.
TEST_CASE(
    "An idempotent request whose connection is lost gets the response of its run if its host is back soon") {
    link_fixture fixture(1, true, milliseconds(100));
    fixture.min_run_time = milliseconds(1500);
    fixture.start_cancellable("cut", true, std::make_shared<dm::cancel_token>());
    fixture.io.run_for(milliseconds(100));
    fixture.middle->cut_connections();
    REQUIRE(fixture.run_until_ended("cut", std::chrono::seconds(3)));
    CHECK(fixture.outcomes["cut"] == wire::ran);
    CHECK(fixture.runs["cut"] == 1);
}

// Guards against 502 for a request whose target is at work: its connection was lost, and it could not be sent
// to another host.
TEST_CASE("An unsettled attempt that is resumed gets the response of its run") {
    link_fixture fixture(1, true, dm::duration{0});
    fixture.resumes = true;
    fixture.min_run_time = milliseconds(1500);
    fixture.start_cancellable("resumed", true, std::make_shared<dm::cancel_token>());
    fixture.io.run_for(milliseconds(100));
    fixture.middle->cut_connections();
    REQUIRE(fixture.run_until_ended("resumed", std::chrono::seconds(3)));
    CHECK(fixture.outcomes["resumed"] == wire::ran);
    CHECK(fixture.runs["resumed"] == 1);
}

// Guards against requests that are broken off after hosts have been restarted in turn: the heartbeats of an
// ended connection made the next one count as silent, and the link closed it at the next request.
TEST_CASE("A connection that follows an ended one is not closed for the silence of the ended one") {
    link_fixture fixture(1, true);
    fixture.link->keep_connected();
    fixture.io.run_for(milliseconds(1500));
    REQUIRE(fixture.link->is_connected());
    fixture.middle->cut_connections();
    fixture.io.run_for(milliseconds(50));
    fixture.link->keep_connected();
    // By then the first connection would have sent its next heartbeat, and waited for the answer in vain.
    fixture.io.run_for(milliseconds(2550));
    REQUIRE(fixture.link->is_connected());
    fixture.min_run_time = milliseconds(600);
    fixture.start_cancellable("after", false, std::make_shared<dm::cancel_token>());
    REQUIRE(fixture.run_until_ended("after", std::chrono::seconds(3)));
    CHECK(fixture.outcomes["after"] == wire::ran);
    CHECK(fixture.counters.total(dm::event::settle_questions) == 0);
}

// Guards against requests that reach a target long after their callers have left: a host that is late started
// a request and read its cancellation after it. The target has an idle connection, so a run would start at
// once.
TEST_CASE("A request does not run if its cancellation was received with it") {
    link_fixture fixture(1, true);
    fixture.min_run_time = dm::duration{0};
    fixture.start_cancellable("first", true, std::make_shared<dm::cancel_token>());
    REQUIRE(fixture.run_until_ended("first", std::chrono::seconds(1)));
    asio::ip::tcp::socket socket(fixture.io);
    const auto address = dm::parse_address(host_address).value();
    socket.connect({address.ip, address.port});
    const auto stream = std::make_shared<dm::frame_stream>(std::move(socket));
    std::optional<wire::forward_reply> reply;
    asio::co_spawn(
        fixture.io,
        [&]() -> asio::awaitable<void> {
            const auto receiver = co_await dm::connect_handshake(*stream, fixture.sender);
            wire::peer_frame request;
            request.mutable_forward_request()->set_id("left");
            request.mutable_forward_request()->set_attempt(1);
            request.mutable_forward_request()->set_open(true);
            request.mutable_forward_request()->set_service("store");
            request.mutable_forward_request()->set_method("GET");
            request.mutable_forward_request()->set_path("/x");
            request.mutable_forward_request()->set_idempotent(true);
            request.mutable_forward_request()->set_remaining_ms(5000);
            wire::peer_frame cancel;
            cancel.mutable_cancel_request()->set_id("left");
            cancel.mutable_cancel_request()->set_attempt(1);
            stream->send_with_next(request);
            stream->send(cancel);
            const auto frame = co_await stream->read(dm::max_frame_bytes);
            if (receiver && frame) {
                reply = frame.value().forward_reply();
            }
        },
        asio::detached);
    fixture.io.run_for(milliseconds(200));
    CHECK(fixture.runs["left"] == 0);
    REQUIRE(reply);
    CHECK(reply->outcome() == wire::not_run);
    stream->close();
}

// Guards against replies that are lost when the record store reports that their host has left: callers got
// 502 for requests that had run.
TEST_CASE("A request running on a host that is removed from the member list still gets its reply") {
    link_fixture fixture(1, true);
    fixture.min_run_time = milliseconds(300);
    dm::member_table members{{}};
    wire::member_record record;
    record.set_host("receiver");
    record.set_address(host_address);
    record.set_state(wire::member_alive);
    dm::store_record(members, record);
    dm::peer_directory directory({fixture.io.get_executor(), fixture.sender, fixture.time, fixture.counters},
                                 members);
    fixture.link = directory.find("receiver");
    asio::co_spawn(fixture.io, fixture.send("leaving", std::chrono::seconds(2)), asio::detached);
    fixture.io.run_for(milliseconds(100));
    REQUIRE(fixture.runs["leaving"] == 1);
    dm::erase_record(members, "receiver");
    directory.close_gone_links();
    REQUIRE(fixture.run_until_quiet(std::chrono::seconds(4)));
    CHECK(fixture.outcomes["leaving"] == wire::ran);
}

// Guards against a host that stays excluded because the end of its former link is taken for the end of its
// current one.
TEST_CASE("The end of a retired link does not affect the reachability of a host that is listed again") {
    link_fixture fixture(1, true);
    fixture.min_run_time = milliseconds(300);
    bool reachable = false;
    const dm::peer_link_context context{
        fixture.io.get_executor(),
        fixture.sender,
        fixture.time,
        fixture.counters,
        true,
        std::nullopt,
        [&](const std::string&, bool is_reachable) { reachable = is_reachable; }};
    fixture.link->stop();
    fixture.link = std::make_shared<dm::peer_link>(context, "receiver", host_address);
    asio::co_spawn(fixture.io, fixture.send("owed", std::chrono::seconds(2)), asio::detached);
    fixture.io.run_for(milliseconds(100));
    REQUIRE(reachable);
    fixture.link->retire();
    CHECK_FALSE(reachable);
    const auto next = std::make_shared<dm::peer_link>(context, "receiver", host_address);
    next->keep_connected();
    REQUIRE(fixture.run_until_quiet(std::chrono::seconds(4)));
    fixture.io.run_for(milliseconds(100));
    CHECK(fixture.outcomes["owed"] == wire::ran);
    CHECK_FALSE(fixture.link->is_connected());
    CHECK(next->is_connected());
    CHECK(reachable);
    next->stop();
}

// Guards against a connection that completes after its host has departed and is then never closed.
TEST_CASE("A link retired while connecting is closed") {
    link_fixture fixture(1, true);
    fixture.link->keep_connected();
    fixture.link->retire();
    fixture.io.run_for(milliseconds(200));
    CHECK_FALSE(fixture.link->is_connected());
}

// Guards against a host that, after a stall of its own process, counts that time as silence of the other
// hosts and drops all its links at once.
TEST_CASE("A host that was stalled keeps its connections to the others") {
    delayed_peer peer;
    asio::io_context io{1};
    const dm::system_time_source time;
    dm::metrics counters;
    const dm::peer_identity self{"sender", 1, "secret"};
    const dm::peer_link_context context{io.get_executor(), self, time, counters};
    const auto link = std::make_shared<dm::peer_link>(context, "receiver", peer.address());
    std::optional<wire::forward_reply> reply;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            wire::forward_request request;
            request.set_id("late");
            request.set_attempt(1);
            auto result = co_await link->forward(request, time.now() + std::chrono::seconds(5),
                                                 std::make_shared<dm::cancel_token>());
            reply = std::move(result.reply);
        },
        asio::detached);
    const auto until = time.now() + std::chrono::seconds(5);
    while (peer.heartbeats() == 0 && time.now() < until) {
        io.run_for(milliseconds(1));
    }
    std::this_thread::sleep_for(milliseconds(900));
    while (!reply && time.now() < until) {
        io.run_for(milliseconds(5));
    }
    link->stop();
    io.run_for(milliseconds(20));
    REQUIRE(reply);
    CHECK(reply->outcome() == wire::ran);
    CHECK(peer.connections() == 1);
}

TEST_SUITE_END();
