// Stand-in target: announces itself to its node and serves requests. POST /control changes its behaviour,
// GET /runs reports the requests that it ran. On SIGTERM it drains: it announces the drain, finishes running
// requests, deregisters and exits with 0.

#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/connection/http_client.h"
#include "dandelionmount/connection/http_server.h"
#include "standins/target_behaviour.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(address, "127.0.0.1:9000", "where to listen");
DEFINE_string(node, "127.0.0.1:7001", "the node's target port");
DEFINE_string(service, "front", "service to announce");
DEFINE_uint32(slots, 50, "requests run concurrently");
DEFINE_int32(service_ms, 2, "service time of a request, in milliseconds");
DEFINE_int32(cold_start_ms, 0, "time until the target is ready, in milliseconds");
DEFINE_string(calls, "", "comma-separated paths that each request calls");

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

// Time for the drain to be announced to the node and to spread to the others.
constexpr auto drain_notice_time = std::chrono::milliseconds(1200);
constexpr auto drain_poll_interval = std::chrono::milliseconds(20);
constexpr auto deregister_timeout = std::chrono::milliseconds(500);
constexpr std::size_t max_response_bytes = 65536;

std::vector<std::string> split_at_commas(const std::string& text) {
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

asio::awaitable<void> become_ready(asio::io_context& io, standins::target_behaviour& target) {
    co_await dandelionmount::sleep_for(io.get_executor(), std::chrono::milliseconds(FLAGS_cold_start_ms));
    target.options().state = "ready";
}

asio::awaitable<void> drain(asio::io_context& io, standins::target_behaviour& target,
                            dandelionmount::http_server& server) {
    target.options().state = "draining";
    co_await dandelionmount::sleep_for(io.get_executor(), drain_notice_time);
    while (server.busy() > 0) {
        co_await dandelionmount::sleep_for(io.get_executor(), drain_poll_interval);
    }
    target.options().announces = false;
    dandelionmount::http_request deregister_request{http::verb::delete_, "/announce", 11};
    const auto ignored_result = co_await dandelionmount::http_exchange(
        FLAGS_node, deregister_request, deregister_timeout, max_response_bytes);
    static_cast<void>(ignored_result);
    io.stop();
}

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    asio::io_context io(1);
    standins::target_options options;
    options.service = FLAGS_service;
    options.address = FLAGS_address;
    options.node_address = FLAGS_node;
    options.slots = FLAGS_slots;
    options.announced_slots = FLAGS_slots;
    options.service_ms = FLAGS_service_ms;
    options.state = FLAGS_cold_start_ms > 0 ? "starting" : "ready";
    options.calls = split_at_commas(FLAGS_calls);
    standins::target_behaviour target(io.get_executor(), options);
    dandelionmount::metrics counters;
    dandelionmount::caller_limits limits;
    limits.body_bytes = 64U * 1024 * 1024;
    dandelionmount::http_server server(
        io.get_executor(), limits, counters,
        [&](dandelionmount::http_request request, std::shared_ptr<dandelionmount::cancel_token> cancel) {
            return target.respond(std::move(request), std::move(cancel));
        });
    const auto listening = server.listen(FLAGS_address);
    if (!listening) {
        std::cerr << listening.error().message << "\n";
        return 1;
    }
    asio::co_spawn(io, target.announce(), asio::detached);
    if (FLAGS_cold_start_ms > 0) {
        asio::co_spawn(io, become_ready(io, target), asio::detached);
    }
    asio::signal_set signals(io, SIGTERM);
    signals.async_wait([&](const boost::system::error_code& error, int) {
        if (!error) {
            asio::co_spawn(io, drain(io, target, server), asio::detached);
        }
    });
    io.run();
    return 0;
}
