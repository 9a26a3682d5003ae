#include "dandelionmount/process/log_client.h"

#include "dandelionmount/connection/http_client.h"

#include <nlohmann/json.hpp>

namespace dandelionmount {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr duration append_timeout = std::chrono::seconds(2);
constexpr duration read_timeout_margin = std::chrono::seconds(2);
constexpr std::size_t max_response_bytes = 64UL * 1024 * 1024;

} // namespace

log_client::log_client(std::string address) : address_(std::move(address)) {}

asio::awaitable<result<std::string>> log_client::exchange(std::string method, std::string path,
                                                          std::string body, duration timeout) {
    http_request request{http::string_to_verb(method), path, 11};
    request.set(http::field::content_type, "application/json");
    request.body() = std::move(body);
    auto answer = co_await http_exchange(address_, std::move(request), timeout, max_response_bytes);
    if (!answer) {
        co_return answer.error();
    }
    if (answer.value().result() != http::status::ok) {
        co_return failure{"status " + std::to_string(answer.value().result_int())};
    }
    co_return std::move(answer.value().body());
}

asio::awaitable<result<std::uint64_t>> log_client::append(std::string record) {
    const std::string body = nlohmann::json{{"record", record}}.dump();
    const auto answer = co_await exchange("POST", "/append", body, append_timeout);
    if (!answer) {
        co_return answer.error();
    }
    const auto parsed = nlohmann::json::parse(answer.value(), nullptr, false);
    if (!parsed.is_object() || !parsed.contains("offset") || !parsed["offset"].is_number_unsigned()) {
        co_return failure{"the log's response has no offset"};
    }
    co_return parsed["offset"].get<std::uint64_t>();
}

asio::awaitable<result<log_records>> log_client::read(std::uint64_t from, duration wait) {
    const std::string path =
        "/read?from=" + std::to_string(from) + "&wait_ms=" + std::to_string(to_milliseconds(wait));
    const auto answer = co_await exchange("GET", path, "", wait + read_timeout_margin);
    if (!answer) {
        co_return answer.error();
    }
    const auto parsed = nlohmann::json::parse(answer.value(), nullptr, false);
    log_records records;
    try {
        records.first = parsed.at("first").get<std::uint64_t>();
        records.next = parsed.at("next").get<std::uint64_t>();
        records.from = parsed.at("from").get<std::uint64_t>();
        records.records = parsed.at("records").get<std::vector<std::string>>();
    } catch (const nlohmann::json::exception& error) {
        co_return failure{std::string("malformed response from the log: ") + error.what()};
    }
    co_return records;
}

} // namespace dandelionmount
