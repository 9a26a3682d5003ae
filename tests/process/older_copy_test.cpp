#include "dandelionmount/process/host_record.h"
#include "tests/support/seed.h"
#include "tests/support/store_fleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <iterator>
#include <rapidcheck/Gen.h>
#include <rapidcheck/gen/Arbitrary.h>
#include <rapidcheck/gen/Container.h>
#include <rapidcheck/gen/Numeric.h>
#include <rapidcheck/gen/Tuple.h>
#include <sstream>

// Random orders of writes, returns of the store from older copies, restarts, stops, and cuts, against what
// must hold through them.

namespace dm = dandelionmount;
namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr int host_count = 4;
constexpr dm::duration order_length = std::chrono::seconds(5);
// From the end of the faults until the fleet agrees. Hosts that the store has lost stay listed for six
// seconds.
constexpr dm::duration settle_time = std::chrono::seconds(9);
constexpr dm::duration removal_delay = milliseconds(1500);
constexpr dm::duration check_interval = milliseconds(25);
// Time in which a host that starts has read all records, and in which the others read a new one.
constexpr dm::duration join_time = milliseconds(1500);
constexpr dm::duration read_time = milliseconds(1500);
constexpr std::size_t orders_at_once = 500;
// How long a host may rely on its version after it could have learnt of a later one: reports, the time to
// read that version, and the time for which a proof counts.
constexpr dm::duration max_reliance =
    3 * tests::store_fleet::report_interval + milliseconds(500) + tests::store_fleet::key_validity;

enum class step_kind {
    configure,
    older_copy,
    older_copy_after_configure,
    kill,
    start,
    stop,
    change,
    refuse,
    isolate,
    pause
};

struct step {
    int at_ms{0};
    step_kind kind{step_kind::configure};
    int host{0};
    /// Age of the copy, or how long a fault lasts.
    int for_ms{0};
};

using order = std::vector<step>;

rc::Gen<step> generate_step() {
    return rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, 5000), rc::gen::inRange(0, 10),
                                       rc::gen::inRange(0, host_count), rc::gen::inRange(50, 3000)),
                        [](const std::tuple<int, int, int, int>& drawn) {
                            const auto [at_ms, kind, host, for_ms] = drawn;
                            return step{at_ms, static_cast<step_kind>(kind), host, for_ms};
                        });
}

order generate_order(std::uint64_t seed) {
    constexpr int size = 100;
    const auto generator = rc::gen::container<order>(14, generate_step());
    order steps = generator(rc::Random(seed), size).value();
    std::sort(steps.begin(), steps.end(),
              [](const step& left, const step& right) { return left.at_ms < right.at_ms; });
    return steps;
}

std::string name_of(int host) {
    return "h" + std::to_string(host);
}

// One order, played on a fleet of its own.
class order_run {
public:
    order_run(asio::io_context& io, std::uint64_t seed)
        : io_(io), seed_(seed), random_(seed), fleet_(io, seed), order_(generate_order(seed)) {}

    asio::awaitable<void> run() {
        for (int host = 0; host < host_count; ++host) {
            fleet_.start_host(name_of(host));
        }
        configure();
        // A third of the fleets meet the first fault while they start.
        co_await wait(milliseconds(random_() % 3 == 0 ? 100 : 1500));
        const auto start = time_.now();
        asio::co_spawn(io_, check_until_end(), asio::detached);
        for (const auto& current : order_) {
            const auto due = start + milliseconds(current.at_ms);
            co_await wait(std::max(dm::duration{0}, due - time_.now()));
            apply(current);
        }
        co_await wait(std::max(dm::duration{0}, start + order_length - time_.now()));
        co_await settle();
        check_end();
        is_over_ = true;
    }

