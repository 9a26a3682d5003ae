#ifndef DANDELIONMOUNT_REQUEST_EXECUTOR_H
#define DANDELIONMOUNT_REQUEST_EXECUTOR_H

#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/connection/frame_stream.h"
#include "dandelionmount/connection/target_connection.h"
#include "dandelionmount/process/configuration_store.h"
#include "dandelionmount/process/crash_monitor.h"
#include "dandelionmount/process/local_target.h"
#include "dandelionmount/process/metrics.h"
#include "dandelionmount/process/service_pressure.h"
#include "dandelionmount/process/stop_schedule.h"
#include "dandelionmount/request/retry_allowance.h"
#include "dandelionmount/request/suspect_gate.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>
#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace dandelionmount {

/// One attempt of a request at this host's target.
struct execution {
    execution(const boost::asio::any_io_executor& executor, wire::forward_request forwarded,
              steady_time until)
        : request(std::move(forwarded)), deadline(until), allowance(request.allowance()),
          cancel(std::make_shared<cancel_token>()), changed(executor) {}

    enum class phase { waiting, running, finished };
    wire::forward_request request;
    steady_time deadline;
    retry_allowance allowance;
    phase current_phase{phase::waiting};
    std::uint64_t ticket{0};
    /// Largest ratio of demand to capacity received with the replies to the target's own calls.
    double downstream_ratio{0};
    /// Why the request was removed from the queue.
    reason removal_reason{reason::none};
    /// Computed when it is first needed.
    std::string fingerprint;
    gate_pass pass{gate_pass::none};
    std::shared_ptr<cancel_token> cancel;
    async_event changed;
    /// Stream for the reply; empty for a request from this host itself.
    std::weak_ptr<frame_stream> stream;
    std::optional<wire::forward_reply> reply;
    steady_time finished_at;
};

/// Dependencies of an executor. The referenced objects must outlive it.
struct executor_context {
    boost::asio::any_io_executor executor;
    const time_source& time;
    metrics& counters;
    const configuration_store& configuration;
    local_target& target;
    target_connections& connections;
    boost::asio::ip::address target_ip;
    /// Load of the target and of downstream services; nullptr where demand is reported by client account
    /// instead.
    service_pressure* pressure{nullptr};
    /// Whether senders settle an idempotent request as long as any other after a lost connection. Where they
    /// soon send it to another host instead, its run ends soon after the connection that brought it, unless
    /// they have settled it on another one.
    bool idempotent_requests_are_settled{true};
    /// Requests that were running when targets crashed; nullptr where they are not tracked.
    crash_monitor* crashes{nullptr};
    /// When this process ends; nullptr where no stop is planned.
    const stop_schedule* stop{nullptr};
};

/// Runs requests at this host's target: each attempt at most once, with an outcome that can be queried.
class executor {
public:
    using execution_pointer = std::shared_ptr<execution>;

    explicit executor(executor_context context);

