#include "standins/log_store.h"

#include <algorithm>

namespace standins {

std::uint64_t log_store::append(std::string record) {
    const std::uint64_t offset = next();
    records_.push_back(std::move(record));
    trim();
    return offset;
}

std::vector<std::string> log_store::read(std::uint64_t from, std::size_t max_records) const {
    std::vector<std::string> found;
    for (std::uint64_t offset = std::max(from, first_); offset < next() && found.size() < max_records;
         ++offset) {
        found.push_back(records_[offset - first_]);
    }
    return found;
}

void log_store::set_retention(std::size_t retention) {
    retention_ = retention;
    trim();
}

void log_store::trim() {
    while (records_.size() > retention_) {
        records_.pop_front();
        ++first_;
    }
}

} // namespace standins
