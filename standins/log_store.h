#ifndef DANDELIONMOUNT_STANDINS_LOG_STORE_H
#define DANDELIONMOUNT_STANDINS_LOG_STORE_H

#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <vector>

namespace standins {

/// The records of the stand-in for the platform's append-only log; keeps only the newest.
class log_store {
public:
    /// `retention` is the number of records kept.
    explicit log_store(std::size_t retention) : retention_(retention) {}
    /// Appends a record and returns its offset.
    std::uint64_t append(std::string record);
    /// At most `max_records` records from offset `from` on.
    [[nodiscard]] std::vector<std::string> read(std::uint64_t from, std::size_t max_records) const;
    [[nodiscard]] std::uint64_t first() const { return first_; }
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
