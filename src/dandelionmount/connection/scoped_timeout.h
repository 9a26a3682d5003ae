#ifndef DANDELIONMOUNT_CONNECTION_SCOPED_TIMEOUT_H
#define DANDELIONMOUNT_CONNECTION_SCOPED_TIMEOUT_H

#include "dandelionmount/process/clock.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <utility>

namespace dandelionmount {

/// Runs an action when a time limit passes, unless this object is destroyed before. The handler of a timer
/// alone does not ensure that: after a stall of the process it may be queued already, without an error, when
/// what it limits ends.
class scoped_timeout {
public:
    scoped_timeout(boost::asio::any_io_executor executor, duration limit, std::function<void()> action)
        : timer_(std::move(executor), limit),
          action_(std::make_shared<std::function<void()>>(std::move(action))) {
        timer_.async_wait([weak = std::weak_ptr(action_)](const boost::system::error_code& error) {
            const auto active = weak.lock();
            if (!error && active) {
                (*active)();
            }
        });
    }

private:
    boost::asio::steady_timer timer_;
    std::shared_ptr<std::function<void()>> action_;
};

} // namespace dandelionmount

#endif
