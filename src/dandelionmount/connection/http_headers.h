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

/// The key that came with a request; nothing when there is none.
[[nodiscard]] std::optional<std::string> key_of(const http_request& request,
                                                const http_protocol& protocol = {});
/// The milliseconds of the timeout header; nothing when it is absent, fails when it is not a positive number.
[[nodiscard]] std::optional<std::uint32_t> timeout_of(const http_request& request, bool& valid,
                                                      const http_protocol& protocol = {});
/// Whether a header that decides who calls, what and for how long stands more than once.
[[nodiscard]] bool has_ambiguous_headers(const http_request& request, const http_protocol& protocol = {});
/// Whether the path has a segment "." or "..", also percent-encoded: a target that resolves it would run
/// something else than what the route allowed.
[[nodiscard]] bool has_dot_segment(std::string_view path);
/// Whether the key stands anywhere in the request but in its own header: path, query, headers, trailers,
/// body.
[[nodiscard]] bool exposes_key(const http_request& request, std::string_view key,
                               const http_protocol& protocol = {});
/// The text by which a request's route is found: its path, behind its host where routes go by hosts.
[[nodiscard]] std::string routing_path(const http_request& request, const http_protocol& protocol = {});
/// The request as it goes to a worker: under a fresh id, with the route's properties and without any account.
[[nodiscard]] wire::forward_request make_forward_request(const http_request& request,
                                                         const route_settings& route,
                                                         const http_protocol& protocol = {});
/// Copies the headers that a target may see: no key, nothing of this hop, nothing that only the fleet sets.
void copy_request_headers(const http_request& request, wire::forward_request& forwarded,
                          const http_protocol& protocol = {});
/// Copies the headers that a caller may see from a target's answer.
void copy_response_headers(const http_response& answer, wire::forward_reply& reply,
                           const http_protocol& protocol = {});
/// The header's value in a forwarded request; empty when there is none.
[[nodiscard]] std::string_view forwarded_header(const wire::forward_request& request, std::string_view name);

/// The status with which a refusal for that reason is told.
[[nodiscard]] unsigned refusal_status(reason why);
/// A refusal: nothing has run. `retry_after` is told for statuses 429 and 503.
[[nodiscard]] http_response make_refusal(reason why, duration retry_after,
                                         const http_protocol& protocol = {});
/// The answer for a request that was forwarded, whatever became of it.
[[nodiscard]] http_response make_response(const wire::forward_reply& reply,
                                          const http_protocol& protocol = {});
/// A plain answer of this process.
[[nodiscard]] http_response make_text_response(unsigned status, std::string_view type, std::string body);

} // namespace dandelionmount

#endif
