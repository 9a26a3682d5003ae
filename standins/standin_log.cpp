// Stand-in for the platform's append-only log: POST /append, GET /read, and POST /fault to make it fail.
//
// Faults, by "mode": "down" responds 503 to every request, "slow" waits `ms` before each response, "lose"
// appends but responds 503, "none" ends the fault. "records" sets how many records are kept.

#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/process/clock.h"
#include "standins/log_store.h"
#include "standins/run_service.h"

#include <charconv>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

DEFINE_string(address, "127.0.0.1:9100", "where to listen");
DEFINE_uint64(retention, 100000, "records to keep");

namespace {

namespace asio = boost::asio;
using nlohmann::json;

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_unavailable = 503;
constexpr std::uint32_t max_body_bytes = 64U * 1024 * 1024;
constexpr std::size_t max_records_per_response = 500;

std::uint64_t query_number(std::string_view target, std::string_view name) {
    const std::string key = std::string(name) + "=";
    const auto at = target.find(key);
    std::uint64_t value = 0;
    if (at != std::string_view::npos) {
        std::from_chars(target.data() + at + key.size(), target.data() + target.size(), value);
    }
    return value;
}

// Handles the requests to the log, including long polls for new records, and applies the active fault.
class log_service {
public:
    explicit log_service(asio::any_io_executor executor)
        : executor_(std::move(executor)), store_(FLAGS_retention) {}

    asio::awaitable<dandelionmount::http_response> respond(dandelionmount::http_request request) {
        const std::string path(request.target());
        if (path == "/fault") {
            co_return set_fault(request.body());
        }
        if (fault_ == "down") {
            co_return dandelionmount::make_text_response(status_unavailable, "text/plain", "down\n");
        }
        if (fault_ == "slow") {
            co_await dandelionmount::sleep_for(executor_, std::chrono::milliseconds(fault_ms_));
        }
        if (path == "/append") {
            co_return append(request.body());
        }
        auto response = co_await read(path);
        co_return response;
    }

private:
    dandelionmount::http_response set_fault(const std::string& body) {
        const json fault = json::parse(body, nullptr, false);
        if (!fault.is_object()) {
            return dandelionmount::make_text_response(status_bad_request, "text/plain", "JSON needed\n");
        }
        fault_ = fault.value("mode", "none");
        fault_ms_ = fault.value("ms", 0);
        if (fault.contains("records")) {
            store_.set_retention(fault["records"].get<std::size_t>());
        }
        return dandelionmount::make_text_response(status_ok, "text/plain", "");
    }

    dandelionmount::http_response append(const std::string& body) {
        const json record = json::parse(body, nullptr, false);
        if (!record.is_object() || !record.contains("record")) {
            return dandelionmount::make_text_response(status_bad_request, "text/plain",
                                                      "JSON with a record needed\n");
        }
        const std::uint64_t offset = store_.append(record["record"].get<std::string>());
        if (fault_ == "lose") {
            return dandelionmount::make_text_response(status_unavailable, "text/plain", "lost\n");
        }
        return dandelionmount::make_text_response(status_ok, "application/json",
                                                  json{{"offset", offset}}.dump());
    }

    asio::awaitable<dandelionmount::http_response> read(std::string path) {
        constexpr auto poll_interval = std::chrono::milliseconds(5);
        const std::uint64_t from = query_number(path, "from");
        const auto deadline = time_.now() + std::chrono::milliseconds(query_number(path, "wait_ms"));
        while (store_.next() <= from && time_.now() < deadline) {
            co_await dandelionmount::sleep_for(executor_, poll_interval);
        }
        const std::uint64_t begin = std::max(from, store_.first());
        const json body{{"first", store_.first()},
                        {"next", store_.next()},
                        {"from", begin},
                        {"records", store_.read(begin, max_records_per_response)}};
        co_return dandelionmount::make_text_response(status_ok, "application/json", body.dump());
    }

    asio::any_io_executor executor_;
    dandelionmount::system_time_source time_;
    standins::log_store store_;
    std::string fault_{"none"};
    int fault_ms_{0};
};

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    asio::io_context io(1);
    log_service service(io.get_executor());
    return standins::run_service(
        io, FLAGS_address, max_body_bytes,
        [&service](dandelionmount::http_request request) { return service.respond(std::move(request)); });
}
