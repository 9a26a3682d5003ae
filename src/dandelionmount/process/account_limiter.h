#ifndef DANDELIONMOUNT_PROCESS_ACCOUNT_LIMITER_H
#define DANDELIONMOUNT_PROCESS_ACCOUNT_LIMITER_H

#include "dandelionmount/process/clock.h"

#include <boost/asio/awaitable.hpp>
#include <string>
#include <string_view>

namespace dandelionmount {

/// Admits requests within each client account's rate and burst over all hosts together.
class account_limiter {
public:
    account_limiter() = default;
    account_limiter(const account_limiter&) = delete;
    account_limiter& operator=(const account_limiter&) = delete;
    virtual ~account_limiter() = default;

    /// Admits one request of the account; false when the account is over its rate.
    virtual boost::asio::awaitable<bool> admit(std::string account) = 0;
    /// Returns the token of an admitted request that has not run, if the implementation supports it.
    virtual void refund(std::string_view account) = 0;
    /// Time after which a refused caller should retry.
    [[nodiscard]] virtual duration retry_delay(std::string_view account) const = 0;
};

} // namespace dandelionmount

#endif