    /// Handles a frame from another host that concerns an attempt; returns false for any other frame.
    [[nodiscard]] bool handle_attempt_frame(const wire::peer_frame& frame,
                                            const std::shared_ptr<frame_stream>& stream);
    /// Runs a request from another host and replies on the stream.
    void accept(const wire::forward_request& request, std::shared_ptr<frame_stream> stream);
    /// Runs a request that this host dispatched to its own target.
    boost::asio::awaitable<wire::forward_reply> run_local(wire::forward_request request, steady_time deadline,
                                                          std::shared_ptr<cancel_token> cancel);
    void cancel(const wire::cancel_request& cancel);
    /// Cancels the attempts that came over a connection which has ended, after a while in which their sender
    /// may cancel them itself.
    void handle_stream_end(const std::shared_ptr<frame_stream>& stream);
    /// Records when the host that sent the heartbeat ends, if it says so. Its requests that can't end by then
    /// do not start.
    void handle_stop_notice(const wire::heartbeat& heartbeat, const std::shared_ptr<frame_stream>& stream);
    /// Reports the outcome of an attempt; one that was not seen is refused from then on.
    void settle(const wire::settle_request& request, std::shared_ptr<frame_stream> stream);
    /// Drops a reply that the sender has received.
    void acknowledge(const wire::reply_ack& ack);
    /// The running request with that id, which a target sends with its own calls; nullptr when there is none.
    [[nodiscard]] execution_pointer find_running(std::string_view id) const;
    /// Checks again which of the waiting requests can still end in time, after this process' end was
    /// scheduled.
    void check_waiting();
    /// Refuses new requests but those whose senders know no other worker; waiting and running ones are
    /// completed.
    void drain() { intake_ = std::max(intake_, intake::last_resort); }
    /// Refuses all new requests; waiting and running ones are completed.
    void close() { intake_ = intake::closed; }
    /// Number of waiting and running requests.
    [[nodiscard]] std::size_t busy() const { return active_.size(); }
    /// Drops replies that were not fetched and tombstones of attempts that can no longer arrive.
    void remove_expired();

private:
    boost::asio::awaitable<void> cancel_orphans(std::shared_ptr<frame_stream> ended);
    void cancel_attempt(const execution_pointer& attempt);
    boost::asio::awaitable<wire::forward_reply> run_and_reply(execution_pointer attempt);
    boost::asio::awaitable<wire::forward_reply> run(execution_pointer attempt);
    boost::asio::awaitable<reason> enter_gate(execution_pointer attempt);
    void leave_gate(const execution& attempt);
    boost::asio::awaitable<wire::forward_reply> start_and_run(execution_pointer attempt);
    boost::asio::awaitable<wire::forward_reply> wait_for_start(execution_pointer attempt, bool& started);
    boost::asio::awaitable<bool> wait_for_turn(execution_pointer attempt);
    boost::asio::awaitable<wire::forward_reply> run_at_target(execution_pointer attempt);
    /// The process of the target that a run started at, and when.
    struct run_start {
        target_address target;
        std::uint64_t incarnation{0};
        steady_time at;
    };
    /// Finds out whether the target crashed during a run that was lost.
    boost::asio::awaitable<void> check_for_crash(execution_pointer attempt, run_start start,
                                                 wire::forward_reply& reply);
    [[nodiscard]] const std::string& fingerprint_of(execution& attempt) const;
    [[nodiscard]] crash_verdict assess(execution& attempt) const;
    [[nodiscard]] reason check_request(execution& attempt) const;
    [[nodiscard]] steady_time latest_end(const execution& attempt) const;
    [[nodiscard]] steady_time latest_start(const execution& attempt) const;
    [[nodiscard]] reason check_stop(const execution& attempt) const;
    [[nodiscard]] reason expiry_reason(const execution& attempt) const;
    [[nodiscard]] wire::forward_reply make_refusal(const execution& attempt, reason why) const;
    void start_waiting();
    void start_waiting_at_next_token(steady_time now);
    void remove_waiting(std::uint64_t ticket, reason why);
    /// Completes and stores the reply; returns it as sent.
    wire::forward_reply finish(const execution_pointer& attempt, wire::forward_reply reply);
    [[nodiscard]] bool circuit_breaker_refuses(std::string_view route, steady_time now);
    /// Ends a call that the target rejected or did not answer in time.
    void record_end_with_decision(const limit_decision& decision, duration elapsed, steady_time now);
    void record_call_end(const wire::forward_reply& reply, duration elapsed);

    /// Which new requests are accepted.
    enum class intake { open, last_resort, closed };
    [[nodiscard]] bool accepts(const wire::forward_request& request) const;

    /// Marks an attempt that must not start any more.
    struct tombstone {
        steady_time until;
        /// Whether the attempt was received here and its reply was dropped.
        bool seen{false};
    };
    void add_tombstone(const std::string& key, steady_time deadline, bool seen);

    executor_context context_;
    intake intake_{intake::open};
    /// Starts the next queued request when the target's rate limit allows it.
    boost::asio::steady_timer next_token_;
    bool waits_for_token_{false};
    std::uint64_t next_ticket_{1};
    /// Number of requests so far on routes with an open circuit breaker; selects those that run as probes.
    std::uint64_t open_circuit_requests_{0};
    /// By forward key, which combines request id and attempt number.
    std::map<std::string, execution_pointer, std::less<>> executions_;
    /// Queued requests, by ticket.
    std::map<std::uint64_t, execution_pointer> waiting_;
    suspect_gate gate_;
    /// Requests that wait at the gate, by ticket.
    std::map<std::uint64_t, execution_pointer> waiting_at_gate_;
    /// Waiting and running requests, by request id.
    std::map<std::string, execution_pointer, std::less<>> active_;
    /// By forward key.
    std::map<std::string, tombstone> tombstones_;
};

} // namespace dandelionmount

#endif
