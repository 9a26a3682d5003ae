#ifndef DANDELIONMOUNT_PROCESS_LOG_CLIENT_H
#define DANDELIONMOUNT_PROCESS_LOG_CLIENT_H

#include "dandelionmount/process/clock.h"
#include "dandelionmount/process/result.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace dandelionmount {

/// Records returned by the log, and the range that it keeps.
struct log_records {
    /// Offset of the oldest record that is kept.
    std::uint64_t first{0};
    /// Offset that the next record will get.
    std::uint64_t next{0};
    /// Offset of the first of `records`.
    std::uint64_t from{0};
    std::vector<std::string> records;
};

/// Interface to the platform's append-only log. Another platform provides another implementation.
class platform_log {
public:
    platform_log() = default;
    platform_log(const platform_log&) = delete;
    platform_log& operator=(const platform_log&) = delete;
    virtual ~platform_log() = default;
    /// Appends a record and returns its offset. After a failure the record may still have been written.
    virtual boost::asio::awaitable<result<std::uint64_t>> append(std::string record) = 0;
    /// Reads records from an offset on; waits up to `wait` for the first one.
    virtual boost::asio::awaitable<result<log_records>> read(std::uint64_t from, duration wait) = 0;
};

/// Client of the log service, over HTTP with JSON bodies.
class log_client : public platform_log {
public:
    explicit log_client(std::string address);
    boost::asio::awaitable<result<std::uint64_t>> append(std::string record) override;
    boost::asio::awaitable<result<log_records>> read(std::uint64_t from, duration wait) override;

private:
    boost::asio::awaitable<result<std::string>> exchange(std::string method, std::string path,
                                                         std::string body, duration timeout);

    std::string address_;
};

} // namespace dandelionmount

#endif
