#ifndef DANDELIONMOUNT_REQUEST_LOCAL_RETRY_LIMITER_H
#define DANDELIONMOUNT_REQUEST_LOCAL_RETRY_LIMITER_H

#include "dandelionmount/process/configuration_store.h"
#include "dandelionmount/request/retry_allowance.h"
#include "dandelionmount/process/retry_limiter.h"

#include <map>
#include <string>

namespace dandelionmount {

/// Retry budgets that each host keeps for itself, as shares of its own first attempts.
class local_retry_limiter : public retry_limiter {
public:
    /// `configuration` must outlive this object.
    explicit local_retry_limiter(const configuration_store& configuration) : configuration_(configuration) {}

    void record_request(std::string_view service, double weight, double repeat_share) override;
    void record_failure(std::string_view /*service*/, bool /*rejected*/) override {}
    boost::asio::awaitable<bool> use_one(std::string service) override;
    [[nodiscard]] double pressure(std::string_view /*service*/) const override { return 0; }

private:
    const configuration_store& configuration_;
    std::map<std::string, retry_budget, std::less<>> budgets_;
};

} // namespace dandelionmount

#endif
