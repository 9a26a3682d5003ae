#include "dandelionmount/process/crash_monitor.h"

#include "dandelionmount/process/crypto.h"
#include "dandelionmount/process/logging.h"
#include "dandelionmount/process/rendezvous.h"

#include <boost/asio/post.hpp>

namespace dandelionmount {

namespace {

// Of the report once a second, about 2 KB. A crash with more running requests is reported to all at once.
constexpr std::size_t max_exchanged_requests = 32;

} // namespace

std::vector<std::string> crash_monitor::other_hosts() const {
    const auto found = context_.members.hosts_by_service.find(context_.members.self.service());
    if (found == context_.members.hosts_by_service.end()) {
        return {};
    }
    return {found->second.begin(), found->second.end()};
}

// Each host that wants to make a trial sees about the same hosts, so nearly always one host is chosen.
crash_verdict crash_monitor::assess(std::string_view fingerprint) const {
    crash_verdict verdict = dandelionmount::assess(table_, fingerprint, context_.time.now());
    if (verdict.trial_only && !verdict.quarantined) {
        std::vector<std::string> hosts = other_hosts();
        hosts.push_back(context_.members.self.host());
        const std::string chosen = rendezvous_choose(std::string(fingerprint), hosts, 1).front();
        verdict.quarantined = chosen != context_.members.self.host();
    }
    return verdict;
}

// Runs that were lost together share a crash: all that had started when it was noticed.
std::uint64_t crash_monitor::record_crash(const wire::forward_request& request, steady_time started_at) {
    const auto now = context_.time.now();
    if (latest_crash_ == 0 || started_at > latest_crash_at_) {
        latest_crash_ = random_number();
        latest_crash_at_ = now;
        context_.counters.count(event::target_crashes);
        log_event(log_level::warning, "target crashed", {{"crash", std::to_string(latest_crash_)}});
    }
    const std::string fingerprint = request_fingerprint(request);
    dandelionmount::record_crash(table_, fingerprint, latest_crash_, now);
    const crash_verdict verdict = dandelionmount::assess(table_, fingerprint, now);
    log_event(verdict.quarantined ? log_level::warning : log_level::info,
              verdict.quarantined ? "request quarantined" : "request was running as the target crashed",
              {{"id", request.id()},
               {"fingerprint", fingerprint},
               {"account", request.account()},
               {"route", request.route()},
               {"crash", std::to_string(latest_crash_)},
               {"crashes", std::to_string(verdict.crashes)}});
    changed_.insert(fingerprint);
    report_changes_soon();
    return latest_crash_;
}

void crash_monitor::record_earlier_crash(const std::string& fingerprint, std::uint64_t crash) {
    dandelionmount::record_crash(table_, fingerprint, crash, context_.time.now());
}

void crash_monitor::record_response(const std::string& fingerprint) {
    if (dandelionmount::record_response(table_, fingerprint, context_.time.now())) {
        log_event(log_level::info, "request cleared by its response", {{"fingerprint", fingerprint}});
        changed_.insert(fingerprint);
        report_changes_soon();
    }
}

void crash_monitor::handle(const wire::crash_report& report) {
    merge(table_, report, context_.time.now());
}

// All runs that a crash has ended are reported together.
void crash_monitor::report_changes_soon() {
    if (changed_.size() == 1) {
        boost::asio::post(context_.executor, [this] { report_changes(); });
    }
}

void crash_monitor::report_changes() {
    wire::crash_report report;
    for (const auto& fingerprint : changed_) {
        const auto found = table_.requests.find(fingerprint);
        if (found != table_.requests.end()) {
            write_evidence(fingerprint, found->second, context_.time.now(), *report.add_requests());
        }
    }
    changed_.clear();
    for (const auto& host : other_hosts()) {
        send(host, report);
    }
}

void crash_monitor::exchange() {
    remove_expired(table_, context_.time.now());
    const auto hosts = other_hosts();
    if (is_empty() || hosts.empty()) {
        return;
    }
    std::uniform_int_distribution<std::size_t> draw(0, hosts.size() - 1);
    send(hosts[draw(context_.random)], make_report(table_, max_exchanged_requests, context_.time.now()));
}

void crash_monitor::send(const std::string& host, const wire::crash_report& report) {
    const auto link = context_.peers.is_connected(host) ? context_.peers.find(host) : nullptr;
    if (link != nullptr) {
        link->send_crash_report(report);
    }
}

} // namespace dandelionmount
