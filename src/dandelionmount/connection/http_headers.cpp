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
// Jitter of Retry-After, so that refused callers don't return all at once: seconds where the header has whole
// seconds, otherwise a fraction of the value.
constexpr double retry_after_jitter_s = 1.0;
constexpr double retry_after_jitter_share = 0.5;
constexpr double milliseconds_per_second = 1000;
constexpr unsigned hex_base = 16;

std::string_view view(beast::string_view text) {
    return {text.data(), text.size()};
}

bool same_name(std::string_view left, std::string_view right) {
    return left.size() == right.size() &&
           beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

bool has_prefix(std::string_view name, std::string_view prefix) {
    return !prefix.empty() && name.size() >= prefix.size() &&
           same_name(name.substr(0, prefix.size()), prefix);
}

beast::string_view beast_view(std::string_view text) {
    return {text.data(), text.size()};
}

// Headers that carry the API key, or that only the fleet may set for a target.
bool is_reserved(std::string_view name, http::field field, const http_protocol& protocol) {
    const bool carries_key = protocol.key_header.empty() ? field == http::field::authorization
                                                         : same_name(name, protocol.key_header);
    const bool is_set_by_fleet =
        same_name(name, protocol.account_header) || same_name(name, protocol.timeout_header) ||
        same_name(name, protocol.caller_service_header) || same_name(name, protocol.instance_header);
    return carries_key || is_set_by_fleet || has_prefix(name, protocol.reserved_prefix);
}

// Headers that apply to one connection only: those of RFC 9110, section 7.6.1; Proxy-Authenticate and
// Proxy-Authorization, which are between a proxy and its client (section 11.7); and Content-Length, Expect,
// Host and Trailer, which this process handles itself.
bool is_hop_by_hop_header(http::field name) {
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

// The Connection header may list further hop-by-hop headers.
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

void set_retry_after(http_response& response, duration retry_after, const http_protocol& protocol) {
    static std::mt19937_64 random{std::random_device{}()};
    const double base_s = to_seconds(retry_after);
    if (protocol.fractional_retry_after) {
        std::uniform_real_distribution<double> jitter(1, 1 + retry_after_jitter_share);
        const auto count = std::lround(base_s * jitter(random) * milliseconds_per_second);
        std::string text = std::to_string(count / std::lround(milliseconds_per_second));
        const std::string fraction = std::to_string(count % std::lround(milliseconds_per_second));
        text.append(".").append(3 - fraction.size(), '0').append(fraction);
        response.set(http::field::retry_after, text);
        return;
    }
    std::uniform_real_distribution<double> jitter(0, retry_after_jitter_s);
    response.set(http::field::retry_after,
                 std::to_string(std::max(1L, std::lround(base_s + jitter(random)))));
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

// Status for a request that was not refused at once, but has no response of a target to pass on.
unsigned failure_status(wire::forward_outcome outcome, reason why, const http_protocol& protocol) {
    constexpr unsigned bad_gateway = 502;
    constexpr unsigned gateway_timeout = 504;
    const bool has_expired = why == reason::deadline || why == reason::expired_in_queue;
    // Without the outcome header, only the status of a refusal tells callers that nothing ran.
    if (outcome == wire::not_run && (!has_expired || !protocol.sends_outcome_headers)) {
        return refusal_status(why);
    }
    const bool is_timeout = has_expired || why == reason::key_in_progress || why == reason::caller_gone;
    return is_timeout ? gateway_timeout : bad_gateway;
}

} // namespace

std::optional<std::string> api_key_of(const http_request& request, const http_protocol& protocol) {
    if (!protocol.key_header.empty()) {
        const auto found = request.find(beast_view(protocol.key_header));
        return found == request.end() || found->value().empty()
                   ? std::nullopt
                   : std::optional<std::string>(std::string(found->value()));
    }
    const std::string_view value = view(request[http::field::authorization]);
    if (value.size() <= bearer_scheme.size() ||
        !same_name(value.substr(0, bearer_scheme.size()), bearer_scheme)) {
        return std::nullopt;
    }
    return std::string(value.substr(bearer_scheme.size()));
}

std::optional<std::uint32_t> timeout_of(const http_request& request, bool& valid,
                                        const http_protocol& protocol) {
    valid = true;
    const auto found = request.find(beast_view(protocol.timeout_header));
    if (found == request.end()) {
        return std::nullopt;
    }
    const std::string_view text = view(found->value());
    std::uint32_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    valid = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() && value > 0;
    return value;
}

bool has_ambiguous_headers(const http_request& request, const http_protocol& protocol) {
    const std::string key_name = protocol.key_header.empty() ? "Authorization" : protocol.key_header;
    std::size_t occurrences = 0;
    for (const std::string_view name :
         {std::string_view(key_name), std::string_view(protocol.timeout_header), std::string_view("Host"),
          std::string_view(protocol.request_id_header), idempotency_header}) {
        occurrences = std::max(occurrences, request.count(beast_view(name)));
    }
    return occurrences > 1;
}

bool has_dot_segment(std::string_view path) {
    const std::string decoded = percent_decode(path.substr(0, path.find('?')));
    std::string_view rest = decoded;
    while (!rest.empty()) {
        const auto slash = rest.find('/');
        const std::string_view segment = rest.substr(0, slash);
        if (segment == "." || segment == "..") {
            return true;
        }
        rest = slash == std::string_view::npos ? std::string_view() : rest.substr(slash + 1);
    }
    return false;
}

bool exposes_key(const http_request& request, std::string_view key, const http_protocol& protocol) {
    if (contains(view(request.target()), key) || contains(percent_decode(view(request.target())), key)) {
        return true;
    }
    for (const auto& field : request) {
        const bool dropped = is_reserved(view(field.name_string()), field.name(), protocol);
        if (!dropped && contains(view(field.value()), key)) {
            return true;
        }
    }
    return contains(request.body(), key);
}

std::string routing_path(const http_request& request, const http_protocol& protocol) {
    std::string path(request.target());
    return protocol.routes_by_host ? std::string(request[http::field::host]) + path : path;
}

wire::forward_request make_forward_request(const http_request& request, const route_settings& route,
                                           const http_protocol& protocol) {
    wire::forward_request forwarded;
    forwarded.set_id(random_token());
    forwarded.set_service(route.service);
    forwarded.set_method(std::string(request.method_string()));
    forwarded.set_path(std::string(request.target()));
    forwarded.set_body(request.body());
    forwarded.set_priority(route.priority);
    forwarded.set_idempotent(route.idempotent);
    forwarded.set_open(route.open);
    copy_request_headers(request, forwarded, protocol);
    return forwarded;
}

void copy_request_headers(const http_request& request, wire::forward_request& forwarded,
                          const http_protocol& protocol) {
    for (const auto& field : request) {
        const std::string_view name = view(field.name_string());
        const bool forwards_host = protocol.routes_by_host && field.name() == http::field::host;
        const bool is_hop_by_hop =
            is_hop_by_hop_header(field.name()) || is_named_in_connection(request, name);
        if (!forwards_host && (is_hop_by_hop || is_reserved(name, field.name(), protocol))) {
            continue;
        }
        auto* header = forwarded.add_headers();
        header->set_name(std::string(name));
        header->set_value(std::string(view(field.value())));
    }
}

void copy_response_headers(const http_response& response, wire::forward_reply& reply,
                           const http_protocol& protocol) {
    for (const auto& field : response) {
        const std::string_view name = view(field.name_string());
        if (has_prefix(name, protocol.reserved_prefix) || is_hop_by_hop_header(field.name()) ||
            is_named_in_connection(response, name)) {
            continue;
        }
        auto* header = reply.add_headers();
        header->set_name(std::string(name));
        header->set_value(std::string(view(field.value())));
    }
}

std::string_view forwarded_header(const wire::forward_request& request, std::string_view name) {
    for (const auto& header : request.headers()) {
        if (same_name(header.name(), name)) {
            return header.value();
        }
    }
    return {};
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

http_response make_text_response(unsigned status, std::string_view type, std::string body) {
    http_response response{static_cast<http::status>(status), 11};
    response.set(http::field::content_type, beast::string_view(type.data(), type.size()));
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

http_response make_refusal(reason why, duration retry_after, const http_protocol& protocol) {
    constexpr unsigned too_many_requests = 429;
    constexpr unsigned service_unavailable = 503;
    const unsigned status = refusal_status(why);
    http_response response = make_text_response(status, "text/plain", std::string(reason_token(why)) + "\n");
    if (protocol.sends_outcome_headers) {
        response.set(std::string(outcome_header), "not-run");
    }
    response.set(std::string(reason_header), std::string(reason_token(why)));
    if (status == too_many_requests || status == service_unavailable) {
        set_retry_after(response, retry_after, protocol);
    }
    return response;
}

http_response make_response(const wire::forward_reply& reply, const http_protocol& protocol) {
    const reason why = reason_from_token(reply.reason());
    http_response response;
    if (reply.outcome() == wire::ran) {
        response.result(reply.status());
        for (const auto& header : reply.headers()) {
            response.insert(header.name(), header.value());
        }
        response.body() = reply.body();
    } else {
        const unsigned status = failure_status(reply.outcome(), why, protocol);
        response = make_text_response(status, "text/plain", std::string(reason_token(why)) + "\n");
        response.set(std::string(reason_header), std::string(reason_token(why)));
        // A request that crashes targets is not invited to come back.
        if (why != reason::crashes_targets) {
            set_retry_after(response, std::chrono::milliseconds(reply.retry_after_ms()), protocol);
        }
    }
    if (protocol.sends_outcome_headers) {
        response.set(std::string(outcome_header), std::string(outcome_token(reply.outcome())));
        if (!reply.id().empty()) {
            response.set(protocol.request_id_header, reply.id());
        }
    }
    response.prepare_payload();
    return response;
}

} // namespace dandelionmount
