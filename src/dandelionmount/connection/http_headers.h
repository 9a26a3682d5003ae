#ifndef DANDELIONMOUNT_CONNECTION_HTTP_HEADERS_H
#define DANDELIONMOUNT_CONNECTION_HTTP_HEADERS_H

#include "dandelionmount/connection/http_protocol.h"
#include "dandelionmount/process/clock.h"
#include "dandelionmount/process/reason.h"
#include "dandelionmount/version/configuration.h"
#include "dandelionmount/wire/peer.pb.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace dandelionmount {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;

constexpr std::string_view outcome_header = "Dandelion-Outcome";
constexpr std::string_view reason_header = "Dandelion-Reason";
constexpr std::string_view idempotency_header = "Idempotency-Key";

/// The caller's API key; nullopt when there is none.
[[nodiscard]] std::optional<std::string> api_key_of(const http_request& request,
                                                    const http_protocol& protocol = {});
/// The timeout header in milliseconds; nullopt when absent. Sets `valid` to false when it is not a positive
/// 32-bit integer.
[[nodiscard]] std::optional<std::uint32_t> timeout_of(const http_request& request, bool& valid,
                                                      const http_protocol& protocol = {});
/// Whether the header of the API key, timeout, host, request id or idempotency key occurs more than once.
[[nodiscard]] bool has_ambiguous_headers(const http_request& request, const http_protocol& protocol = {});
/// Whether the path has a segment "." or "..", also percent-encoded: a target that resolves it would run
/// something other than what the route allows.
[[nodiscard]] bool has_dot_segment(std::string_view path);
/// Whether the API key appears anywhere in the path, query, headers, trailers or body, except in headers that
/// never reach a target: its own and those that only the fleet sets.
[[nodiscard]] bool exposes_key(const http_request& request, std::string_view key,
                               const http_protocol& protocol = {});
/// The text matched against route prefixes: the path and query, preceded by the Host header where the
/// protocol routes by it.
[[nodiscard]] std::string routing_path(const http_request& request, const http_protocol& protocol = {});
/// Builds the request to forward to a worker, with a new id and the route's properties, without an account.
[[nodiscard]] wire::forward_request make_forward_request(const http_request& request,
                                                         const route_settings& route,
                                                         const http_protocol& protocol = {});
/// Copies the headers a target may see: no API key, no hop-by-hop headers, none that only the fleet sets.
void copy_request_headers(const http_request& request, wire::forward_request& forwarded,
                          const http_protocol& protocol = {});
/// Copies the headers a caller may see from a target's response.
void copy_response_headers(const http_response& response, wire::forward_reply& reply,
                           const http_protocol& protocol = {});
/// A header's value in a forwarded request; empty when absent.
[[nodiscard]] std::string_view forwarded_header(const wire::forward_request& request, std::string_view name);

/// HTTP status of a refusal with this reason.
[[nodiscard]] unsigned refusal_status(reason why);
/// Response to a request that has not run. Retry-After is set for statuses 429 and 503.
[[nodiscard]] http_response make_refusal(reason why, duration retry_after,
                                         const http_protocol& protocol = {});
/// Response to a forwarded request, for any outcome.
[[nodiscard]] http_response make_response(const wire::forward_reply& reply,
                                          const http_protocol& protocol = {});
/// A plain response made by this process.
[[nodiscard]] http_response make_text_response(unsigned status, std::string_view type, std::string body);

} // namespace dandelionmount

#endif