    [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
    [[nodiscard]] std::uint64_t seed() const { return seed_; }
    [[nodiscard]] bool is_over() const { return is_over_; }

private:
    asio::awaitable<void> wait(dm::duration by) { co_await dm::sleep_for(io_.get_executor(), by); }

    void report(const std::string& text) {
        if (violations_.size() < 3) {
            violations_.push_back(text);
        }
    }

    void configure() {
        written_version_ += 1 + random_() % 3;
        write_configuration();
    }

    // The operator writes until the store acknowledges.
    void write_configuration() {
        asio::co_spawn(io_, write_until_acknowledged(written_version_), asio::detached);
    }

    asio::awaitable<void> write_until_acknowledged(std::uint64_t version) {
        while (version == written_version_) {
            auto& topic = fleet_.store.configuration;
            dm::keyed_record record{"document", std::to_string(version)};
            const auto outcome = co_await topic.append("configuration", std::move(record), std::nullopt);
            if (outcome) {
                stored_since_ = time_.now();
                stored_version_ = version;
                co_return;
            }
            co_await wait(milliseconds(20));
        }
    }

    void apply(const step& current) {
        const std::string host = name_of(current.host);
        switch (current.kind) {
        case step_kind::configure:
            configure();
            break;
        case step_kind::older_copy_after_configure:
            configure();
            [[fallthrough]];
        case step_kind::older_copy:
            asio::co_spawn(io_, come_back_from_older_copy(milliseconds(current.for_ms)), asio::detached);
            break;
        case step_kind::kill:
            fleet_.kill_host(host);
            break;
        case step_kind::start:
            if (fleet_.find(host) == nullptr) {
                left_at_.erase(host);
            }
            fleet_.start_host(host);
            break;
        case step_kind::stop:
            asio::co_spawn(io_, stop(host), asio::detached);
            break;
        case step_kind::change:
            if (auto* process = fleet_.find(host); process != nullptr) {
                process->members.self.set_target_slots(process->members.self.target_slots() + 1);
                process->registry.publish();
            }
            break;
        case step_kind::refuse:
        case step_kind::isolate:
        case step_kind::pause:
            asio::co_spawn(io_, disturb(host, current), asio::detached);
            break;
        }
    }

    asio::awaitable<void> stop(std::string host) {
        ++stops_;
        const auto* process = fleet_.find(host);
        co_await fleet_.stop_host(host);
        if (process != nullptr && process->registry.has_left()) {
            left_at_[host] = time_.now();
        }
        --stops_;
    }

    asio::awaitable<void> disturb(std::string host, step current) {
        auto* process = fleet_.find(host);
        if (process == nullptr) {
            co_return;
        }
        const bool is_refused = current.kind != step_kind::isolate;
        const bool is_isolated = current.kind != step_kind::refuse;
        process->store.is_refused |= is_refused;
        process->is_isolated |= is_isolated;
        co_await wait(milliseconds(current.for_ms));
        process->store.is_refused &= !is_refused || !process->is_running;
        process->is_isolated &= !is_isolated;
    }

    // The store is away for a moment. The operator writes again what is lost.
    asio::awaitable<void> come_back_from_older_copy(dm::duration age) {
        if (is_away_ || is_settling_) {
            co_return;
        }
        is_away_ = true;
        fleet_.store.set_down(true);
        stored_version_ = 0;
        co_await wait(milliseconds(random_() % 300));
        restored_at_.push_back(time_.now());
        fleet_.store.restore(age);
        fleet_.store.set_down(false);
        co_await wait(milliseconds(random_() % 500));
        is_away_ = false;
        write_configuration();
    }

    asio::awaitable<void> settle() {
        is_settling_ = true;
        while (is_away_ || stops_ > 0) {
            co_await wait(milliseconds(20));
        }
        for (auto* process : fleet_.running()) {
            process->store.is_refused = false;
            process->is_isolated = false;
        }
        if (fleet_.running().empty()) {
            fleet_.start_host(name_of(0));
        }
        configure();
        co_await wait(removal_delay);
        for (int host = 0; host < host_count; ++host) {
            if (fleet_.find(name_of(host)) == nullptr && !must_stay_away(name_of(host))) {
                auto* remover = fleet_.running().front();
                co_await remover->registry.remove(name_of(host));
            }
        }
        co_await wait(settle_time - removal_delay);
    }

    // Whether the host has left, and a host that is still there has had the time to read so each time before
    // the store came back from an older copy. Other hosts that are gone are removed once they are found
    // unreachable.
    [[nodiscard]] bool must_stay_away(const std::string& host) const {
        const auto left = left_at_.find(host);
        if (left == left_at_.end()) {
            return false;
        }
        const auto is_witness = [&](const tests::host_process* process) {
            const auto since = undisturbed_since_.find(process);
            return since != undisturbed_since_.end() && since->second + join_time < left->second;
        };
        const auto is_early = [&](dm::steady_time restored) {
            return restored > left->second - read_time && restored < left->second + read_time;
        };
        const auto running = fleet_.running();
        return std::any_of(running.begin(), running.end(), is_witness) &&
               std::none_of(restored_at_.begin(), restored_at_.end(), is_early);
    }

    asio::awaitable<void> check_until_end() {
        int round = 0;
        while (!is_over_) {
            if (!is_away_) {
                fleet_.store.take_copy();
            }
            if (++round % 4 == 0) {
                fleet_.exchange_reports();
            }
            if (round % 40 == 0) {
                fleet_.publish();
            }
            check_versions();
            co_await wait(check_interval);
        }
    }

    // A withdrawn key is not accepted once the store has had the withdrawal for the time allowed, nor is an
    // earlier version put in force.
    void check_versions() {
        const auto now = time_.now();
        const bool is_bound = stored_version_ != 0 &&
                              now - stored_since_ > tests::store_fleet::key_validity + milliseconds(100);
        for (auto* process : fleet_.running()) {
            auto& seen = seen_versions_[process];
            if (process->version() < seen) {
                report(process->name() + " went back from version " + std::to_string(seen));
            }
            seen = process->version();
            if (is_bound && process->configuration.is_fresh() && process->version() < stored_version_) {
                report(process->name() + " accepts keys of version " + std::to_string(process->version()) +
                       ", the store has " + std::to_string(stored_version_));
            }
            check_against_readers(*process, now);
        }
    }

    // A host that is connected to one with a later version does not rely on its own for longer than allowed.
    void check_against_readers(const tests::host_process& process, dm::steady_time now) {
        for (const auto& name : fleet_.readers(process)) {
            const auto* reader = fleet_.find(name);
            const bool lacks_version = reader != nullptr && process.version() < reader->version();
            auto& since = lacks_version_since_[{&process, name}];
            since = !lacks_version ? std::nullopt : std::optional(since.value_or(now));
            if (since && now - *since > max_reliance && process.configuration.is_fresh()) {
                report(process.name() + " relies on version " + std::to_string(process.version()) + ", " +
                       name + " has " + std::to_string(reader->version()));
            }
        }
    }

    void check_end() {
        std::set<std::string> alive;
        for (const auto* process : fleet_.running()) {
            alive.insert(process->name());
        }
        const std::string secret = fleet_.running().front()->registry.secret();
        for (const auto* process : fleet_.running()) {
            check_hosts(*process, alive);
            if (process->registry.secret() != secret) {
                report(process->name() + " has another secret");
            }
            if (process->version() != written_version_ || !process->configuration.is_fresh()) {
                report(process->name() + " has version " + std::to_string(process->version()) + " of " +
                       std::to_string(written_version_) +
                       (process->configuration.is_fresh() ? "" : ", not fresh"));
            }
            if (process->source.follower().era() != fleet_.store.hosts.era) {
                report(process->name() + " reads an earlier era");
            }
        }
        if (stored("secret") != secret) {
            report("the store has another secret");
        }
        for (int host = 0; host < host_count; ++host) {
            if (!alive.contains(name_of(host)) && stored("host/" + name_of(host)) != "") {
                report("the store has the record of " + name_of(host) + ", which is gone");
            }
        }
    }

    void check_hosts(const tests::host_process& process, const std::set<std::string>& alive) {
        std::set<std::string> listed{process.name()};
        for (const auto& [name, record] : process.members.others) {
            listed.insert(name);
        }
        if (listed != alive) {
            report(process.name() + " lists" + join(listed) + ", alive are" + join(alive));
        }
        if (stored("host/" + process.name()) != dm::write_host_record(process.members.self)) {
            report("the store lacks the record of " + process.name());
        }
    }

    [[nodiscard]] std::string stored(const std::string& key) const {
        const auto& values = fleet_.store.hosts.values;
        const auto found = values.find(key);
        return found == values.end() ? "" : found->second;
    }

    [[nodiscard]] static std::string join(const std::set<std::string>& names) {
        std::string text;
        for (const auto& name : names) {
            text += " " + name;
        }
        return text;
    }

    asio::io_context& io_;
    std::uint64_t seed_;
    std::mt19937_64 random_;
    dm::system_time_source time_;
    tests::store_fleet fleet_;
    order order_;
    /// Version that the operator has written last, and the one in the store since a time; 0 if the store has
    /// lost it.
    std::uint64_t written_version_{0};
    std::uint64_t stored_version_{0};
    dm::steady_time stored_since_;
    bool is_away_{false};
    /// Stops that are in progress.
    int stops_{0};
    bool is_settling_{false};
    bool is_over_{false};
    std::vector<dm::steady_time> restored_at_;
    /// When hosts have left, by the store's answer.
    std::map<std::string, dm::steady_time> left_at_;
    /// Since when each process has been in contact with the store and other hosts.
    std::map<const tests::host_process*, dm::steady_time> undisturbed_since_;
    std::map<const tests::host_process*, std::uint64_t> seen_versions_;
    /// By process and reader.
    std::map<std::pair<const tests::host_process*, std::string>, std::optional<dm::steady_time>>
        lacks_version_since_;
    std::vector<std::string> violations_;
};

// Numbers of hosts, and the calls per second that the store of such a deployment takes.
struct store_rate {
    int hosts;
    int reads_per_second;
    int writes_per_second;
};
constexpr store_rate store_rates[] = {{12, 2000, 400}, {90, 6000, 1200}, {195, 16000, 3200}};

struct return_of_store {
    /// Until all hosts list each other, and the store has all their records.
    dm::duration listed_after{};
    int reads{0};
    int writes{0};
    /// In one second.
    int most_reads{0};
    int most_writes{0};
};

// A fleet that works on while its store comes back from an older copy.
class returning_fleet {
public:
    explicit returning_fleet(int hosts) : hosts_(hosts), fleet_(io_, 1) {}

