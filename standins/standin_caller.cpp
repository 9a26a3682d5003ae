// Stand-in for callers: sends requests at a rate over persistent connections and prints the results as JSON.
//
// Each line of --plan is one caller: "ADDRESS KEY PATH RATE RETRIES". KEY is - for requests without a key,
// RATE is in requests per second, and RETRIES is how often a request that did not get status 200 is sent
// again at once. Arrivals are an open-loop Poisson process with a seed: requests are sent whether or not
// earlier ones have got a response.

#include "dandelionmount/connection/address.h"
#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/connection/http_headers.h"
#include "dandelionmount/process/clock.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

DEFINE_string(plan, "", "file with one caller a line: ADDRESS KEY PATH RATE RETRIES");
DEFINE_double(seconds, 5, "how long to send, in seconds");
DEFINE_uint64(seed, 1, "seed of the arrivals");
DEFINE_int32(timeout_ms, 1000, "Dandelion-Timeout of each request");
DEFINE_string(method, "GET", "method of each request");

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using dandelionmount::as_result;
using nlohmann::json;

// Time limit for connecting, and for a response beyond the request's own timeout.
constexpr auto response_margin = std::chrono::seconds(2);

struct caller_plan {
    std::string address;
    std::string key;
    std::string path;
    double rate{1};
    int retries{0};
};

struct caller_result {
    /// Requests by the outcome of their last attempt.
    std::map<std::string, std::uint64_t> outcomes;
    /// Latencies of the requests that succeeded, retries included.
    std::vector<double> latencies_ms;
    std::uint64_t sent{0};
    std::uint64_t attempts{0};
    /// Requests by the second in which they were first sent, and those of them that succeeded.
    std::map<int, std::uint64_t> sent_by_second;
    std::map<int, std::uint64_t> good_by_second;
};

// One caller with a pool of idle connections, which grows as needed.
class caller {
public:
    caller(asio::io_context& io, caller_plan plan, std::uint64_t seed)
        : io_(io), plan_(std::move(plan)), random_(seed), started_at_(std::chrono::steady_clock::now()) {}

    asio::awaitable<void> run() {
        std::exponential_distribution<double> interarrival(plan_.rate);
        const auto end = started_at_ + dandelionmount::from_seconds(FLAGS_seconds);
        auto next_arrival = started_at_ + dandelionmount::from_seconds(interarrival(random_));
        while (next_arrival < end) {
            asio::steady_timer timer(io_, next_arrival);
            co_await timer.async_wait(as_result);
            asio::co_spawn(io_, send(), asio::detached);
            next_arrival += dandelionmount::from_seconds(interarrival(random_));
        }
    }

    [[nodiscard]] json report() const {
        std::vector<double> sorted = result_.latencies_ms;
        std::sort(sorted.begin(), sorted.end());
        const auto quantile = [&](double share) {
            return sorted.empty()
                       ? 0.0
                       : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
        };
        return {{"address", plan_.address},
                {"path", plan_.path},
                {"sent", result_.sent},
                {"attempts", result_.attempts},
                {"outcomes", result_.outcomes},
                {"p50_ms", quantile(0.5)},
                {"p99_ms", quantile(0.99)},
                {"sent_by_second", by_second(result_.sent_by_second)},
                {"good_by_second", by_second(result_.good_by_second)}};
    }

private:
    struct connection {
        explicit connection(asio::io_context& io) : stream(io) {}
        beast::tcp_stream stream;
        beast::flat_buffer buffer;
    };
    using connection_pointer = std::shared_ptr<connection>;

    static json by_second(const std::map<int, std::uint64_t>& counts) {
        json values = json::array();
        for (int second = 0; second <= static_cast<int>(FLAGS_seconds); ++second) {
            const auto found = counts.find(second);
            values.push_back(found == counts.end() ? 0 : found->second);
        }
        return values;
    }

    asio::awaitable<void> send() {
        ++result_.sent;
        const auto sent_at = std::chrono::steady_clock::now();
        const int second = static_cast<int>(dandelionmount::to_seconds(sent_at - started_at_));
        ++result_.sent_by_second[second];
        std::string outcome;
        for (int attempt = 0; attempt <= plan_.retries; ++attempt) {
            ++result_.attempts;
            outcome = co_await exchange();
            if (outcome == "200") {
                break;
            }
        }
        const auto now = std::chrono::steady_clock::now();
        ++result_.outcomes[outcome];
        if (outcome == "200") {
            result_.latencies_ms.push_back(dandelionmount::to_seconds(now - sent_at) * 1000);
            ++result_.good_by_second[second];
        }
    }

    asio::awaitable<connection_pointer> acquire_connection() {
        if (!idle_.empty()) {
            auto conn = idle_.back();
            idle_.pop_back();
            co_return conn;
        }
        auto conn = std::make_shared<connection>(io_);
        const auto address = dandelionmount::parse_address(plan_.address);
        if (!address) {
            co_return nullptr;
        }
        conn->stream.expires_after(response_margin);
        auto [error] = co_await conn->stream.async_connect(
            asio::ip::tcp::endpoint(address->ip, address->port), as_result);
        if (error) {
            co_return nullptr;
        }
        beast::error_code ignored;
        conn->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        co_return conn;
    }

    asio::awaitable<std::string> exchange() {
        auto conn = co_await acquire_connection();
        if (!conn) {
            co_return "no_connection";
        }
        dandelionmount::http_request request{http::string_to_verb(FLAGS_method), plan_.path, 11};
        request.set(http::field::host, plan_.address);
        request.set(dandelionmount::http_protocol{}.timeout_header, std::to_string(FLAGS_timeout_ms));
        if (plan_.key != "-") {
            request.set(http::field::authorization, "Bearer " + plan_.key);
        }
        request.prepare_payload();
        conn->stream.expires_after(std::chrono::milliseconds(FLAGS_timeout_ms) + response_margin);
        auto [write_error, written] = co_await http::async_write(conn->stream, request, as_result);
        if (write_error) {
            co_return "lost";
        }
        dandelionmount::http_response response;
        auto [read_error, count] = co_await http::async_read(conn->stream, conn->buffer, response, as_result);
        if (read_error) {
            co_return "lost";
        }
        if (response.keep_alive()) {
            idle_.push_back(conn);
        }
        const std::string reason(response[std::string(dandelionmount::reason_header)]);
        co_return std::to_string(response.result_int()) + (reason.empty() ? "" : " " + reason);
    }

    asio::io_context& io_;
    caller_plan plan_;
    std::mt19937_64 random_;
    dandelionmount::steady_time started_at_;
    std::vector<connection_pointer> idle_;
    caller_result result_;
};

std::vector<caller_plan> read_plan() {
    std::vector<caller_plan> plans;
    std::ifstream file(FLAGS_plan);
    for (std::string line; std::getline(file, line);) {
        std::istringstream fields(line);
        caller_plan plan;
        if (fields >> plan.address >> plan.key >> plan.path >> plan.rate >> plan.retries) {
            plans.push_back(plan);
        }
    }
    return plans;
}

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    asio::io_context io(1);
    std::vector<std::unique_ptr<caller>> callers;
    std::uint64_t seed = FLAGS_seed;
    for (auto& plan : read_plan()) {
        callers.push_back(std::make_unique<caller>(io, plan, seed++));
        asio::co_spawn(io, callers.back()->run(), asio::detached);
    }
    io.run();
    json reports = json::array();
    for (const auto& plan_caller : callers) {
        reports.push_back(plan_caller->report());
    }
    std::cout << reports.dump(1) << "\n";
    return 0;
}
