#ifndef DANDELIONMOUNT_REQUEST_EXECUTOR_H
#define DANDELIONMOUNT_REQUEST_EXECUTOR_H

#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/connection/frame_stream.h"
#include "dandelionmount/connection/target_connection.h"
#include "dandelionmount/process/configuration_store.h"
#include "dandelionmount/process/local_target.h"
#include "dandelionmount/process/metrics.h"
#include "dandelionmount/process/service_pressure.h"
#include "dandelionmount/request/retry_allowance.h"

#include <boost/asio/ip/address.hpp>
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
    phase now{phase::waiting};
    std::uint64_t ticket{0};
    /// The largest ratio of demand to capacity that the target's own calls met.
    double downstream_ratio{0};
    /// Why a waiting request was taken out of the queue.
    reason taken_out{reason::none};
    std::shared_ptr<cancel_token> cancel;
    async_event changed;
    /// Where the reply goes; empty for a request of this host itself.
    std::weak_ptr<frame_stream> stream;
    std::optional<wire::forward_reply> reply;
    steady_time finished;
};

/// What an executor needs of its process. All of it outlives the executor.
struct executor_context {
    boost::asio::any_io_executor executor;
    const time_source& time;
    metrics& counters;
    const configuration_store& configuration;
    local_target& target;
    target_connections& connections;
    boost::asio::ip::address target_ip;
    /// Load of the target and of the services below; nullptr where demand is told by client accounts instead.
    service_pressure* pressure{nullptr};
};

/// Runs requests at the target of this host: each attempt at most once, and what became of it can be asked.
class executor {
public:
    using execution_pointer = std::shared_ptr<execution>;

    explicit executor(executor_context context);

    /// Takes a frame of another host that has to do with attempts; false for any other frame.
    [[nodiscard]] bool handle_attempt_frame(const wire::peer_frame& frame,
                                            const std::shared_ptr<frame_stream>& stream);
    /// Runs a request that another host sent, and replies on the stream.
    void accept(const wire::forward_request& request, std::shared_ptr<frame_stream> stream);
    /// Runs a request that entered at this host.
    boost::asio::awaitable<wire::forward_reply> run_local(wire::forward_request request, steady_time deadline,
                                                          std::shared_ptr<cancel_token> cancel);
    void cancel(const wire::cancel_request& cancel);
    /// Says what became of an attempt; one that was not seen is refused from then on.
    void settle(const wire::settle_request& question, std::shared_ptr<frame_stream> stream);
    /// Forgets a reply that has arrived.
    void acknowledge(const wire::reply_ack& ack);
    /// The running request that a target names in its own calls; nullptr when there is none.
    [[nodiscard]] execution_pointer find_running(std::string_view id) const;
    /// Takes no new request; those that wait or run are finished.
    void drain() { draining_ = true; }
    /// Requests that wait or run.
    [[nodiscard]] std::size_t busy() const { return active_.size(); }
    /// Forgets replies that nobody fetched, and refusals of attempts that can't arrive any more.
    void remove_expired();

private:
    boost::asio::awaitable<wire::forward_reply> run_and_reply(execution_pointer one);
    boost::asio::awaitable<wire::forward_reply> run(execution_pointer one);
    boost::asio::awaitable<wire::forward_reply> wait_for_start(execution_pointer one, bool& started);
    boost::asio::awaitable<wire::forward_reply> run_at_target(execution_pointer one);
    [[nodiscard]] reason check_request(const execution& one) const;
    [[nodiscard]] wire::forward_reply refuse(const execution& one, reason why) const;
    void start_waiting();
    void take_out(std::uint64_t ticket, reason why);
    /// Completes the reply and keeps it; returns it as it is sent.
    wire::forward_reply finish(const execution_pointer& one, wire::forward_reply reply);
    [[nodiscard]] bool is_hopeless(std::string_view route, steady_time now);
    /// Ends a request that the target rejected or did not answer in time.
    void apply_limit_decision(const limit_decision& decision, duration took, steady_time now);
    void note_call_end(const wire::forward_reply& reply, duration took);

    /// An attempt that must not start any more.
    struct barred_attempt {
        steady_time until;
        /// Whether it was here and its reply was forgotten.
        bool seen{false};
    };
    void bar(const std::string& key, steady_time deadline, bool seen);

    executor_context context_;
    bool draining_{false};
    std::uint64_t next_ticket_{1};
    /// Requests of routes at which hardly any ends in time.
    std::uint64_t hopeless_attempts_{0};
    std::map<std::string, execution_pointer, std::less<>> executions_;
    std::map<std::uint64_t, execution_pointer> waiting_;
    /// Requests that wait or run, by request id.
    std::map<std::string, execution_pointer, std::less<>> active_;
    /// Attempts that must not start any more, by forward key.
    std::map<std::string, barred_attempt> barred_;
};

} // namespace dandelionmount

#endif