    return_of_store come_back() {
        fleet_.store.configuration.put("document", "1");
        const int late = hosts_ / 10;
        start(0, hosts_ - late);
        run(std::chrono::seconds(4));
        fleet_.store.take_copy();
        start(hosts_ - late, hosts_);
        run(std::chrono::seconds(5));
        REQUIRE(lists_all());
        fleet_.store.set_down(true);
        run(milliseconds(300));
        fleet_.store.restore(std::chrono::seconds(3));
        fleet_.store.set_down(false);
        return measure();
    }

private:
    void start(int first, int end) {
        for (int host = first; host < end; ++host) {
            fleet_.start_host(name_of(host));
        }
    }

    void run(dm::duration by) {
        const auto end = time_.now() + by;
        while (time_.now() < end) {
            io_.run_for(tests::store_fleet::report_interval);
            fleet_.exchange_reports();
            if (++rounds_ % 10 == 0) {
                fleet_.publish();
            }
        }
    }

    [[nodiscard]] bool lists_all() const {
        const auto processes = fleet_.running();
        return std::all_of(processes.begin(), processes.end(), [this](tests::host_process* process) {
            return process->members.others.size() + 1 == static_cast<std::size_t>(hosts_) &&
                   process->registry.follower().era() == fleet_.store.hosts.era &&
                   process->registry.follower().known_end() &&
                   fleet_.store.hosts.values.contains("host/" + process->name());
        });
    }

