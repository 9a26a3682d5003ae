#include "dandelionmount/process/slot_lease.h"

#include "tests/support/seed.h"

#include <doctest/doctest.h>
#include <functional>
#include <memory>
#include <random>

namespace dm = dandelionmount;

namespace {

constexpr dm::steady_time start{std::chrono::hours(1)};

dm::slot_lease make_lease(std::uint64_t incarnation, std::vector<std::string> voters) {
    dm::slot_lease lease;
    lease.incarnation = incarnation;
    lease.voters = std::move(voters);
    return lease;
}

// Simulates one slot, the processes started in it one after another, its voters and the log. Links are slow
// or cut, and processes pause at any time; earlier processes keep running after a new one has started.
class slot_run {
public:
    explicit slot_run(std::uint64_t seed) : random_(seed) {
        for (const auto& voter : voter_names_) {
            known_incarnations_[voter] = 0;
        }
    }

    void run() {
        for (int step = 0; step < 6000; ++step) {
            now_ += std::chrono::milliseconds(10);
            start_sometimes();
            toggle_links();
            for (std::size_t index = 0; index < processes_.size(); ++index) {
                run_process(index);
            }
            check_single_user();
        }
    }

private:
    struct process {
        dm::slot_lease lease;
        dm::steady_time paused_until;
        /// Answers in transit with their arrival times; they are processed however late they arrive.
        std::vector<std::pair<dm::steady_time, std::function<void(dm::slot_lease&, dm::steady_time)>>>
            pending_replies;
    };

    bool chance(double probability) {
        return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
    }
    dm::duration delay() {
        return std::chrono::milliseconds(chance(0.05) ? random_() % 4000 : random_() % 20);
    }

    void start_sometimes() {
        if (processes_.empty() || chance(0.002)) {
            process process_state;
            process_state.lease = make_lease(++incarnations_, voter_names_);
            processes_.push_back(std::move(process_state));
            cut_links_.emplace_back();
        }
    }

    void toggle_links() {
        for (auto& cuts : cut_links_) {
            for (std::size_t link = 0; link <= voter_names_.size(); ++link) {
                if (chance(0.003)) {
                    cuts[link] = !cuts[link];
                }
            }
        }
    }

    void run_process(std::size_t index) {
        process& process_state = processes_[index];
        if (now_ < process_state.paused_until) {
            return;
        }
        if (chance(0.004)) {
            process_state.paused_until = now_ + std::chrono::milliseconds(random_() % 8000);
            return;
        }
        for (auto& [at, action] : process_state.pending_replies) {
            if (at <= now_) {
                action(process_state.lease, now_);
            }
        }
        std::erase_if(process_state.pending_replies,
                      [this](const auto& entry) { return entry.first <= now_; });
        if (chance(0.05)) {
            probe(index);
        }
        if (chance(0.02) && !cut_links_[index][voter_names_.size()]) {
            read_log(process_state);
        }
    }

    // Probes all voters that are not cut off. A voter answers at once with the highest incarnation it has
    // received; the answer may be delayed.
    void probe(std::size_t index) {
        process& process_state = processes_[index];
        for (std::size_t link = 0; link < voter_names_.size(); ++link) {
            if (cut_links_[index][link]) {
                continue;
            }
            const std::string name = voter_names_[link];
            known_incarnations_[name] = std::max(known_incarnations_[name], process_state.lease.incarnation);
            const std::uint64_t known = known_incarnations_[name];
            const auto sent = now_;
            process_state.pending_replies.emplace_back(
                now_ + delay(), [name, known, sent](dm::slot_lease& lease, dm::steady_time now) {
                    dm::record_voter_reply(lease, name, known, sent, now);
                });
        }
    }

    void read_log(process& process_state) {
        if (log_holder_ < process_state.lease.incarnation && chance(0.3)) {
            log_holder_ = process_state.lease.incarnation;
        }
        const std::uint64_t holder = log_holder_;
        const auto read_started_at = now_;
        process_state.pending_replies.emplace_back(
            now_ + delay(), [holder, read_started_at](dm::slot_lease& lease, dm::steady_time now) {
                dm::record_log_reading(lease, holder, read_started_at, now);
            });
    }

    void check_single_user() {
        int users = 0;
        for (const auto& process_state : processes_) {
            users +=
                now_ >= process_state.paused_until && dm::may_use_slot(process_state.lease, now_) ? 1 : 0;
        }
        REQUIRE(users <= 1);
        used_ += users;
    }

    std::mt19937_64 random_;
    std::vector<std::string> voter_names_{"a/1", "a/2", "a/3", "a/4"};
    std::map<std::string, std::uint64_t> known_incarnations_;
    std::vector<process> processes_;
    /// For each process, whether its link to each voter is cut; the last index is its link to the log.
    std::vector<std::map<std::size_t, bool>> cut_links_;
    std::uint64_t incarnations_{0};
    std::uint64_t log_holder_{0};
    dm::steady_time now_{start};
    int used_{0};
};

} // namespace

TEST_SUITE_BEGIN("process");

TEST_CASE("A process that takes over a slot waits until its predecessor can no longer use it") {
    auto lease = make_lease(7, {"a/1", "a/2"});
    dm::record_log_reading(lease, 7, start, start);
    dm::record_voter_reply(lease, "a/1", 7, start, start);
    CHECK_FALSE(dm::may_use_slot(lease, start + dm::takeover_delay));
    dm::record_voter_reply(lease, "a/2", 7, start, start);
    const auto later = start + dm::takeover_delay;
    CHECK_FALSE(dm::may_use_slot(lease, later));
    dm::record_voter_reply(lease, "a/1", 7, later, later);
    CHECK(dm::may_use_slot(lease, later));
}

TEST_CASE("A process keeps its slot with half of the voters or with the log, and loses it without both") {
    auto lease = make_lease(7, {"a/1", "a/2"});
    dm::record_log_reading(lease, 7, start, start);
    dm::record_voter_reply(lease, "a/1", 7, start, start);
    dm::record_voter_reply(lease, "a/2", 7, start, start);
    const auto later = start + std::chrono::seconds(60);
    CHECK_FALSE(dm::may_use_slot(lease, later));
    dm::record_voter_reply(lease, "a/2", 7, later, later);
    CHECK(dm::may_use_slot(lease, later));
    dm::record_log_reading(lease, 7, later + std::chrono::seconds(10), later + std::chrono::seconds(10));
    CHECK(dm::may_use_slot(lease, later + std::chrono::seconds(11)));
}

TEST_CASE("A process that learns of a newer one in its slot never uses the slot again") {
    auto lease = make_lease(7, {});
    dm::record_log_reading(lease, 7, start, start);
    CHECK(dm::may_use_slot(lease, start + dm::takeover_delay));
    dm::record_voter_reply(lease, "a/1", 8, start, start);
    dm::record_log_reading(lease, 7, start + dm::takeover_delay, start + dm::takeover_delay);
    CHECK_FALSE(dm::may_use_slot(lease, start + dm::takeover_delay));
}

TEST_CASE("Two processes never use one slot at the same time despite pauses, cut links and late answers") {
    const auto range = tests::seeds(60);
    for (std::uint64_t seed = range.first; seed < range.first + range.count; ++seed) {
        CAPTURE(seed);
        slot_run(seed).run();
    }
}

TEST_SUITE_END();
