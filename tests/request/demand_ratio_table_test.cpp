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

struct stream {
    std::string account;
    std::uint32_t priority;
    std::size_t entrance;
    double rate;
};

struct class_figures {
    double sent{0};
    double passed{0};
};

using figures = std::map<std::pair<std::string, std::uint32_t>, class_figures>;

// Entrances and a service that tells each request the share of its kind, with time passing in steps of 1 ms.
class closed_loop {
public:
    closed_loop(std::vector<stream> streams, std::uint64_t seed)
        : streams_(std::move(streams)), random_(seed) {
        service_.window_began = now_;
    }

    figures run(std::chrono::seconds time, double capacity) {
        figures seen;
        const auto end = now_ + time;
        while (now_ < end) {
            now_ += std::chrono::milliseconds(1);
            for (const auto& one : streams_) {
                if (draw() < one.rate / 1000) {
                    send(one, seen[{one.account, one.priority}]);
                }
            }
            if (dm::is_window_over(service_, now_)) {
                dm::update_shares(service_, capacity, now_);
            }
        }
        return seen;
    }

private:
    double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    void send(const stream& one, class_figures& seen) {
        seen.sent += 1;
        auto& entrance = entrances_.at(one.entrance);
        const dm::request_class name{"/list", one.priority, one.account};
        const double share = dm::passing_share(entrance, name, now_);
        if (draw() >= share) {
            return;
        }
        seen.passed += 1;
        dm::record_demand(service_, one.priority, one.account, 1 / share);
        const auto* demand = dm::find_demand(service_, one.priority, one.account);
        dm::record_ratio(entrance, name, demand->ratio, now_);
    }

    std::vector<stream> streams_;
    std::mt19937_64 random_;
    std::array<dm::demand_ratio_table, 3> entrances_;
    dm::demand_table service_;
    dm::steady_time now_{start};
};

// Two large accounts that enter in different places, small ones, and important requests of one of them.
std::vector<stream> mixed_streams() {
    std::vector<stream> streams;
    for (std::size_t entrance = 0; entrance < 3; ++entrance) {
        streams.push_back({"large", 4, entrance, 120});
    }
    streams.push_back({"concentrated", 4, 0, 360});
    streams.push_back({"small", 4, 1, 10});
    streams.push_back({"small", 9, 2, 5});
    return streams;
}

} // namespace

TEST_SUITE_BEGIN("request");

TEST_CASE("Entrances together let through what the service can take, and every account has its part") {
    const std::uint64_t seed = tests::seeds(1).first;
    CAPTURE(seed);
    closed_loop loop(mixed_streams(), seed);
    constexpr double capacity = 75;
    constexpr double seconds = 30;
    (void)loop.run(std::chrono::seconds(5), capacity);
    auto seen = loop.run(std::chrono::seconds(30), capacity);
    double passed = 0;
    for (const auto& [name, kind] : seen) {
        passed += kind.passed / seconds;
    }
    CHECK(passed == doctest::Approx(capacity).epsilon(0.1));
    const auto& important = seen[{"small", 9}];
    const auto& small = seen[{"small", 4}];
    CHECK(important.passed / important.sent >= 0.99);
    CHECK(small.passed / small.sent >= 0.98);
    // The two large ones have 30 a second each, wherever they enter.
    CHECK(seen[{"large", 4}].passed / seconds >= 27);
    CHECK(seen[{"concentrated", 4}].passed / seconds >= 27);
}

TEST_CASE("All requests pass again within 5 s after the service is fast again") {
    closed_loop loop(mixed_streams(), tests::seeds(1).first);
    (void)loop.run(std::chrono::seconds(10), 10);
    (void)loop.run(std::chrono::seconds(5), 2000);
    auto seen = loop.run(std::chrono::seconds(5), 2000);
    for (const auto& [name, kind] : seen) {
        CHECK(kind.passed == kind.sent);
    }
}

TEST_CASE("Below a service that takes nothing a few requests pass, so that the end of it is heard") {
    dm::demand_ratio_table table;
    for (int answer = 0; answer < 50; ++answer) {
        dm::record_ratio(table, listing, dm::max_demand_ratio, start);
    }
    CHECK(dm::passing_share(table, listing, start) > 0);
    CHECK(dm::passing_share(table, listing, start) < 0.05);
    const dm::request_class important{"/list", 9, "a"};
    CHECK(dm::passing_share(table, important, start) == 1);
}

TEST_CASE("A share that is not heard any more grows until all requests pass") {
    dm::demand_ratio_table table;
    dm::record_ratio(table, listing, dm::max_demand_ratio, start);
    CHECK(dm::passing_share(table, listing, start) < 1);
    CHECK(dm::passing_share(table, listing, start + std::chrono::seconds(5)) == 1);
}

TEST_CASE("Classes that pass whole take no memory") {
    dm::demand_ratio_table table;
    dm::record_ratio(table, listing, 0, start);
    CHECK(table.empty());
    dm::record_ratio(table, {"/list", 4, "gone"}, 2, start);
    dm::record_ratio(table, listing, 2, start);
    const auto later = start + std::chrono::minutes(1);
    dm::record_ratio(table, listing, 0, later);
    CHECK(table.empty());
}

TEST_CASE("Requests that were shed together come back spread, later the less can be taken") {
    CHECK(dm::shed_return_time(0.5, 0) == std::chrono::seconds(1));
    CHECK(dm::shed_return_time(0.5, 1) == std::chrono::seconds(2));
    CHECK(dm::shed_return_time(0.02, 1) == std::chrono::seconds(10));
    CHECK(dm::shed_return_time(1, 1) == std::chrono::seconds(1));
}

TEST_SUITE_END();
