#ifndef DANDELIONMOUNT_PROCESS_RETRY_LIMITER_H
#define DANDELIONMOUNT_PROCESS_RETRY_LIMITER_H

#include <boost/asio/awaitable.hpp>
#include <string>
#include <string_view>

namespace dandelionmount {

/// Limits the retries at each service, so that they stop when the service fails as a whole.
class retry_limiter {
public:
    retry_limiter() = default;
    retry_limiter(const retry_limiter&) = delete;
    retry_limiter& operator=(const retry_limiter&) = delete;
    virtual ~retry_limiter() = default;

    /// Records a request for the service, before its first attempt. `weight` is the number of requests that
    /// it represents, those shed at ingress nodes included; `repeat_share` is the probability that it is a
    /// call made by a run that was itself a repeat.
    virtual void record_request(std::string_view service, double weight, double repeat_share) = 0;
    /// Records an attempt that failed and could be repeated; `rejected` if its target rejected it.
    virtual void record_failure(std::string_view service, bool rejected) = 0;
    /// Uses one retry at the service; false when the budget does not allow it.
    virtual boost::asio::awaitable<bool> use_one(std::string service) = 0;
    /// Ratio of the retries that all requests for the service would need to those that the budget allows, if
    /// that is a reason to admit fewer requests; otherwise 0.
    [[nodiscard]] virtual double pressure(std::string_view service) const = 0;
};

} // namespace dandelionmount

#endif
