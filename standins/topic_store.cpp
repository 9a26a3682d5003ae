#include "standins/topic_store.h"

#include <vector>

namespace standins {

namespace {

constexpr std::size_t length_bytes = 4;
constexpr unsigned bits_per_byte = 8;

std::size_t decode_length(std::string_view bytes) {
    std::size_t value = 0;
    for (const char byte : bytes.substr(0, length_bytes)) {
        value = value << bits_per_byte | static_cast<unsigned char>(byte);
    }
    return value;
}

} // namespace

std::optional<std::uint64_t> topic_store::append(std::string_view records, std::optional<std::uint64_t> at) {
    if (at && *at != end()) {
        return std::nullopt;
    }
    std::vector<std::string> parsed;
    while (!records.empty()) {
        const std::size_t length = records.size() < length_bytes ? records.size() : decode_length(records);
        if (records.size() < length_bytes + length || length == 0) {
            return std::nullopt;
        }
        parsed.emplace_back(records.substr(0, length_bytes + length));
        records.remove_prefix(length_bytes + length);
    }
    const std::uint64_t offset = end();
    for (auto& record : parsed) {
        update_newest(std::string_view(record).substr(length_bytes), end());
        records_.push_back(std::move(record));
    }
    return offset;
}

// The content is the length of the key in one byte, the key and the value; an empty value deletes the key.
void topic_store::update_newest(std::string_view content, std::uint64_t offset) {
    const std::size_t key_bytes = static_cast<unsigned char>(content.front());
    const std::string key(content.substr(1, key_bytes));
    const std::string value(content.size() > 1 + key_bytes ? content.substr(1 + key_bytes) : "");
    if (value.empty()) {
        newest_.erase(key);
    } else {
        newest_[key] = {value, offset};
    }
}

std::string topic_store::read(std::uint64_t from) const {
    std::string bytes;
    for (std::uint64_t offset = from; offset < end(); ++offset) {
        bytes += records_[offset - first_];
    }
    return bytes;
}

void topic_store::trim() {
    first_ = end();
    records_.clear();
}

} // namespace standins
