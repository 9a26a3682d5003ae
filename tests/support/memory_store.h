#ifndef DANDELIONMOUNT_TESTS_SUPPORT_MEMORY_STORE_H
#define DANDELIONMOUNT_TESTS_SUPPORT_MEMORY_STORE_H

#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/process/record_store.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace tests {

/// In-memory store of one topic that can refuse calls, lose answers and drop its history.
class memory_store : public dandelionmount::record_store {
public:
    explicit memory_store(boost::asio::io_context& io) : io_(io) {}

    boost::asio::awaitable<dandelionmount::result<dandelionmount::topic_records>>
    read_newest(std::string) override {
        ++calls;
        if (refuses) {
            co_return dandelionmount::failure{"status 503"};
        }
        dandelionmount::topic_records found;
        for (const auto& [key, value] : values) {
            found.records.push_back({key, value});
        }
        found.next = end();
        found.end = end();
        found.era = era;
        co_return found;
    }

    boost::asio::awaitable<dandelionmount::result<dandelionmount::topic_records>>
    read(std::string, std::uint64_t from, dandelionmount::duration) override {
        ++calls;
        co_await dandelionmount::sleep_for(io_.get_executor(), std::chrono::milliseconds(2));
        if (refuses) {
            co_return dandelionmount::failure{"status 503"};
        }
        dandelionmount::topic_records found;
        found.trimmed = from < first || from > end();
        found.era = era;
        found.end = end();
        found.next = from;
        while (!found.trimmed && found.next < end() && found.records.size() < max_records_per_read) {
            found.records.push_back(log[found.next - first]);
            ++found.next;
        }
        co_return found;
    }

    boost::asio::awaitable<dandelionmount::result<dandelionmount::append_outcome>>
    append(std::string, dandelionmount::keyed_record record, std::optional<std::uint64_t> at) override {
        ++appends;
        const auto delay = std::exchange(next_append_delay, {});
        if (delay > dandelionmount::duration{0}) {
            co_await dandelionmount::sleep_for(io_.get_executor(), delay);
        }
        if (refuses) {
            co_return dandelionmount::failure{"status 503"};
        }
        if (at && *at != end()) {
            co_return dandelionmount::append_outcome::condition_failed;
        }
        if (record.value) {
            put(record.key, *record.value);
        } else {
            remove(record.key);
        }
        if (loses_answers) {
            co_return dandelionmount::failure{"no answer"};
        }
        co_return dandelionmount::append_outcome::appended;
    }

    void put(const std::string& key, const std::string& value) {
        values[key] = value;
        log.push_back({key, value});
    }

    void remove(const std::string& key) {
        values.erase(key);
        log.push_back({key, std::nullopt});
    }

    void trim() {
        first = end();
        log.clear();
    }

    struct copy {
        std::map<std::string, std::string> values;
        std::vector<dandelionmount::keyed_record> log;
        std::uint64_t first{0};
    };
    [[nodiscard]] copy take_copy() const { return {values, log, first}; }
    /// Comes back from an older copy, in a later era.
    void restore(const copy& older) {
        values = older.values;
        log = older.log;
        first = older.first;
        ++era;
    }

    [[nodiscard]] std::uint64_t end() const { return first + log.size(); }

    std::map<std::string, std::string> values;
    std::vector<dandelionmount::keyed_record> log;
    std::uint64_t first{0};
    std::uint64_t era{1};
    bool refuses{false};
    std::size_t max_records_per_read{100};
    int calls{0};
    int appends{0};
    /// How long the next append takes; later ones overtake it.
    dandelionmount::duration next_append_delay{};
    /// Appends take effect but are answered with a failure.
    bool loses_answers{false};

private:
    boost::asio::io_context& io_;
};

} // namespace tests

#endif
