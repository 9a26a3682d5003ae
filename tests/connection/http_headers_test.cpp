#include "dandelionmount/connection/http_headers.h"

#include <doctest/doctest.h>

namespace dm = dandelionmount;
namespace http = boost::beast::http;

namespace {

dm::http_request make_request() {
    dm::http_request request{http::verb::post, "/store/item?x=1", 11};
    request.set(http::field::authorization, "Bearer top-secret-key");
    request.set("Dandelion-Account", "somebody else");
    request.set("Dandelion-Timeout", "250");
    request.set("X-Own", "kept");
    request.set(http::field::connection, "keep-alive, X-Hop");
    request.set("X-Hop", "dropped");
    request.set("Idempotency-Key", "note-1");
    return request;
}

} // namespace

TEST_SUITE_BEGIN("connection");

TEST_CASE("A target sees neither the key nor hop-by-hop headers nor Dandelion headers of the caller") {
    dm::wire::forward_request forwarded;
    dm::copy_request_headers(make_request(), forwarded);
    std::vector<std::string> names;
    for (const auto& header : forwarded.headers()) {
        names.push_back(header.name());
        CHECK(header.value().find("top-secret-key") == std::string::npos);
    }
    CHECK(names == std::vector<std::string>{"X-Own", "Idempotency-Key"});
}

TEST_CASE("A key is detected wherever a caller repeats it") {
    const std::string key = "top-secret-key";
    CHECK_FALSE(dm::exposes_key(make_request(), key));
    auto in_query = make_request();
    in_query.target("/store?key=top-secret-key");
    CHECK(dm::exposes_key(in_query, key));
    auto encoded = make_request();
    encoded.target("/store?key=top%2Dsecret%2dkey");
    CHECK(dm::exposes_key(encoded, key));
    auto in_header = make_request();
    in_header.set("X-Api-Key", key);
    CHECK(dm::exposes_key(in_header, key));
    auto in_body = make_request();
    in_body.body() = "{\"key\":\"top-secret-key\"}";
    CHECK(dm::exposes_key(in_body, key));
    auto second = make_request();
    second.insert(http::field::authorization, "Bearer top-secret-key");
    CHECK_FALSE(dm::exposes_key(second, key));
}

TEST_CASE("A timeout is a positive number of milliseconds") {
    bool valid = false;
    auto request = make_request();
    CHECK(dm::timeout_of(request, valid) == 250);
    CHECK(valid);
    for (const char* text : {"0", "-1", "", "1s", "99999999999"}) {
        request.set("Dandelion-Timeout", text);
        (void)dm::timeout_of(request, valid);
        CHECK_FALSE(valid);
    }
    request.erase("Dandelion-Timeout");
    CHECK_FALSE(dm::timeout_of(request, valid));
    CHECK(valid);
}

TEST_CASE("Each refusal states that nothing ran and why, and refusals due to load have Retry-After") {
    for (std::size_t index = 1; index < dm::reason_count; ++index) {
        const auto why = static_cast<dm::reason>(index);
        CHECK(dm::reason_from_token(dm::reason_token(why)) == why);
        const auto response = dm::make_refusal(why, std::chrono::seconds(2));
        CHECK(response["Dandelion-Outcome"] == "not-run");
        CHECK(response["Dandelion-Reason"] == std::string(dm::reason_token(why)));
        const bool load = response.result_int() == 429 || response.result_int() == 503;
        CHECK((response.count(http::field::retry_after) > 0) == load);
    }
}

TEST_CASE("An unknown outcome is reported as unknown") {
    dm::wire::forward_reply reply;
    reply.set_id("id");
    reply.set_outcome(dm::wire::unknown);
    reply.set_reason("target_lost");
    const auto lost = dm::make_response(reply);
    CHECK(lost.result_int() == 502);
    CHECK(lost["Dandelion-Outcome"] == "unknown");
    reply.set_reason("deadline");
    CHECK(dm::make_response(reply).result_int() == 504);
    reply.set_outcome(dm::wire::not_run);
    CHECK(dm::make_response(reply)["Dandelion-Outcome"] == "not-run");
}

// Guards against 504 for requests that reached no target: such callers may not send them again.
TEST_CASE(
    "Where only the status tells the outcome, a request that did not run gets the status of a refusal") {
    dm::http_protocol protocol;
    protocol.sends_outcome_headers = false;
    dm::wire::forward_reply reply;
    reply.set_outcome(dm::wire::not_run);
    for (const char* why : {"expired_in_queue", "deadline", "peer_unreachable"}) {
        CAPTURE(why);
        reply.set_reason(why);
        CHECK(dm::make_response(reply, protocol).result_int() == 503);
    }
    reply.set_outcome(dm::wire::unknown);
    reply.set_reason("deadline");
    CHECK(dm::make_response(reply, protocol).result_int() == 504);
}

TEST_CASE("A bearer key is read whatever the case of the scheme") {
    auto request = make_request();
    CHECK(dm::api_key_of(request) == "top-secret-key");
    request.set(http::field::authorization, "bearer k");
    CHECK(dm::api_key_of(request) == "k");
    request.set(http::field::authorization, "Basic k");
    CHECK_FALSE(dm::api_key_of(request));
    request.set(http::field::authorization, "Bearer ");
    CHECK_FALSE(dm::api_key_of(request));
}

TEST_CASE("A header that determines the caller must not occur twice") {
    CHECK_FALSE(dm::has_ambiguous_headers(make_request()));
    auto request = make_request();
    request.insert(http::field::authorization, "Bearer another-key");
    CHECK(dm::has_ambiguous_headers(request));
    request = make_request();
    request.insert("Dandelion-Timeout", "9000");
    CHECK(dm::has_ambiguous_headers(request));
}

TEST_CASE("Dot segments in a path are detected, encoded or not") {
    for (const char* path : {"/front/../back/item", "/front/%2e%2E/item", "/front/.", "/..", "/a/./b?x=1"}) {
        CAPTURE(path);
        CHECK(dm::has_dot_segment(path));
    }
    for (const char* path : {"/front/item", "/a..b/c", "/a/...", "/a?b=/../", "/.hidden/x"}) {
        CAPTURE(path);
        CHECK_FALSE(dm::has_dot_segment(path));
    }
}

TEST_CASE("The same rules apply to other header names") {
    dm::http_protocol protocol;
    protocol.key_header = "X-Key";
    protocol.account_header = "X-Account";
    protocol.timeout_header = "X-Timeout";
    protocol.caller_service_header = "X-From";
    protocol.routes_by_host = true;
    dm::http_request request{http::verb::get, "/item", 11};
    request.set(http::field::host, "one.example");
    request.set("X-Key", "top-secret-key");
    request.set("X-Account", "somebody else");
    request.set("X-From", "somewhere else");
    request.set("X-Timeout", "250");
    request.set("X-Own", "kept");
    CHECK(dm::api_key_of(request, protocol) == "top-secret-key");
    CHECK(dm::routing_path(request, protocol) == "one.example/item");
    dm::wire::forward_request forwarded;
    dm::copy_request_headers(request, forwarded, protocol);
    std::vector<std::string> names;
    for (const auto& header : forwarded.headers()) {
        names.push_back(header.name());
    }
    CHECK(names == std::vector<std::string>{"Host", "X-Own"});
}

TEST_SUITE_END();
