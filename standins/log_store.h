#ifndef DANDELIONMOUNT_STANDINS_LOG_STORE_H
#define DANDELIONMOUNT_STANDINS_LOG_STORE_H

#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <vector>

namespace standins {

/// In-memory append-only log that keeps only the newest records.
class log_store {
public:
    /// `retention` is the number of records kept.
    explicit log_store(std::size_t retention) : retention_(retention) {}
    /// Appends a record and returns its offset.
    std::uint64_t append(std::string record);
    /// At most `max_records` records from offset `from` on.
    [[nodiscard]] std::vector<std::string> read(std::uint64_t from, std::size_t max_records) const;
    /// Offset of the oldest record kept.
    [[nodiscard]] std::uint64_t first() const { return first_; }
    /// Offset that the next record gets.
    [[nodiscard]] std::uint64_t next() const { return first_ + records_.size(); }
    void set_retention(std::size_t retention);

private:
    void trim();

    std::size_t retention_;
    std::uint64_t first_{0};
    std::deque<std::string> records_;
};

} // namespace standins

#endif
