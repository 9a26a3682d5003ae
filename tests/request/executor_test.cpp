#include "dandelionmount/request/executor.h"

#include "dandelionmount/connection/http_server.h"
#include "dandelionmount/connection/peer_link.h"
#include "tests/support/host_process.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <map>
#include <vector>

namespace dm = dandelionmount;
namespace asio = boost::asio;
namespace wire = dandelionmount::wire;
using std::chrono::milliseconds;

namespace {

// Other than in the tests of links and of the dispatcher, which may run at the same time.
const std::string receiver_ip = "127.0.0.3";

// A host that stops, and another one that runs its requests at a target with three slots, of which two are
// used.
struct stopping_sender {
    stopping_sender() { REQUIRE(target_server.listen(tests::target_address(receiver_ip))); }

    ~stopping_sender() {
        link->stop();
        receiver.kill();
        target_server.drain();
        io.run_for(milliseconds(100));
    }

    asio::awaitable<dm::http_response> run_at_target(dm::http_request request) {
        const std::string id(request["Dandelion-Request"]);
        ++runs[id];
        told_ms[id] = std::stoi(std::string(request["Dandelion-Timeout"]));
        co_await dm::sleep_for(io.get_executor(), run_time);
        co_return dm::make_text_response(200, "text/plain", id);
    }

    void send(const std::string& id, dm::duration limit = std::chrono::seconds(5)) {
        wire::forward_request request;
        request.set_id(id);
        request.set_attempt(1);
        request.set_open(true);
        request.set_service("store");
        request.set_method("POST");
        request.set_path("/x");
        request.set_route(route);
        request.set_remaining_ms(dm::to_milliseconds(limit));
        if (id.starts_with("with key")) {
            auto* header = request.add_headers();
            header->set_name(std::string(dm::idempotency_header));
            header->set_value(id);
        }
        asio::co_spawn(
            io,
            [this, request, limit]() -> asio::awaitable<void> {
                auto result =
                    co_await link->forward(request, time.now() + limit, std::make_shared<dm::cancel_token>());
                replied_at[request.id()] = time.now();
                replies[request.id()] = std::move(result.reply);
            },
            asio::detached);
    }

    void run(dm::duration limit) {
        io.restart();
        io.run_for(limit);
    }

    // Lets the receiver measure the run time of the route.
    void measure() {
        const int needed = 40;
        for (int number = 0; number < needed; ++number) {
            send("measured" + std::to_string(number));
            run(run_time + milliseconds(2));
        }
        run(milliseconds(50));
        REQUIRE(replies.size() == static_cast<std::size_t>(needed));
    }

    void stop_within(dm::duration time_left) {
        stop.process_end = time.now() + time_left;
        link->announce_stop();
    }

    bool was_refused(const std::string& id) {
        return replies.contains(id) && replies[id].outcome() == wire::not_run &&
               replies[id].reason() == "sender_stopping";
    }

    asio::io_context io{1};
    dm::system_time_source time;
    dm::metrics counters;
    dm::configuration_store configuration{{}, time};
    std::string route{"/x"};
    dm::duration run_time{milliseconds(20)};
    std::map<std::string, int> runs;
    std::map<std::string, int> told_ms;
    std::map<std::string, wire::forward_reply> replies;
    std::map<std::string, dm::steady_time> replied_at;
    dm::http_server target_server{
        io.get_executor(), {}, counters, [this](dm::http_request request, std::shared_ptr<dm::cancel_token>) {
            return run_at_target(std::move(request));
        }};
    tests::host_process receiver{io, time, configuration, receiver_ip, 1, true};
    dm::peer_identity self{"sender", 1, "secret"};
    dm::stop_schedule stop;
    std::shared_ptr<dm::peer_link> link{std::make_shared<dm::peer_link>(
        dm::peer_link_context{io.get_executor(), self, time, counters, true, std::nullopt, {}, &stop},
        "receiver", tests::host_address(receiver_ip))};
};

} // namespace

TEST_SUITE_BEGIN("request");

// Guards against a request that a stopping host takes so late that its connection ends while it runs.
TEST_CASE("A request that can't end before the process of its sender does is not started") {
    stopping_sender fixture;
    fixture.run_time = milliseconds(100);
    fixture.measure();
    fixture.stop_within(dm::final_reply_time + milliseconds(600));
    fixture.send("in time");
    fixture.run(milliseconds(570));
    fixture.send("late");
    fixture.run(milliseconds(20));
    CHECK(fixture.replies["in time"].outcome() == wire::ran);
    CHECK(fixture.was_refused("late"));
    CHECK(fixture.replies["late"].retry_after_ms() > 0);
    fixture.run(milliseconds(300));
    CHECK(fixture.runs["late"] == 0);
}

