#ifndef DANDELIONMOUNT_TESTS_SUPPORT_MEMORY_LOG_H
#define DANDELIONMOUNT_TESTS_SUPPORT_MEMORY_LOG_H

#include "dandelionmount/process/log_client.h"
#include "standins/log_store.h"

namespace tests {

/// In-memory platform log with fault injection.
class memory_log : public dandelionmount::platform_log {
public:
    explicit memory_log(std::size_t retention) : store(retention) {}
    boost::asio::awaitable<dandelionmount::result<std::uint64_t>> append(std::string record) override;
    boost::asio::awaitable<dandelionmount::result<dandelionmount::log_records>>
    read(std::uint64_t from, dandelionmount::duration wait) override;

    standins::log_store store;
    /// Fails every call.
    bool down{false};
    /// append() stores the record but fails, as when its response is lost.
    bool drops_responses{false};
    /// Number of records appended.
    std::uint64_t appends{0};
};

} // namespace tests

#endif
