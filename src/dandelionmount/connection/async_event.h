#ifndef DANDELIONMOUNT_CONNECTION_ASYNC_EVENT_H
#define DANDELIONMOUNT_CONNECTION_ASYNC_EVENT_H

#include "dandelionmount/process/clock.h"

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <utility>
#include <vector>

namespace dandelionmount {

/// Completion token: returns the error as the first tuple element instead of throwing.
constexpr auto as_result = boost::asio::as_tuple(boost::asio::use_awaitable);

/// A resettable event on which coroutines of one thread wait.
class async_event {
public:
    explicit async_event(boost::asio::any_io_executor executor) : executor_(std::move(executor)) {}
    async_event(const async_event&) = delete;
    async_event& operator=(const async_event&) = delete;
    ~async_event() = default;

    /// Wakes all current waiters; later waits return at once.
    void set() {
        is_set_ = true;
        wake();
    }
    /// Ends all current waits without setting the event, so that the waiters check again what they wait for.
    void wake() {
        for (auto* timer : waiting_) {
            timer->cancel();
        }
    }
    /// Makes later waits block until the next set().
    void reset() { is_set_ = false; }
    [[nodiscard]] bool is_set() const { return is_set_; }

    /// Waits until the event is set, the deadline passes or wake() is called; returns whether it is set then.
    boost::asio::awaitable<bool> wait_until(steady_time deadline) {
        if (is_set_) {
            co_return true;
        }
        boost::asio::steady_timer timer(executor_, deadline);
        waiting_.push_back(&timer);
        co_await timer.async_wait(as_result);
        std::erase(waiting_, &timer);
        co_return is_set_;
    }

private:
    boost::asio::any_io_executor executor_;
    std::vector<boost::asio::steady_timer*> waiting_;
    bool is_set_{false};
};

/// Waits for the given time.
inline boost::asio::awaitable<void> sleep_for(boost::asio::any_io_executor executor, duration time) {
    boost::asio::steady_timer timer(std::move(executor), time);
    co_await timer.async_wait(as_result);
}

/// Cancellation signal for the work on one request.
class cancel_token {
public:
    /// Cancels the work: runs the actions added so far. Only the first call has an effect.
    void request() {
        requested_ = true;
        const auto actions = std::exchange(actions_, {});
        for (const auto& action : actions) {
            action();
        }
    }
    [[nodiscard]] bool requested() const { return requested_; }
    /// Adds an action to run on cancellation; it runs at once if the work is already cancelled. It must be
    /// safe to call at any later time, also after the work has ended.
    void on_cancel(std::function<void()> action) {
        if (requested_) {
            action();
        } else {
            actions_.push_back(std::move(action));
        }
    }

private:
    bool requested_{false};
    std::vector<std::function<void()>> actions_;
};

} // namespace dandelionmount

#endif
