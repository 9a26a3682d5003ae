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

/// A record of a topic that keeps the newest record of each key.
struct keyed_record {
    std::string key;
    /// Empty when the key was removed.
    std::optional<std::string> value;
};

/// Consecutive records of a topic.
struct topic_records {
    std::vector<keyed_record> records;
    /// Era of the store. It rises each time the store comes back from an older copy, after which offsets are
    /// given out again: an offset means something in its era only. 0 if the store names none.
    std::uint64_t era{0};
    /// Offset from which to read on.
    std::uint64_t next{0};
    /// End of the topic; beyond `next` when one answer does not hold all records.
    std::uint64_t end{0};
    /// The requested records are no longer kept, or do not exist yet: read the newest record of each key
    /// instead.
    bool trimmed{false};
};

/// Outcome of an append.
enum class append_outcome { appended, condition_failed };

/// The platform's store: topics of keyed records that all hosts share and that outlive them.
class record_store {
public:
    record_store() = default;
    record_store(const record_store&) = delete;
    record_store& operator=(const record_store&) = delete;
    virtual ~record_store() = default;

    /// The newest record of each key.
    virtual boost::asio::awaitable<result<topic_records>> read_newest(std::string topic) = 0;
    /// Records from an offset on; waits up to `wait` for the first one.
    virtual boost::asio::awaitable<result<topic_records>> read(std::string topic, std::uint64_t from,
                                                               duration wait) = 0;
    /// Appends a record; with `at` only if the topic ends at that offset. After a failure the record may
    /// still have been written, or be written later.
    virtual boost::asio::awaitable<result<append_outcome>> append(std::string topic, keyed_record record,
                                                                  std::optional<std::uint64_t> at) = 0;
};

} // namespace dandelionmount

#endif
