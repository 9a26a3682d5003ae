// Stand-in for the platform's record store: GET /v1/log-read, GET /v1/log-newest, POST /v1/log-append, and
// POST /fault.
//
// Faults, by "mode": "down" responds 503 to every request, "silent" sends no response, "slow" waits `ms`
// before each response, "lose" appends but responds 503, "none" ends the fault; "trim" drops the history
// once; "copy" takes a copy of all topics, and "restore" goes back to it in the next era, which all responses
// name.

#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/process/clock.h"
#include "standins/run_service.h"
#include "standins/topic_store.h"

#include <charconv>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

DEFINE_string(address, "127.0.0.1:9200", "where to listen");

namespace {

namespace dm = dandelionmount;
namespace asio = boost::asio;
using nlohmann::json;

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_gone = 410;
constexpr unsigned status_precondition_failed = 412;
constexpr unsigned status_unavailable = 503;
constexpr std::uint32_t max_body_bytes = 4U * 1024 * 1024;
constexpr std::size_t offset_bytes = 8;
constexpr unsigned bits_per_byte = 8;

std::string query_text(std::string_view target, std::string_view name) {
    const auto query = target.find('?');
    std::string_view rest = query == std::string_view::npos ? "" : target.substr(query + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        if (pair.starts_with(name) && pair.substr(name.size()).starts_with("=")) {
            return std::string(pair.substr(name.size() + 1));
        }
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    }
    return {};
}

std::optional<std::uint64_t> query_number(std::string_view target, std::string_view name) {
    const std::string text = query_text(target, name);
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return text.empty() || parsed.ec != std::errc() ? std::nullopt : std::optional(value);
}

std::string encode_base64(const std::string& bytes) {
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int count =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(count));
    return text;
}

std::string encode_offset(std::uint64_t value) {
    std::string bytes;
    for (std::size_t left = offset_bytes; left > 0; --left) {
        bytes.push_back(static_cast<char>(value >> (bits_per_byte * (left - 1)) & 0xff));
    }
    return bytes;
}

// Handles the requests to the topics, including long polls for new records, and applies the active fault.
class store_service {
public:
    explicit store_service(asio::any_io_executor executor) : executor_(std::move(executor)) {}

    asio::awaitable<dm::http_response> respond(dm::http_request request) {
        if (request.target() == "/fault") {
            co_return set_fault(request.body());
        }
        const auto era = era_;
        auto response = co_await respond_without_era(std::move(request));
        if (era != era_) {
            // The store was away while this request was pending.
            co_return dm::make_text_response(status_unavailable, "text/plain", "restarted\n");
        }
        response.set("Store-Era", std::to_string(era_));
        co_return response;
    }

private:
    asio::awaitable<dm::http_response> respond_without_era(dm::http_request request) {
        const std::string target(request.target());
        if (fault_ == "down") {
            co_return dm::make_text_response(status_unavailable, "text/plain", "down\n");
        }
        if (fault_ == "silent") {
            co_await dm::sleep_for(executor_, std::chrono::hours(1));
        }
        if (fault_ == "slow") {
            co_await dm::sleep_for(executor_, std::chrono::milliseconds(fault_ms_));
        }
        auto& topic = topics_[query_text(target, "topic")];
        if (target.starts_with("/v1/log-append")) {
            co_return append(topic, target, request.body());
        }
        if (target.starts_with("/v1/log-newest")) {
            co_return newest(topic);
        }
        auto response = co_await read(topic, target);
        co_return response;
    }

    dm::http_response set_fault(const std::string& body) {
        const json fault = json::parse(body, nullptr, false);
        if (!fault.is_object()) {
            return dm::make_text_response(status_bad_request, "text/plain", "JSON needed\n");
        }
        if (fault.value("mode", "none") == "trim") {
            for (auto& [name, topic] : topics_) {
                topic.trim();
            }
        } else if (fault.value("mode", "none") == "copy") {
            copy_ = topics_;
        } else if (fault.value("mode", "none") == "restore") {
            // Reads that wait hold references to the topics.
            for (auto& [name, topic] : topics_) {
                topic = copy_[name];
            }
            ++era_;
        } else {
            fault_ = fault.value("mode", "none");
            fault_ms_ = fault.value("ms", 0);
        }
        return dm::make_text_response(status_ok, "text/plain", "");
    }

    dm::http_response append(standins::topic_store& topic, const std::string& target,
                             const std::string& body) {
        const auto offset = topic.append(body, query_number(target, "at"));
        if (!offset) {
            return dm::make_text_response(status_precondition_failed, "application/json",
                                          json{{"end", topic.end()}}.dump());
        }
        if (fault_ == "lose") {
            return dm::make_text_response(status_unavailable, "text/plain", "lost\n");
        }
        return dm::make_text_response(status_ok, "application/json",
                                      json{{"offset", *offset}, {"end", topic.end()}}.dump());
    }

    static dm::http_response newest(const standins::topic_store& topic) {
        json items = json::array();
        for (const auto& [key, record] : topic.newest()) {
            items.push_back(
                {{"key", key}, {"value", encode_base64(record.value)}, {"offset", record.offset}});
        }
        return dm::make_text_response(status_ok, "application/json",
                                      json{{"items", items}, {"more", false}, {"end", topic.end()}}.dump());
    }

    asio::awaitable<dm::http_response> read(const standins::topic_store& topic, std::string target) {
        constexpr auto poll_interval = std::chrono::milliseconds(5);
        const std::uint64_t from = query_number(target, "from").value_or(0);
        const auto wait = std::chrono::milliseconds(query_number(target, "waitMs").value_or(0));
        const auto deadline = time_.now() + wait;
        while (topic.end() <= from && time_.now() < deadline && fault_ == "none") {
            co_await dm::sleep_for(executor_, poll_interval);
        }
        if (fault_ == "down") {
            co_return dm::make_text_response(status_unavailable, "text/plain", "down\n");
        }
        if (from < topic.first() || from > topic.end()) {
            co_return dm::make_text_response(status_gone, "application/json",
                                             json{{"first", topic.first()}}.dump());
        }
        co_return dm::make_text_response(status_ok, "application/octet-stream",
                                         encode_offset(topic.end()) + encode_offset(topic.first()) +
                                             topic.read(from));
    }

    asio::any_io_executor executor_;
    dm::system_time_source time_;
    std::map<std::string, standins::topic_store> topics_;
    std::map<std::string, standins::topic_store> copy_;
    std::uint64_t era_{1};
    std::string fault_{"none"};
    int fault_ms_{0};
};

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    asio::io_context io(1);
    store_service service(io.get_executor());
    return standins::run_service(
        io, FLAGS_address, max_body_bytes,
        [&service](dandelionmount::http_request request) { return service.respond(std::move(request)); });
}
