#ifndef DANDELIONMOUNT_STANDINS_TARGET_BEHAVIOUR_H
#define DANDELIONMOUNT_STANDINS_TARGET_BEHAVIOUR_H

#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/connection/http_headers.h"
#include "dandelionmount/process/clock.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace standins {

/// How a stand-in target behaves; `POST /control` changes it while it runs.
struct target_options {
    std::string service;
    /// "IP:PORT" of the target itself and of the target port of its node.
    std::string address;
    std::string node_address;
    /// Requests run concurrently; the target may announce another number.
    std::uint32_t slots{50};
    std::uint32_t announced_slots{50};
    /// State to announce: "starting", "ready" or "draining".
    std::string state{"ready"};
    /// Time that a request holds its slot, without nested calls, in milliseconds.
    int service_ms{2};
    /// Share of requests that get an immediate response with status 500.
    double fail_share{0};
    /// Share of responses that are truncated.
    double cut_share{0};
    /// Whether the target announces itself periodically.
    bool announces{true};
    /// Whether nested calls carry the id of the request that they belong to.
    bool keeps_context{true};
    /// Paths of the nested calls that each request makes, in sequence.
    std::vector<std::string> calls;
    /// Requests that contain this text are counted; empty for none.
    std::string forbidden;
};

/// A stand-in target: runs as many requests concurrently as it has slots, makes nested calls, counts runs.
class target_behaviour {
public:
    target_behaviour(boost::asio::any_io_executor executor, target_options options);

    boost::asio::awaitable<dandelionmount::http_response>
    respond(dandelionmount::http_request request, std::shared_ptr<dandelionmount::cancel_token> cancel);
    /// Announces the target to its node periodically; never ends.
    boost::asio::awaitable<void> announce();
    [[nodiscard]] target_options& options() { return options_; }
    /// Number of runs of each request, by its id.
    [[nodiscard]] const std::map<std::string, int>& runs() const { return runs_; }

private:
    boost::asio::awaitable<dandelionmount::http_response>
    run_request(dandelionmount::http_request request, std::shared_ptr<dandelionmount::cancel_token> cancel);
    boost::asio::awaitable<bool> make_nested_calls(std::string request_id, std::string timeout,
                                                   std::string& body);
    boost::asio::awaitable<void> acquire_slot();
    void release_slot();
    [[nodiscard]] dandelionmount::http_response control(const std::string& body);
    [[nodiscard]] dandelionmount::http_response report() const;
    void count_forbidden(const dandelionmount::http_request& request);
    [[nodiscard]] bool draw_with_probability(double share);

    boost::asio::any_io_executor executor_;
    target_options options_;
    std::uint32_t busy_{0};
    std::deque<std::shared_ptr<dandelionmount::async_event>> waiting_;
    std::map<std::string, int> runs_;
    std::map<std::string, int> paths_;
    std::uint64_t finished_{0};
    std::uint64_t cancelled_{0};
    std::uint64_t forbidden_seen_{0};
    std::uint64_t random_state_{0x9E3779B97F4A7C15ULL};
};

} // namespace standins

#endif