TEST_CASE("A request whose run time is unknown starts only if its deadline is before the end of its sender") {
    stopping_sender fixture;
    fixture.send("connects");
    fixture.run(milliseconds(60));
    fixture.route = "/unknown";
    fixture.stop_within(dm::final_reply_time + milliseconds(500));
    fixture.send("short", milliseconds(400));
    fixture.send("long", milliseconds(600));
    fixture.run(milliseconds(100));
    CHECK(fixture.replies["short"].outcome() == wire::ran);
    CHECK(fixture.was_refused("long"));
}

// Guards against a run that takes longer than those before it and is cut off by the end of its sender.
TEST_CASE("A target is told to end before the process of the sender does") {
    stopping_sender fixture;
    fixture.measure();
    fixture.stop_within(dm::final_reply_time + milliseconds(400));
    fixture.send("r");
    fixture.run(milliseconds(100));
    CHECK(fixture.replies["r"].outcome() == wire::ran);
    CHECK(fixture.told_ms["r"] <= 400);
    CHECK(fixture.told_ms["r"] > 300);
}

// Guards against requests that wait for a target until the process of their sender has ended, and whose
// callers get no response.
TEST_CASE("A request that waits is refused before the process of its sender ends, and does not run later") {
    stopping_sender fixture;
    fixture.measure();
    fixture.run_time = milliseconds(1500);
    for (const auto* id : {"running 1", "running 2", "running 3", "waiting"}) {
        fixture.send(id);
    }
    fixture.run(milliseconds(50));
    REQUIRE(fixture.runs["running 3"] == 1);
    REQUIRE(fixture.runs["waiting"] == 0);
    fixture.stop_within(dm::final_reply_time + milliseconds(600));
    fixture.run(milliseconds(100));
    CHECK_FALSE(fixture.replies.contains("waiting"));
    fixture.run(milliseconds(520));
    CHECK(fixture.was_refused("waiting"));
    // Until the process has ended.
    CHECK(fixture.replies["waiting"].retry_after_ms() > 200);
    fixture.run(milliseconds(1500));
    CHECK(fixture.runs["waiting"] == 0);
    CHECK(fixture.replies["running 1"].outcome() == wire::ran);
}

// Guards against requests that are given up although they would have been served in time.
TEST_CASE("A request that waits runs if it can still end before the process of its sender does") {
    stopping_sender fixture;
    fixture.run_time = milliseconds(100);
    fixture.measure();
    for (const auto* id : {"running 1", "running 2", "running 3", "waiting"}) {
        fixture.send(id);
    }
    fixture.run(milliseconds(10));
    fixture.stop_within(dm::final_reply_time + milliseconds(260));
    fixture.run(milliseconds(400));
    CHECK(fixture.replies["waiting"].outcome() == wire::ran);
}

// The end of the wait may meet the start of a run, for a request with an idempotency key as for any other.
TEST_CASE("Whatever waits while its sender stops either runs and is answered in time, or never runs") {
    for (int round = 0; round < 8; ++round) {
        CAPTURE(round);
        stopping_sender fixture;
        fixture.measure();
        std::vector<std::string> ids;
        for (int number = 0; number < 11; ++number) {
            ids.push_back((number % 2 == 0 ? "plain " : "with key ") + std::to_string(number));
            fixture.send(ids.back());
        }
        fixture.stop_within(dm::final_reply_time + milliseconds(30 + 5 * round));
        fixture.run(milliseconds(300));
        int refused = 0;
        for (const auto& id : ids) {
            CAPTURE(id);
            REQUIRE(fixture.replies.contains(id));
            CHECK(fixture.replied_at[id] <= fixture.stop.process_end);
            const bool ran = fixture.replies[id].outcome() == wire::ran;
            refused += fixture.replies[id].outcome() == wire::not_run ? 1 : 0;
            CHECK(fixture.runs[id] == (ran ? 1 : 0));
        }
        CHECK(refused > 0);
        CHECK(refused < 11);
    }
}

TEST_SUITE_END();
