#ifndef DANDELIONMOUNT_STANDINS_TOPIC_STORE_H
#define DANDELIONMOUNT_STANDINS_TOPIC_STORE_H

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace standins {

/// One topic of the stand-in for the platform's record store: the records in order, and the newest record of
/// each key, which is kept when the history is trimmed.
class topic_store {
public:
    struct newest_record {
        std::string value;
        std::uint64_t offset{0};
    };

    /// Appends raw records, each prefixed with its length, all or none. Returns the offset of the first;
    /// empty when the records are malformed or the topic does not end at `at`.
    std::optional<std::uint64_t> append(std::string_view records, std::optional<std::uint64_t> at);
    /// Raw records from an offset on, each prefixed with its length.
    [[nodiscard]] std::string read(std::uint64_t from) const;
    [[nodiscard]] std::uint64_t first() const { return first_; }
    [[nodiscard]] std::uint64_t end() const { return first_ + records_.size(); }
    [[nodiscard]] const std::map<std::string, newest_record>& newest() const { return newest_; }
    /// Drops the history; the newest record of each key stays.
    void trim();

private:
    void record_newest(std::string_view content, std::uint64_t offset);

    std::uint64_t first_{0};
    std::deque<std::string> records_;
    std::map<std::string, newest_record> newest_;
};

} // namespace standins

#endif
