#ifndef DANDELIONMOUNT_CONNECTION_HTTP_PROTOCOL_H
#define DANDELIONMOUNT_CONNECTION_HTTP_PROTOCOL_H

#include <string>

namespace dandelionmount {

/// HTTP conventions that differ between deployments. An empty header name disables that header. The defaults
/// are the product's own interface.
struct http_protocol {
    /// Carries the request id.
    std::string request_id_header{"Dandelion-Request"};
    /// Whether callers set the request id. It is then forwarded unchanged, and a target's response must
    /// repeat it.
    bool caller_sets_request_id{false};
    /// Passes the client account to the target.
    std::string account_header{"Dandelion-Account"};
    /// Remaining time in milliseconds, from callers and to targets.
    std::string timeout_header{"Dandelion-Timeout"};
    /// Carries the API key alone; if empty, the key comes as `Authorization: Bearer KEY`.
    std::string key_header;
    /// Passes to the target the service of the host at which the request entered.
    std::string caller_service_header;
    /// Identifies the target process that a request is meant for; any other process responds with 421.
    std::string instance_header;
    /// On a target's response: the request was rejected and has not run.
    std::string not_run_header;
    /// On a target's response: the requests per second that it takes from all hosts together.
    std::string rate_limit_header;
    /// On a target's response: the target is leaving and must get no more requests.
    std::string leaving_header;
    /// Present on every response made by a target; a success without it counts as incomplete. Its value is
    /// not checked.
    std::string response_signature_header;
    /// Prefix of header names that callers may not set.
    std::string reserved_prefix{"Dandelion-"};
    /// Whether targets receive the caller's Host header and routes are selected by it.
    bool routes_by_host{false};
    /// Whether targets call through open routes, like any caller. Such calls are not shed at the ingress
    /// node, since work has already been spent on the request they belong to.
    bool targets_call_open_routes{false};
    /// Whether Retry-After may have a fraction.
    bool fractional_retry_after{false};
    /// Whether a close-delimited response is complete when the connection closed without an error.
    bool accepts_close_delimited_responses{false};
    /// Whether a half-close by the caller means that it has disconnected.
    bool half_close_means_gone{false};
    /// Whether responses carry the product's own outcome and request headers.
    bool sends_outcome_headers{true};
};

} // namespace dandelionmount

#endif
