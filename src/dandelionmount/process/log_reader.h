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

/// Number of hosts per zone that keep reading the log once they have a configuration and have caught up with
/// the log; the others get its records from their peers.
constexpr std::size_t log_readers_per_zone = 2;

/// Dependencies of a log reader. All of them outlive it.
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

/// Keeps the configuration up to date from the log and from peers, and appends this process's records to the
/// log. Every process has one, but only those chosen as readers poll the log for as long as they run.
class log_reader {
public:
    explicit log_reader(log_reader_context context);

    void start();
    void stop() { stopped_ = true; }
    /// Fetches the state from a host that has a newer one.
    void fetch_from(const std::string& host);
    /// The records, or a snapshot, that another host requests.
    [[nodiscard]] wire::state_reply answer(const wire::state_request& request) const;
    /// Appends a change, repeatedly, until the log shows its outcome. A second copy of the record is
    /// ignored, so a lost response of the log does no harm.
    void submit(std::string change_id, std::string record);
    /// Whether a submitted change is still undecided.
    [[nodiscard]] bool is_submitted(const std::string& change_id) const {
        return submitted_.contains(change_id);
    }
    /// Time of the last successful read of the log.
    [[nodiscard]] steady_time last_read_at() const { return last_read_at_; }

private:
    boost::asio::awaitable<void> read_log();
    boost::asio::awaitable<bool> read_once();
    boost::asio::awaitable<bool> start_from_snapshot(const log_records& page);
    boost::asio::awaitable<void> register_slot_holder();
    boost::asio::awaitable<void> append_due_records();
    boost::asio::awaitable<void> append_change(std::string change_id);
    boost::asio::awaitable<void> fetch_state(std::string host);
    void update_slot_lease(steady_time read_started_at);
    [[nodiscard]] bool is_log_reader() const;
    [[nodiscard]] bool is_log_writer() const;
    [[nodiscard]] std::uint64_t slot_holder_incarnation() const;

    log_reader_context context_;
    std::map<std::string, std::string> submitted_;
    steady_time last_read_at_;
    steady_time last_snapshot_at_;
    bool fetching_{false};
    bool stopped_{false};
    bool caught_up_{false};
};

} // namespace dandelionmount

#endif
