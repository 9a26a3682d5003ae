#include "dandelionmount/request/local_retry_limiter.h"

namespace dandelionmount {

namespace asio = boost::asio;

void local_retry_limiter::record_request(std::string_view service, double /*weight*/,
                                         double /*repeat_share*/) {
    const auto* settings = find_service(configuration_.current(), service);
    const double share = settings == nullptr ? 0 : settings->retry_budget;
    budgets_[std::string(service)].record_first_attempt(share);
}

asio::awaitable<bool> local_retry_limiter::use_one(std::string service) {
    co_return budgets_[service].use_one();
}

} // namespace dandelionmount
