#include "dandelionmount/request/dispatcher.h"

#include "dandelionmount/connection/http_server.h"
#include "dandelionmount/request/local_retry_limiter.h"
#include "tests/support/host_process.h"
#include "tests/support/relay.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <optional>

namespace dm = dandelionmount;
namespace asio = boost::asio;
namespace wire = dandelionmount::wire;
using std::chrono::milliseconds;

namespace {

// Other than in the tests of links, which may run at the same time.
const std::string receiver_ip = "127.0.0.2";

wire::member_record make_record(const std::string& host, const std::string& service) {
    wire::member_record record;
    record.set_host(host);
    record.set_zone("a");
    record.set_incarnation(1);
    record.set_service(service);
    record.set_state(wire::member_alive);
    record.set_target(wire::target_ready);
    record.set_target_slots(3);
    return record;
}

// A dispatcher whose only worker is at another host, behind a relay that breaks connections.
struct dispatcher_fixture {
    dispatcher_fixture() {
        REQUIRE(target_server.listen(tests::target_address(receiver_ip)));
        auto record = make_record("receiver", "store");
        record.set_address(middle.listen());
        dm::store_record(members, record);
    }

    ~dispatcher_fixture() {
        peers.stop();
        middle.stop();
        receiver.kill();
        target_server.drain();
        io.run_for(milliseconds(100));
    }

    asio::awaitable<dm::http_response> run_at_target(dm::http_request request) {
        ++runs;
        co_await dm::sleep_for(io.get_executor(), milliseconds(800));
        co_return dm::make_text_response(200, "text/plain", std::string(request["Dandelion-Request"]));
    }

    void start_request() {
        dm::dispatch_order order;
        order.request.set_id("r");
        order.request.set_open(true);
        order.request.set_service("store");
        order.request.set_method("GET");
        order.request.set_path("/x");
        order.request.set_idempotent(true);
        order.deadline = time.now() + std::chrono::seconds(4);
        order.due = order.deadline;
        order.allowance = std::make_shared<dm::retry_allowance>(1);
        order.cancel = std::make_shared<dm::cancel_token>();
        asio::co_spawn(
            io,
            [this, order]() -> asio::awaitable<void> {
                auto final_reply = co_await dispatcher.dispatch(order);
                reply = std::move(final_reply);
            },
            asio::detached);
    }

    void run_until_replied() {
        const auto until = time.now() + std::chrono::seconds(3);
        while (!reply && time.now() < until) {
            io.run_for(milliseconds(5));
        }
    }

    asio::io_context io{1};
    std::mt19937_64 random{1};
    dm::system_time_source time;
    dm::metrics counters;
    dm::configuration_store configuration{{}, time};
    dm::http_server target_server{
        io.get_executor(), {}, counters, [this](dm::http_request request, std::shared_ptr<dm::cancel_token>) {
            return run_at_target(std::move(request));
        }};
    tests::host_process receiver{io, time, configuration, receiver_ip, 1, false};
    tests::relay middle{io.get_executor(), tests::host_address(receiver_ip)};
    dm::peer_identity self{"sender", 1, "secret"};
    dm::member_table members{make_record("sender", "front")};
    dm::peer_directory peers{{io.get_executor(), self, time, counters, true, dm::duration{0}}, members};
    dm::local_target own_target{time};
    dm::target_connections own_connections{io.get_executor(), time, 100000,
                                           std::make_shared<dm::byte_budget>(dm::byte_budget{1000000})};
    dm::executor own_executor{{io.get_executor(), time, counters, configuration, own_target, own_connections,
                               asio::ip::make_address("127.0.0.1")}};
    dm::local_retry_limiter retries{configuration};
    dm::dispatcher dispatcher{{time, counters, configuration, members, peers, own_executor, random, retries}};
    int runs{0};
    std::optional<wire::forward_reply> reply;
};

} // namespace

TEST_SUITE_BEGIN("request");

// Guards against 502 for a request whose target is at work: the connection to its host was lost, and no other
// worker could take the request.
TEST_CASE("A request whose connection is lost is waited for when it can't be sent to another worker") {
    dispatcher_fixture fixture;
    fixture.start_request();
    fixture.io.run_for(milliseconds(200));
    REQUIRE(fixture.runs == 1);
    fixture.middle.cut_connections();
    fixture.run_until_replied();
    REQUIRE(fixture.reply);
    CHECK(fixture.reply->outcome() == wire::ran);
    CHECK(fixture.runs == 1);
}

TEST_SUITE_END();
