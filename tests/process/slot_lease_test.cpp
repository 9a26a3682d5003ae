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

// One slot, the processes that were started in it one after another, its witnesses and the log, over links
// that are slow or cut; processes stop for a while at any moment.
class slot_run {
public:
    explicit slot_run(std::uint64_t seed) : random_(seed) {
        for (const auto& witness : witness_names_) {
            known_[witness] = 0;
        }
    }

    void run() {
        for (int step = 0; step < 6000; ++step) {
            now_ += std::chrono::milliseconds(10);
            maybe_start();
            maybe_cut();
            for (std::size_t index = 0; index < processes_.size(); ++index) {
                act(index);
            }
            check_one_user();
        }
    }

private:
    struct process {
        dm::slot_lease lease;
        dm::steady_time paused_until;
        /// Answers on their way: they act when they arrive, however late.
        std::vector<std::pair<dm::steady_time, std::function<void(dm::slot_lease&, dm::steady_time)>>>
            arriving;
    };

    bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(random_) < share; }
    dm::duration delay() {
        return std::chrono::milliseconds(chance(0.05) ? random_() % 4000 : random_() % 20);
    }

    void maybe_start() {
        if (processes_.empty() || chance(0.002)) {
            process one;
            one.lease = make_lease(++incarnations_, witness_names_);
            processes_.push_back(std::move(one));
            cut_.emplace_back();
        }
    }

    void maybe_cut() {
        for (auto& cuts : cut_) {
            for (std::size_t link = 0; link <= witness_names_.size(); ++link) {
                if (chance(0.003)) {
                    cuts[link] = !cuts[link];
                }
            }
        }
    }

    void act(std::size_t index) {
        process& one = processes_[index];
        if (now_ < one.paused_until) {
            return;
        }
        if (chance(0.004)) {
            one.paused_until = now_ + std::chrono::milliseconds(random_() % 8000);
            return;
        }
        for (auto& [at, action] : one.arriving) {
            if (at <= now_) {
                action(one.lease, now_);
            }
        }
        std::erase_if(one.arriving, [this](const auto& entry) { return entry.first <= now_; });
        if (chance(0.05)) {
            probe(index);
        }
        if (chance(0.02) && !cut_[index][witness_names_.size()]) {
            read_log(one);
        }
    }

    // A witness answers at once with the highest incarnation that it has heard of; the answer may take long.
    void probe(std::size_t index) {
        process& one = processes_[index];
        for (std::size_t link = 0; link < witness_names_.size(); ++link) {
            if (cut_[index][link]) {
                continue;
            }
            const std::string name = witness_names_[link];
            known_[name] = std::max(known_[name], one.lease.incarnation);
            const std::uint64_t known = known_[name];
            const auto sent = now_;
            one.arriving.emplace_back(now_ + delay(),
                                      [name, known, sent](dm::slot_lease& lease, dm::steady_time now) {
                                          dm::record_voter_reply(lease, name, known, sent, now);
                                      });
        }
    }

    void read_log(process& one) {
        if (log_holder_ < one.lease.incarnation && chance(0.3)) {
            log_holder_ = one.lease.incarnation;
        }
        const std::uint64_t holder = log_holder_;
        const auto began = now_;
        one.arriving.emplace_back(now_ + delay(),
                                  [holder, began](dm::slot_lease& lease, dm::steady_time now) {
                                      dm::record_log_reading(lease, holder, began, now);
                                  });
    }

    void check_one_user() {
        int users = 0;
        for (const auto& one : processes_) {
            users += now_ >= one.paused_until && dm::may_use_slot(one.lease, now_) ? 1 : 0;
        }
        REQUIRE(users <= 1);
        used_ += users;
    }

    std::mt19937_64 random_;
    std::vector<std::string> witness_names_{"a/1", "a/2", "a/3", "a/4"};
    std::map<std::string, std::uint64_t> known_;
    std::vector<process> processes_;
    std::vector<std::map<std::size_t, bool>> cut_;
    std::uint64_t incarnations_{0};
    std::uint64_t log_holder_{0};
    dm::steady_time now_{start};
    int used_{0};
};

} // namespace

TEST_SUITE_BEGIN("process");

TEST_CASE("A process that takes a slot over waits until the one before can't use it any more") {
    auto lease = make_lease(7, {"a/1", "a/2"});
    dm::record_log_reading(lease, 7, start, start);
    dm::record_voter_reply(lease, "a/1", 7, start, start);
    CHECK_FALSE(dm::may_use_slot(lease, start + dm::takeover_wait));
    dm::record_voter_reply(lease, "a/2", 7, start, start);
    const auto later = start + dm::takeover_wait;
    CHECK_FALSE(dm::may_use_slot(lease, later));
    dm::record_voter_reply(lease, "a/1", 7, later, later);
    CHECK(dm::may_use_slot(lease, later));
}

TEST_CASE("Half of the witnesses or the log keep a slot in use, and neither ends it") {
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

TEST_CASE("A process that hears of a newer one in its slot never uses it again") {
    auto lease = make_lease(7, {});
    dm::record_log_reading(lease, 7, start, start);
    CHECK(dm::may_use_slot(lease, start + dm::takeover_wait));
    dm::record_voter_reply(lease, "a/1", 8, start, start);
    dm::record_log_reading(lease, 7, start + dm::takeover_wait, start + dm::takeover_wait);
    CHECK_FALSE(dm::may_use_slot(lease, start + dm::takeover_wait));
}

TEST_CASE("Two processes never use one slot at a time, through pauses, cuts and late answers") {
    const auto range = tests::seeds(60);
    for (std::uint64_t seed = range.first; seed < range.first + range.count; ++seed) {
        CAPTURE(seed);
        slot_run(seed).run();
    }
}

TEST_SUITE_END();
