#ifndef DANDELIONMOUNT_CONNECTION_HTTP_HEADERS_H
#define DANDELIONMOUNT_CONNECTION_HTTP_HEADERS_H

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

constexpr std::string_view request_header = "Dandelion-Request";
constexpr std::string_view account_header = "Dandelion-Account";
constexpr std::string_view timeout_header = "Dandelion-Timeout";
constexpr std::string_view outcome_header = "Dandelion-Outcome";
constexpr std::string_view reason_header = "Dandelion-Reason";
constexpr std::string_view idempotency_header = "Idempotency-Key";

/// The key of `Authorization: Bearer KEY`; nothing when there is none.
[[nodiscard]] std::optional<std::string> bearer_key(const http_request& request);
/// The milliseconds of `Dandelion-Timeout`; nothing when it is absent, fails when it is not a positive
/// number.
[[nodiscard]] std::optional<std::uint32_t> timeout_of(const http_request& request, bool& valid);
/// Whether the key stands anywhere in the request but in its authorization: path, query, headers, trailers,
/// body.
[[nodiscard]] bool exposes_key(const http_request& request, std::string_view key);
/// The request as it goes to a worker: under a fresh id, with the route's properties and without any account.
[[nodiscard]] wire::forward_request make_forward_request(const http_request& request,
                                                         const route_settings& route);
/// Copies the headers that a target may see: no key, nothing of this hop, no Dandelion-* of the caller.
void copy_request_headers(const http_request& request, wire::forward_request& forwarded);
/// Copies the headers that a caller may see from a target's answer.
void copy_answer_headers(const http_response& answer, wire::forward_reply& reply);

/// The status with which a refusal for that reason is told.
[[nodiscard]] unsigned refusal_status(reason why);
/// A refusal: nothing has run. `retry_after` is told for statuses 429 and 503.
[[nodiscard]] http_response make_refusal(reason why, duration retry_after);
/// The answer for a request that was forwarded, whatever became of it.
[[nodiscard]] http_response make_answer(const wire::forward_reply& reply);
/// A plain answer of this process.
[[nodiscard]] http_response make_text_answer(unsigned status, std::string_view type, std::string body);

} // namespace dandelionmount

#endif
