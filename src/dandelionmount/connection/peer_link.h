#ifndef DANDELIONMOUNT_CONNECTION_PEER_LINK_H
#define DANDELIONMOUNT_CONNECTION_PEER_LINK_H

#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/connection/peer_connection.h"
#include "dandelionmount/connection/peer_handshake.h"
#include "dandelionmount/process/clock.h"
#include "dandelionmount/process/metrics.h"
#include "dandelionmount/process/stop_schedule.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dandelionmount {

/// Dependencies of a link; all of them outlive it.
struct peer_link_context {
    boost::asio::any_io_executor executor;
    const peer_identity& self;
    const time_source& time;
    metrics& counters;
    /// Whether to settle the outcome of a request whose connection is lost: to find out on a new connection
    /// whether it ran. Off only in benchmarks and tests.
    bool settles{true};
    /// How long to settle an idempotent request before it is returned as unsettled, so that it can be retried
    /// elsewhere; nullopt: as long as any other request.
    std::optional<duration> idempotent_settle_timeout;
    /// Called when a connection to the host is established, is lost or can't be opened, and on retire().
    std::function<void(const std::string& host, bool reachable)> on_reachability;
    /// When this process ends; nullptr where no stop is planned.
    const stop_schedule* stop{nullptr};
};

/// An idempotent attempt whose connection was lost, and that may run still.
struct unsettled_attempt {
    /// Only the id and the attempt number are set.
    wire::forward_request request;
    /// Of the process that received the attempt.
    std::uint64_t incarnation{0};
};

/// The outcome of an attempt at another host.
struct forward_result {
    wire::forward_reply reply;
    /// To be resumed or abandoned.
    std::optional<unsettled_attempt> unsettled;
};

/// Requests to one other host over a single connection, opened on demand.
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
    peer_link(peer_link_context context, std::string host, std::string address);

    /// Sends a request and waits for its outcome until the deadline. If the connection is lost, settles the
    /// outcome on a new one where the context allows. Returns `unknown` when the outcome is not settled,
    /// can't be learned, or is not learned in time. Cancels the attempt at the other host, also after a lost
    /// connection, when the token is cancelled.
    boost::asio::awaitable<forward_result> forward(wire::forward_request request, steady_time deadline,
                                                   std::shared_ptr<cancel_token> cancel);
    /// Settles the attempt as one that can't be retried, and waits for its outcome if it runs.
    boost::asio::awaitable<wire::forward_reply> resume(unsettled_attempt attempt, steady_time deadline,
                                                       std::shared_ptr<cancel_token> cancel);
    /// Cancels the attempt, now or when the connection is open again.
    void abandon(const unsettled_attempt& attempt, steady_time deadline) {
        send_or_delay_cancel(attempt.request, deadline);
    }
    /// Sends a frame and waits for the reply with `reply_key`; nullopt when none arrives in time.
    boost::asio::awaitable<std::optional<wire::peer_frame>> call(wire::peer_frame frame,
                                                                 std::string reply_key, steady_time deadline);
    /// Sends the report if the connection is open; it is not answered.
    void send_crash_report(const wire::crash_report& report);
    /// Tells the host when this process ends, now or when the connection is open again.
    void announce_stop();
    /// Opens the connection in the background, unless it is open or the backoff has not elapsed.
    void keep_connected();
    [[nodiscard]] bool is_connected() const { return connection_ && connection_->is_open(); }
    /// Closes the connection for good.
    void stop();
    /// Opens no more connections, and closes the current one once no reply is pending on it.
    void retire();
    [[nodiscard]] const std::string& address() const { return address_; }
    [[nodiscard]] const std::string& host() const { return host_; }

private:
    struct pending_reply {
        explicit pending_reply(const boost::asio::any_io_executor& executor) : changed(executor) {}
        async_event changed;
        std::optional<wire::peer_frame> reply;
        bool connection_lost{false};
    };
    using pending_pointer = std::shared_ptr<pending_reply>;
    enum class connect_outcome { connected, refused, timed_out };
    enum class settle_outcome { not_run, pending, unknown };

    boost::asio::awaitable<connect_outcome> wait_connected(steady_time deadline);
    void start_connecting();
    boost::asio::awaitable<void> connect_and_read();
    boost::asio::awaitable<bool> open_connection();
    boost::asio::awaitable<void> read_frames(std::shared_ptr<peer_connection> connection);
    void handle_frame(wire::peer_frame frame);
    void connection_ended(const std::shared_ptr<peer_connection>& ended);
    void close_if_retired();
    [[nodiscard]] steady_time latest_answer_time() const;
    void report_reachable(bool reachable) const;
    void log_loss(const peer_connection& lost) const;
    void log_settlement(const wire::forward_request& request, settle_outcome outcome, duration took) const;
    boost::asio::awaitable<wire::forward_reply> cancel_at_deadline(const wire::forward_request& request,
                                                                   pending_pointer pending);
    pending_pointer add_pending(const std::string& key);
    boost::asio::awaitable<settle_outcome> settle(const wire::forward_request& request,
                                                  std::uint64_t incarnation, steady_time deadline);
    boost::asio::awaitable<forward_result> await_reply(const wire::forward_request& request,
                                                       std::uint64_t incarnation, pending_pointer pending,
                                                       duration settle_limit, steady_time deadline,
                                                       std::shared_ptr<cancel_token> cancel);
    void send_cancel(const wire::forward_request& request);
    void send_or_delay_cancel(const wire::forward_request& request, steady_time deadline);
    void cancel_when_connected(const wire::forward_request& request, steady_time deadline);
    void send_delayed_cancels();
    void send_ack(const wire::forward_reply& reply);

    peer_link_context context_;
    std::string host_;
    std::string address_;
    /// The current connection; nullptr while there is none.
    std::shared_ptr<peer_connection> connection_;
    /// Earliest time at which keep_connected() opens a connection again.
    steady_time next_connect_at_;
    duration reconnect_backoff_{};
    bool connecting_{false};
    bool refused_{false};
    bool stopped_{false};
    async_event connect_done_;
    std::map<std::string, pending_pointer> pending_;
    /// An attempt to cancel as soon as the connection is open again.
    struct delayed_cancel {
        wire::cancel_request message;
        /// Deadline of the attempt, after which there is nothing to cancel.
        steady_time deadline;
    };
    std::vector<delayed_cancel> delayed_cancels_;
};

/// Correlation keys, by which replies are matched to pending requests.
[[nodiscard]] std::string forward_key(std::string_view id, std::uint32_t attempt);
[[nodiscard]] std::string settle_key(std::string_view id, std::uint32_t attempt);
[[nodiscard]] std::string token_key(std::uint64_t grant_id);
[[nodiscard]] std::string call_key(std::uint64_t call);

/// A reply with only an outcome and a reason.
[[nodiscard]] wire::forward_reply make_reply(const wire::forward_request& request,
                                             wire::forward_outcome outcome, reason why);

} // namespace dandelionmount

#endif
