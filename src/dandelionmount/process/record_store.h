#ifndef DANDELIONMOUNT_PROCESS_RECORD_STORE_H
#define DANDELIONMOUNT_PROCESS_RECORD_STORE_H

#include "dandelionmount/process/clock.h"
#include "dandelionmount/process/result.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandelionmount {

/// A record of a topic in which the newest record of each key is kept.
struct keyed_record {
    std::string key;
    /// Nothing when the key was dropped.
    std::optional<std::string> value;
};

/// Records of a topic in their order.
struct topic_records {
    std::vector<keyed_record> records;
    /// Offset from which to read on.
    std::uint64_t next{0};
    /// Where the topic ended; beyond `next` when there was more than one answer holds.
    std::uint64_t end{0};
    /// The records that were asked for are gone; what is newest has to be read as a whole.
    bool trimmed{false};
};

/// What became of an append.
enum class append_outcome { appended, condition_failed };

/// The platform's store: topics of keyed records, which all hosts share and which outlive them.
class record_store {
public:
    record_store() = default;
    record_store(const record_store&) = delete;
    record_store& operator=(const record_store&) = delete;
    virtual ~record_store() = default;

    /// The newest record of each key.
    virtual boost::asio::awaitable<result<topic_records>> read_newest(std::string topic) = 0;
    /// Records from an offset on; waits for one when there is none yet.
    virtual boost::asio::awaitable<result<topic_records>> read(std::string topic, std::uint64_t from,
                                                               duration wait) = 0;
    /// Appends a record; with `at` only if the topic ends there. A failure does not say that the record was
    /// not or will not be written.
    virtual boost::asio::awaitable<result<append_outcome>> append(std::string topic, keyed_record record,
                                                                  std::optional<std::uint64_t> at) = 0;
};

} // namespace dandelionmount

#endif