    [[nodiscard]] std::pair<int, int> count_calls() const {
        std::pair<int, int> reads_and_writes;
        for (const auto* process : fleet_.running()) {
            reads_and_writes.first += process->store.calls - process->store.appends;
            reads_and_writes.second += process->store.appends;
        }
        return reads_and_writes;
    }

    return_of_store measure() {
        return_of_store found;
        const auto restored_at = time_.now();
        bool has_listed = false;
        for (int second = 0; second < 10; ++second) {
            const auto [reads, writes] = count_calls();
            while (time_.now() - restored_at < std::chrono::seconds(second + 1)) {
                run(tests::store_fleet::report_interval);
                if (!has_listed && lists_all()) {
                    has_listed = true;
                    found.listed_after = time_.now() - restored_at;
                }
            }
            const auto [reads_after, writes_after] = count_calls();
            found.reads += reads_after - reads;
            found.writes += writes_after - writes;
            found.most_reads = std::max(found.most_reads, reads_after - reads);
            found.most_writes = std::max(found.most_writes, writes_after - writes);
        }
        if (!has_listed) {
            found.listed_after = dm::duration::max();
        }
        return found;
    }

    int hosts_;
    asio::io_context io_{1};
    dm::system_time_source time_;
    tests::store_fleet fleet_;
    int rounds_{0};
};

} // namespace

TEST_SUITE_BEGIN("older_copy");

TEST_CASE("No withdrawn key, dead host or other secret comes back with an older copy of the store") {
    const auto range = tests::seeds(150);
    std::size_t failed = 0;
    for (std::uint64_t done = 0; done < range.count;) {
        asio::io_context io{1};
        std::vector<std::unique_ptr<order_run>> runs;
        for (; runs.size() < orders_at_once && done < range.count; ++done) {
            runs.push_back(std::make_unique<order_run>(io, range.first + done));
            asio::co_spawn(io, runs.back()->run(), asio::detached);
        }
        const auto is_over = [](const auto& run) { return run->is_over(); };
        while (!std::all_of(runs.begin(), runs.end(), is_over)) {
            io.run_for(check_interval);
        }
        for (const auto& run : runs) {
            failed += run->violations().empty() ? 0 : 1;
            for (const auto& violation : run->violations()) {
                MESSAGE("seed " << run->seed() << ": " << violation);
            }
        }
    }
    CHECK(failed == 0);
}

// Guards against storms of calls when all hosts learn in the same second that the store has lost records, and
// against hosts that stay unknown for long.
TEST_CASE("Hosts find each other again within two seconds, with few calls of the store") {
    for (const auto& [hosts, reads_per_second, writes_per_second] : store_rates) {
        CAPTURE(hosts);
        const auto found = returning_fleet(hosts).come_back();
        MESSAGE(hosts << " hosts: listed again after " << dm::to_milliseconds(found.listed_after) << " ms, "
                      << found.reads << " reads and " << found.writes << " writes in 10 s, at most "
                      << found.most_reads << " and " << found.most_writes << " in a second");
        CHECK(found.listed_after < std::chrono::seconds(2));
        CHECK(found.most_reads <= reads_per_second);
        CHECK(found.most_writes <= writes_per_second);
        // Those that joined after the copy was taken, once each.
        CHECK(found.writes <= hosts / 10);
    }
}

TEST_SUITE_END();
