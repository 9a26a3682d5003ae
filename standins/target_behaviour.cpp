#include "standins/target_behaviour.h"

#include "dandelionmount/connection/http_client.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using dandelionmount::http_request;
using dandelionmount::http_response;
using nlohmann::json;

namespace {

constexpr unsigned ok_status = 200;
constexpr unsigned server_error_status = 500;
constexpr unsigned bad_gateway_status = 502;
constexpr auto announce_interval = std::chrono::milliseconds(300);
constexpr auto call_timeout = std::chrono::seconds(30);
constexpr std::size_t max_response_bytes = 16UL * 1024 * 1024;

} // namespace

target_behaviour::target_behaviour(asio::any_io_executor executor, target_options options)
    : executor_(std::move(executor)), options_(std::move(options)) {}

asio::awaitable<http_response>
target_behaviour::respond(http_request request, std::shared_ptr<dandelionmount::cancel_token> cancel) {
    const std::string path(request.target());
    if (path == "/control") {
        co_return control(request.body());
    }
    if (path == "/runs") {
        co_return report();
    }
    auto response = co_await run_request(std::move(request), std::move(cancel));
    co_return response;
}

asio::awaitable<http_response>
target_behaviour::run_request(http_request request, std::shared_ptr<dandelionmount::cancel_token> cancel) {
    const std::string id(request[dandelionmount::http_protocol{}.request_id_header]);
    const std::string timeout(request[dandelionmount::http_protocol{}.timeout_header]);
    ++runs_[id];
    ++paths_[std::string(request.target())];
    count_forbidden(request);
    if (draw_with_probability(options_.fail_share)) {
        co_return dandelionmount::make_text_response(server_error_status, "text/plain", "failed\n");
    }
    co_await acquire_slot();
    co_await dandelionmount::sleep_for(executor_, std::chrono::milliseconds(options_.service_ms));
    std::string nested_responses;
    bool all_succeeded = true;
    if (!cancel->requested()) {
        all_succeeded = co_await make_nested_calls(id, timeout, nested_responses);
    }
    release_slot();
    ++finished_;
    cancelled_ += cancel->requested() ? 1 : 0;
    const json body{{"service", options_.service},
                    {"path", std::string(request.target())},
                    {"account", std::string(request[dandelionmount::http_protocol{}.account_header])},
                    {"body_bytes", request.body().size()},
                    {"calls", nested_responses}};
    auto response = dandelionmount::make_text_response(all_succeeded ? ok_status : bad_gateway_status,
                                                       "application/json", body.dump() + "\n");
    if (draw_with_probability(options_.cut_share)) {
        // Declares a longer body than is sent; the server then closes the connection mid-response.
        response.content_length(response.body().size() + 100);
        response.keep_alive(false);
    }
    co_return response;
}

asio::awaitable<bool> target_behaviour::make_nested_calls(std::string request_id, std::string timeout,
                                                          std::string& body) {
    bool all_succeeded = true;
    const auto calls = options_.calls;
    for (const auto& path : calls) {
        http_request request{http::verb::post, path, 11};
        if (options_.keeps_context) {
            request.set(dandelionmount::http_protocol{}.request_id_header, request_id);
        }
        if (!timeout.empty()) {
            request.set(dandelionmount::http_protocol{}.timeout_header, timeout);
        }
        auto response = co_await dandelionmount::http_exchange(options_.node_address, request, call_timeout,
                                                               max_response_bytes);
        const bool succeeded = response && response.value().result() == http::status::ok;
        body += succeeded ? response.value().body() : std::string("failed ");
        all_succeeded = all_succeeded && succeeded;
    }
    co_return all_succeeded;
}

asio::awaitable<void> target_behaviour::acquire_slot() {
    if (busy_ >= options_.slots) {
        auto slot_event = std::make_shared<dandelionmount::async_event>(executor_);
        waiting_.push_back(slot_event);
        co_await slot_event->wait_until(dandelionmount::steady_time::max());
        co_return;
    }
    ++busy_;
}

// Passes the slot on to the next waiting request, unless /control has reduced the number of slots.
void target_behaviour::release_slot() {
    if (!waiting_.empty() && busy_ <= options_.slots) {
        waiting_.front()->set();
        waiting_.pop_front();
        return;
    }
    --busy_;
}

void target_behaviour::count_forbidden(const http_request& request) {
    if (options_.forbidden.empty()) {
        return;
    }
    bool seen = std::string(request.target()).find(options_.forbidden) != std::string::npos ||
                request.body().find(options_.forbidden) != std::string::npos;
    for (const auto& field : request) {
        seen = seen || std::string(field.value()).find(options_.forbidden) != std::string::npos;
    }
    forbidden_seen_ += seen ? 1 : 0;
}

// Xorshift generator with a fixed seed, so that runs are reproducible.
bool target_behaviour::draw_with_probability(double share) {
    random_state_ ^= random_state_ << 13U;
    random_state_ ^= random_state_ >> 7U;
    random_state_ ^= random_state_ << 17U;
    constexpr double resolution = 1e6;
    return static_cast<double>(random_state_ % 1000000) < share * resolution;
}

http_response target_behaviour::control(const std::string& body) {
    const json source = json::parse(body, nullptr, false);
    if (!source.is_object()) {
        return dandelionmount::make_text_response(400, "text/plain", "JSON needed\n");
    }
    options_.service_ms = source.value("service_ms", options_.service_ms);
    options_.slots = source.value("slots", options_.slots);
    options_.announced_slots = source.value("announced_slots", options_.announced_slots);
    options_.state = source.value("state", options_.state);
    options_.fail_share = source.value("fail_share", options_.fail_share);
    options_.cut_share = source.value("cut_share", options_.cut_share);
    options_.announces = source.value("announces", options_.announces);
    options_.keeps_context = source.value("keeps_context", options_.keeps_context);
    options_.calls = source.value("calls", options_.calls);
    options_.forbidden = source.value("forbidden", options_.forbidden);
    return dandelionmount::make_text_response(ok_status, "text/plain", "");
}

http_response target_behaviour::report() const {
    int max_runs = 0;
    std::uint64_t total = 0;
    for (const auto& [id, count] : runs_) {
        max_runs = std::max(max_runs, id.empty() ? 0 : count);
        total += static_cast<std::uint64_t>(count);
    }
    const json body{{"total", total},          {"most_for_one_request", max_runs},  {"finished", finished_},
                    {"cancelled", cancelled_}, {"forbidden_seen", forbidden_seen_}, {"runs", runs_},
                    {"paths", paths_}};
    return dandelionmount::make_text_response(ok_status, "application/json", body.dump());
}

asio::awaitable<void> target_behaviour::announce() {
    const auto colon = options_.address.rfind(':');
    const int port = std::stoi(options_.address.substr(colon + 1));
    while (true) {
        if (options_.announces) {
            const json body{{"service", options_.service},
                            {"port", port},
                            {"slots", options_.announced_slots},
                            {"connections", options_.announced_slots * 4},
                            {"state", options_.state}};
            http_request request{http::verb::put, "/announce", 11};
            request.body() = body.dump();
            const auto ignored = co_await dandelionmount::http_exchange(
                options_.node_address, request, announce_interval, max_response_bytes);
            static_cast<void>(ignored);
        }
        co_await dandelionmount::sleep_for(executor_, announce_interval);
    }
}

} // namespace standins
