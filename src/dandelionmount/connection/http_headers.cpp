#include "dandelionmount/connection/http_headers.h"

#include "dandelionmount/process/crypto.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>
#include <charconv>
#include <random>
#include <set>

namespace dandelionmount {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::string_view bearer_scheme = "Bearer ";
constexpr std::string_view dandelion_prefix = "Dandelion-";
// Spread of the time after which refused callers come back, so that they don't come all at once.
constexpr double return_spread = 1.0;
constexpr unsigned hex_base = 16;

std::string_view view(beast::string_view text) {
    return {text.data(), text.size()};
}

bool has_dandelion_prefix(std::string_view name) {
    return name.size() >= dandelion_prefix.size() &&
           beast::iequals({name.data(), dandelion_prefix.size()},
                          {dandelion_prefix.data(), dandelion_prefix.size()});
}

// Headers that belong to one connection. Source: RFC 9110, section 7.6.1.
bool is_hop_header(http::field name) {
    static const std::set<http::field> fields = {http::field::connection,
                                                 http::field::keep_alive,
                                                 http::field::proxy_authenticate,
                                                 http::field::proxy_connection,
                                                 http::field::te,
                                                 http::field::proxy_authorization,
                                                 http::field::trailer,
                                                 http::field::transfer_encoding,
                                                 http::field::upgrade,
                                                 http::field::content_length,
                                                 http::field::expect,
                                                 http::field::host};
    return fields.contains(name);
}

// A caller may name more headers of its hop in Connection.
bool is_named_in_connection(const http::fields& fields, std::string_view name) {
    const auto found = fields.find(http::field::connection);
    return found != fields.end() &&
           http::token_list(found->value()).exists(beast::string_view(name.data(), name.size()));
}

std::string percent_decode(std::string_view text) {
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        unsigned value = 0;
        const char* digits = text.data() + index + 1;
        const bool escaped = text[index] == '%' && index + 2 < text.size() &&
                             std::from_chars(digits, digits + 2, value, hex_base).ptr == digits + 2;
        decoded.push_back(escaped ? static_cast<char>(value) : text[index]);
        index += escaped ? 2 : 0;
    }
    return decoded;
}

bool contains(std::string_view text, std::string_view part) {
    return text.find(part) != std::string_view::npos;
}

void set_retry_after(http_response& response, duration retry_after) {
    static std::mt19937_64 random{std::random_device{}()};
    std::uniform_real_distribution<double> spread(0, return_spread);
    const double seconds = to_seconds(retry_after) + spread(random);
    response.set(http::field::retry_after, std::to_string(std::max(1L, std::lround(seconds))));
}

std::string_view outcome_token(wire::forward_outcome outcome) {
    switch (outcome) {
    case wire::ran:
        return "ran";
    case wire::not_run:
        return "not-run";
    default:
        return "unknown";
    }
}

// A request that the system gave up on after it was forwarded.
unsigned give_up_status(wire::forward_outcome outcome, reason why) {
    constexpr unsigned bad_gateway = 502;
    constexpr unsigned gateway_timeout = 504;
    if (outcome == wire::not_run && why != reason::deadline && why != reason::expired_in_queue) {
        return refusal_status(why);
    }
    const bool late = why == reason::deadline || why == reason::expired_in_queue ||
                      why == reason::key_in_progress || why == reason::caller_gone;
    return late ? gateway_timeout : bad_gateway;
}

} // namespace

std::optional<std::string> bearer_key(const http_request& request) {
    const std::string_view value = view(request[http::field::authorization]);
    if (value.size() <= bearer_scheme.size() ||
        !beast::iequals({value.data(), bearer_scheme.size()}, {bearer_scheme.data(), bearer_scheme.size()})) {
        return std::nullopt;
    }
    return std::string(value.substr(bearer_scheme.size()));
}

std::optional<std::uint32_t> timeout_of(const http_request& request, bool& valid) {
    valid = true;
    const auto found = request.find(beast::string_view(timeout_header.data(), timeout_header.size()));
    if (found == request.end()) {
        return std::nullopt;
    }
    const std::string_view text = view(found->value());
    std::uint32_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    valid = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() && value > 0;
    return value;
}

