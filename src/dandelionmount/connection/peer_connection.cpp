#include "dandelionmount/connection/peer_connection.h"

#include <algorithm>
#include <utility>

namespace dandelionmount {

namespace asio = boost::asio;

namespace {

constexpr duration heartbeat_interval = std::chrono::milliseconds(200);
// While no reply is pending, rare heartbeats suffice to detect a lost connection.
constexpr duration idle_heartbeat_interval = std::chrono::seconds(3);
// A connection on which nothing follows a heartbeat for this long counts as lost, though it may look open.
constexpr duration heartbeat_timeout = std::chrono::milliseconds(700);

} // namespace

wire::peer_frame make_heartbeat(std::uint64_t sequence) {
    wire::peer_frame frame;
    frame.mutable_heartbeat()->set_sequence(sequence);
    return frame;
}

wire::peer_frame make_stop_notice(duration time_left) {
    wire::peer_frame frame = make_heartbeat(0);
    frame.mutable_heartbeat()->set_sender_ends_in_ms(
        to_milliseconds(std::max<duration>(time_left, duration{0})));
    return frame;
}

peer_connection::peer_connection(asio::any_io_executor executor, const time_source& time,
                                 std::shared_ptr<frame_stream> stream, std::uint64_t incarnation)
    : executor_(std::move(executor)), time_(time), stream_(std::move(stream)), incarnation_(incarnation),
      last_received_at_(time.now()), reply_pending_(executor_) {}

asio::awaitable<result<wire::peer_frame>> peer_connection::read() {
    auto frame = co_await stream_->read(max_frame_bytes);
    if (frame) {
        unanswered_since_.reset();
        last_received_at_ = time_.now();
    }
    co_return frame;
}

asio::awaitable<void> peer_connection::send_heartbeats(std::function<bool()> is_reply_pending) {
    while (is_open()) {
        const bool is_due = co_await wait_until_heartbeat_due(is_reply_pending);
        if (!is_open()) {
            co_return;
        }
        if (is_silent()) {
            close();
        } else if (is_due) {
            stream_->send(make_heartbeat(0));
            unanswered_since_ = unanswered_since_.value_or(time_.now());
        }
    }
}

// Returns at intervals in which silence is to be checked, and whether a heartbeat is due then.
asio::awaitable<bool>
peer_connection::wait_until_heartbeat_due(const std::function<bool()>& is_reply_pending) {
    if (!is_reply_pending()) {
        reply_pending_.reset();
        const auto due = time_.now() + idle_heartbeat_interval;
        const bool woken = co_await reply_pending_.wait_until(due);
        exclude_own_delay(due);
        if (!woken) {
            co_return true;
        }
    }
    const auto due = time_.now() + heartbeat_interval;
    co_await sleep_for(executor_, heartbeat_interval);
    exclude_own_delay(due);
    co_return is_reply_pending() && time_since_received() >= heartbeat_interval;
}

// Time in which this process itself did not run must not count as silence of the other host.
void peer_connection::exclude_own_delay(steady_time due) {
    const auto now = time_.now();
    if (unanswered_since_ && now > due) {
        *unanswered_since_ += now - due;
    }
}

bool peer_connection::is_silent() const {
    return unanswered_since_ && time_.now() - *unanswered_since_ > heartbeat_timeout;
}

void peer_connection::close() {
    stream_->close();
    reply_pending_.set();
}

} // namespace dandelionmount
