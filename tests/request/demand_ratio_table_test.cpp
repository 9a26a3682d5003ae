#include "dandelionmount/request/demand_ratio_table.h"

#include "dandelionmount/process/demand_shares.h"

#include <array>
#include <doctest/doctest.h>
#include <random>

#include "tests/support/seed.h"

namespace dm = dandelionmount;

namespace {

constexpr dm::steady_time start{std::chrono::hours(1)};
const dm::request_class listing{"/list", 4, "a"};

struct request_stream {
    std::string account;
    std::uint32_t priority;
    std::size_t ingress;
    double rate;
};

struct class_counts {
    double sent{0};
    double admitted{0};
};

using counts_by_class = std::map<std::pair<std::string, std::uint32_t>, class_counts>;

// Simulates ingress nodes and a service that reports a demand ratio with each answer, in steps of 1 ms.
class closed_loop {
public:
    closed_loop(std::vector<request_stream> streams, std::uint64_t seed)
        : streams_(std::move(streams)), random_(seed) {
        service_.window_began = now_;
    }

    counts_by_class run(std::chrono::seconds time, double capacity) {
        counts_by_class totals;
        const auto end = now_ + time;
        while (now_ < end) {
            now_ += std::chrono::milliseconds(1);
            for (const auto& source : streams_) {
                if (draw() < source.rate / 1000) {
                    send(source, totals[{source.account, source.priority}]);
                }
            }
            if (dm::is_window_over(service_, now_)) {
                dm::update_shares(service_, capacity, now_);
            }
        }
        return totals;
    }

private:
    double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    void send(const request_stream& source, class_counts& totals) {
        totals.sent += 1;
        auto& ingress = ingress_tables_.at(source.ingress);
        const dm::request_class key{"/list", source.priority, source.account};
        const double share = dm::admitted_share(ingress, key, now_);
        if (draw() >= share) {
            return;
        }
        totals.admitted += 1;
        dm::record_demand(service_, source.priority, source.account, 1 / share);
        const auto* demand = dm::find_demand(service_, source.priority, source.account);
        dm::record_ratio(ingress, key, demand->ratio, now_);
    }

    std::vector<request_stream> streams_;
    std::mt19937_64 random_;
    std::array<dm::demand_ratio_table, 3> ingress_tables_;
    dm::demand_table service_;
    dm::steady_time now_{start};
};

// Two large accounts, of which one enters at all nodes and one at a single node, and a small one with
// requests of normal and high priority.
std::vector<request_stream> mixed_streams() {
    std::vector<request_stream> streams;
    for (std::size_t ingress = 0; ingress < 3; ++ingress) {
        streams.push_back({"large", 4, ingress, 120});
    }
    streams.push_back({"concentrated", 4, 0, 360});
    streams.push_back({"small", 4, 1, 10});
    streams.push_back({"small", 9, 2, 5});
    return streams;
}

} // namespace

TEST_SUITE_BEGIN("request");

TEST_CASE("Ingress nodes together admit the service's capacity, and every account gets its share") {
    const std::uint64_t seed = tests::seeds(1).first;
    CAPTURE(seed);
    closed_loop loop(mixed_streams(), seed);
    constexpr double capacity = 75;
    constexpr double seconds = 30;
    (void)loop.run(std::chrono::seconds(5), capacity);
    auto totals = loop.run(std::chrono::seconds(30), capacity);
    double admitted = 0;
    for (const auto& [key, counts] : totals) {
        admitted += counts.admitted / seconds;
    }
    CHECK(admitted == doctest::Approx(capacity).epsilon(0.1));
    const auto& high_priority = totals[{"small", 9}];
    const auto& small = totals[{"small", 4}];
    CHECK(high_priority.admitted / high_priority.sent >= 0.99);
    CHECK(small.admitted / small.sent >= 0.98);
    // The two large accounts get 30 requests a second each, wherever they enter.
    CHECK(totals[{"large", 4}].admitted / seconds >= 27);
    CHECK(totals[{"concentrated", 4}].admitted / seconds >= 27);
}

TEST_CASE("All requests are admitted within 5 s after the service recovers") {
    closed_loop loop(mixed_streams(), tests::seeds(1).first);
    (void)loop.run(std::chrono::seconds(10), 10);
    (void)loop.run(std::chrono::seconds(5), 2000);
    auto totals = loop.run(std::chrono::seconds(5), 2000);
    for (const auto& [key, counts] : totals) {
        CHECK(counts.admitted == counts.sent);
    }
}

TEST_CASE("A few requests are admitted to a service without capacity, so that its recovery is detected") {
    dm::demand_ratio_table table;
    for (int answer = 0; answer < 50; ++answer) {
        dm::record_ratio(table, listing, dm::max_demand_ratio, start);
    }
    CHECK(dm::admitted_share(table, listing, start) > 0);
    CHECK(dm::admitted_share(table, listing, start) < 0.05);
    const dm::request_class high_priority{"/list", 9, "a"};
    CHECK(dm::admitted_share(table, high_priority, start) == 1);
}

TEST_CASE("A share grows without new answers until all requests are admitted") {
    dm::demand_ratio_table table;
    dm::record_ratio(table, listing, dm::max_demand_ratio, start);
    CHECK(dm::admitted_share(table, listing, start) < 1);
    CHECK(dm::admitted_share(table, listing, start + std::chrono::seconds(5)) == 1);
}

TEST_CASE("Classes that are fully admitted take no memory") {
    dm::demand_ratio_table table;
    dm::record_ratio(table, listing, 0, start);
    CHECK(table.empty());
    dm::record_ratio(table, {"/list", 4, "gone"}, 2, start);
    dm::record_ratio(table, listing, 2, start);
    const auto later = start + std::chrono::minutes(1);
    dm::record_ratio(table, listing, 0, later);
    CHECK(table.empty());
}

TEST_CASE("Requests shed together get spread retry times, which are later the less capacity there is") {
    CHECK(dm::shed_retry_after(0.5, 0) == std::chrono::seconds(1));
    CHECK(dm::shed_retry_after(0.5, 1) == std::chrono::seconds(2));
    CHECK(dm::shed_retry_after(0.02, 1) == std::chrono::seconds(10));
    CHECK(dm::shed_retry_after(1, 1) == std::chrono::seconds(1));
}

TEST_SUITE_END();
