#ifndef DANDELIONMOUNT_STANDINS_TOPIC_STORE_H
#define DANDELIONMOUNT_STANDINS_TOPIC_STORE_H

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace standins {

/// In-memory topic of the stand-in record store: the records in order, and the newest record of each key,
/// which is kept when the history is trimmed.
class topic_store {
public:
    struct newest_record {
        std::string value;
        std::uint64_t offset{0};
    };

    /// Appends raw records, each prefixed with its length, all or none. Returns the offset of the first;
    /// nullopt when the records are malformed or the topic does not end at `at`.
    std::optional<std::uint64_t> append(std::string_view records, std::optional<std::uint64_t> at);
    /// Raw records from offset `from` on, each prefixed with its length; `from` is at least first().
    [[nodiscard]] std::string read(std::uint64_t from) const;
    /// Offset of the oldest record in the history.
    [[nodiscard]] std::uint64_t first() const { return first_; }
    /// Offset that the next record gets.
    [[nodiscard]] std::uint64_t end() const { return first_ + records_.size(); }
    /// Newest record of each key.
    [[nodiscard]] const std::map<std::string, newest_record>& newest() const { return newest_; }
    /// Drops the history; the newest record of each key stays.
    void trim();

private:
    void update_newest(std::string_view content, std::uint64_t offset);

    std::uint64_t first_{0};
    std::deque<std::string> records_;
    std::map<std::string, newest_record> newest_;
};

} // namespace standins

#endif