bool exposes_key(const http_request& request, std::string_view key) {
    if (contains(view(request.target()), key) || contains(percent_decode(view(request.target())), key)) {
        return true;
    }
    for (const auto& field : request) {
        const bool dropped =
            field.name() == http::field::authorization || has_dandelion_prefix(view(field.name_string()));
        if (!dropped && contains(view(field.value()), key)) {
            return true;
        }
    }
    return contains(request.body(), key);
}

wire::forward_request make_forward_request(const http_request& request, const route_settings& route) {
    wire::forward_request forwarded;
    forwarded.set_id(random_token());
    forwarded.set_service(route.service);
    forwarded.set_method(std::string(request.method_string()));
    forwarded.set_path(std::string(request.target()));
    forwarded.set_body(request.body());
    forwarded.set_priority(route.priority);
    forwarded.set_idempotent(route.idempotent);
    forwarded.set_open(route.open);
    copy_request_headers(request, forwarded);
    return forwarded;
}

void copy_request_headers(const http_request& request, wire::forward_request& forwarded) {
    for (const auto& field : request) {
        const std::string_view name = view(field.name_string());
        const bool secret = field.name() == http::field::authorization || has_dandelion_prefix(name);
        if (secret || is_hop_header(field.name()) || is_named_in_connection(request, name)) {
            continue;
        }
        auto* header = forwarded.add_headers();
        header->set_name(std::string(name));
        header->set_value(std::string(view(field.value())));
    }
}

void copy_answer_headers(const http_response& answer, wire::forward_reply& reply) {
    for (const auto& field : answer) {
        const std::string_view name = view(field.name_string());
        if (has_dandelion_prefix(name) || is_hop_header(field.name()) ||
            is_named_in_connection(answer, name)) {
            continue;
        }
        auto* header = reply.add_headers();
        header->set_name(std::string(name));
        header->set_value(std::string(view(field.value())));
    }
}

unsigned refusal_status(reason why) {
    switch (why) {
    case reason::bad_request:
    case reason::key_exposed:
    case reason::key_mismatch:
    case reason::unknown_context:
        return 400;
    case reason::no_key:
    case reason::unknown_key:
    case reason::withdrawn_key:
        return 401;
    case reason::key_not_allowed:
        return 403;
    case reason::no_route:
        return 404;
    case reason::slow_caller:
        return 408;
    case reason::headers_too_large:
    case reason::body_too_large:
        return 413;
    case reason::over_rate:
        return 429;
    default:
        return 503;
    }
}

http_response make_text_answer(unsigned status, std::string_view type, std::string body) {
    http_response response{static_cast<http::status>(status), 11};
    response.set(http::field::content_type, beast::string_view(type.data(), type.size()));
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

http_response make_refusal(reason why, duration retry_after) {
    constexpr unsigned too_many_requests = 429;
    constexpr unsigned service_unavailable = 503;
    const unsigned status = refusal_status(why);
    http_response response = make_text_answer(status, "text/plain", std::string(reason_token(why)) + "\n");
    response.set(std::string(outcome_header), "not-run");
    response.set(std::string(reason_header), std::string(reason_token(why)));
    if (status == too_many_requests || status == service_unavailable) {
        set_retry_after(response, retry_after);
    }
    return response;
}

http_response make_answer(const wire::forward_reply& reply) {
    const reason why = reason_from_token(reply.reason());
    http_response response;
    if (reply.outcome() == wire::ran) {
        response.result(reply.status());
        for (const auto& header : reply.headers()) {
            response.insert(header.name(), header.value());
        }
        response.body() = reply.body();
    } else {
        const unsigned status = give_up_status(reply.outcome(), why);
        response = make_text_answer(status, "text/plain", std::string(reason_token(why)) + "\n");
        response.set(std::string(reason_header), std::string(reason_token(why)));
        set_retry_after(response, std::chrono::milliseconds(reply.retry_after_ms()));
    }
    response.set(std::string(outcome_header), std::string(outcome_token(reply.outcome())));
    if (!reply.id().empty()) {
        response.set(std::string(request_header), reply.id());
    }
    response.prepare_payload();
    return response;
}

} // namespace dandelionmount
