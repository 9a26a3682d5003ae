#ifndef DANDELIONMOUNT_PROCESS_LOG_READER_H
#define DANDELIONMOUNT_PROCESS_LOG_READER_H

#include "dandelionmount/process/claim_service.h"
#include "dandelionmount/process/configuration_store.h"
#include "dandelionmount/process/log_client.h"
#include "dandelionmount/process/membership.h"
#include "dandelionmount/process/metrics.h"
#include "dandelionmount/process/peer_directory.h"
#include "dandelionmount/process/slot_lease.h"

#include <map>
#include <random>
#include <string>

namespace dandelionmount {

/// Hosts of each zone that read the log; the others hear from their peers.
constexpr std::size_t log_readers_of_zone = 2;

/// What a log reader needs of its process. All of it outlives the reader.
struct log_reader_context {
    boost::asio::any_io_executor executor;
    const time_source& time;
    metrics& counters;
    platform_log& log;
    configuration_store& configuration;
    const member_table& members;
    peer_directory& peers;
    slot_lease& lease;
    claim_service& claims;
    std::mt19937_64& random;
};

/// Keeps the configuration up to date from the log and from peers, and appends this process's records.
class log_reader {
public:
    explicit log_reader(log_reader_context context);

    void start();
    void stop() { stopped_ = true; }
    /// Fetches the state of a host that has a later one.
    void fetch_from(const std::string& host);
    /// The records or the state that another host asks for.
    [[nodiscard]] wire::state_reply answer(const wire::state_request& ask) const;
    /// Appends a change until the log's order has decided on it; an answer that is lost does no harm.
    void submit(std::string change_id, std::string record);
    /// Whether a submitted change is still on its way.
    [[nodiscard]] bool is_submitted(const std::string& change_id) const {
        return submitted_.contains(change_id);
    }
    /// When the log was last read.
    [[nodiscard]] steady_time last_read() const { return last_read_; }

private:
    boost::asio::awaitable<void> read_log();
    boost::asio::awaitable<bool> read_once();
    boost::asio::awaitable<bool> start_from_snapshot(const log_records& kept);
    boost::asio::awaitable<void> claim_slot();
    boost::asio::awaitable<void> keep_records();
    boost::asio::awaitable<void> append_change(std::string change_id);
    boost::asio::awaitable<void> fetch_state(std::string host);
    void note_holder(steady_time read_began);
    [[nodiscard]] bool reads_log() const;
    [[nodiscard]] bool is_first_of_fleet() const;
    [[nodiscard]] std::uint64_t slot_holder_incarnation() const;

    log_reader_context context_;
    std::map<std::string, std::string> submitted_;
    steady_time last_read_;
    steady_time last_snapshot_;
    bool fetching_{false};
    bool stopped_{false};
    bool caught_up_{false};
};

} // namespace dandelionmount

#endif
