#include "dandelionmount/request/priority_shedder.h"

#include <doctest/doctest.h>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace dm = dandelionmount;
using std::chrono::milliseconds;

namespace {

constexpr dm::steady_time start{std::chrono::hours(1)};

// An ingress node with a route of high priority and two of low priority to the same service, and one to
// another service.
struct ingress_fixture {
    // Simulates 2 s at 100 requests a second on each route, with answers on the first three that report the
    // ratio.
    void run(double ratio) {
        for (int step = 0; step < 200; ++step) {
            now += milliseconds(10);
            for (const char* route : {"/urgent/", "/bulk/", "/list/"}) {
                dm::record_pressure(shedder, route, ratio, now);
            }
            admitted_shares["/urgent/"] = dm::record_arrival_at_ingress(shedder, "/urgent/", 9, now);
            admitted_shares["/bulk/"] = dm::record_arrival_at_ingress(shedder, "/bulk/", 2, now);
            admitted_shares["/list/"] = dm::record_arrival_at_ingress(shedder, "/list/", 2, now);
            admitted_shares["/other/"] = dm::record_arrival_at_ingress(shedder, "/other/", 0, now);
        }
    }

    dm::priority_shedder shedder;
    std::map<std::string, double> admitted_shares;
    dm::steady_time now{start};
};

} // namespace

TEST_SUITE_BEGIN("request");

TEST_CASE("An overload downstream is shed from the lowest priority first, over all routes under pressure") {
    ingress_fixture fixture;
    fixture.run(1.5);
    // A third of 300 requests a second, all from the two low-priority routes.
    CHECK(fixture.admitted_shares["/urgent/"] == 1);
    CHECK(fixture.admitted_shares["/bulk/"] == doctest::Approx(0.5).epsilon(0.1));
    CHECK(fixture.admitted_shares["/list/"] == doctest::Approx(0.5).epsilon(0.1));
    CHECK(fixture.admitted_shares["/other/"] == 1);
}

TEST_CASE(
    "High-priority requests are shed only after low-priority ones, and some of each are always admitted") {
    ingress_fixture fixture;
    fixture.run(10);
    CHECK(fixture.admitted_shares["/urgent/"] < 0.5);
    CHECK(fixture.admitted_shares["/urgent/"] > 0.1);
    CHECK(fixture.admitted_shares["/bulk/"] > 0);
    CHECK(fixture.admitted_shares["/bulk/"] < 0.05);
}

TEST_CASE("Shedding ends when the pressure ends") {
    ingress_fixture fixture;
    fixture.run(3);
    CHECK(fixture.admitted_shares["/bulk/"] < 0.1);
    fixture.run(0.2);
    CHECK(fixture.admitted_shares["/bulk/"] == 1);
}

namespace {

// Many ingress nodes with few requests each, of an important and an ordinary route to the same overloaded
// service.
struct ingress_fleet {
    explicit ingress_fleet(std::size_t count) : nodes(count) {}

    // Answers report the ratio, but for a share of them, which report none.
    void arrive(const std::string& route, std::uint32_t priority, double rate, double ratio, double without) {
        for (int left = std::poisson_distribution<int>(rate * 0.01)(random); left > 0; --left) {
            dm::priority_shedder& node = nodes[random() % nodes.size()];
            const double share = dm::record_arrival_at_ingress(node, route, priority, now);
            auto& counts = arrivals[route];
            counts.first += 1;
            if (std::bernoulli_distribution(share)(random)) {
                counts.second += 1;
                const bool reports_none = std::bernoulli_distribution(without)(random);
                dm::record_pressure(node, route, reports_none ? 0 : ratio, now);
            }
        }
    }

    void run(milliseconds time, double ratio) {
        for (auto left = time / milliseconds(10); left > 0; --left) {
            now += milliseconds(10);
            arrive("/important/", 2, 170, ratio, without_ratio);
            arrive("/ordinary/", 0, 450, ratio, without_ratio);
            arrive("/beside/", 0, 150, ratio, 0.8);
            ++step;
            for (std::size_t node = step % 25; node < nodes.size() && shares_decisions; node += 25) {
                dm::add_report(fleet, dm::take_report(nodes[node]), now);
                dm::apply_fleet_shares(nodes[node], dm::shares_below_one(fleet), now);
            }
        }
    }

    double admitted(const std::string& route) {
        const auto counts = std::exchange(arrivals[route], {});
        return counts.second / counts.first;
    }

    std::vector<dm::priority_shedder> nodes;
    dm::priority_shedder fleet;
    bool shares_decisions{true};
    double without_ratio{0};
    std::mt19937_64 random{1};
    std::map<std::string, std::pair<double, double>> arrivals;
    dm::steady_time now{start};
    std::size_t step{0};
};

} // namespace

// Guards against decisions by each ingress node alone: 195 of them see three requests a second each.
TEST_CASE("The important requests of a fleet are shed last however few of them each ingress node sees") {
    for (const std::size_t size : {14, 90, 195}) {
        CAPTURE(size);
        ingress_fleet fleet(size);
        fleet.without_ratio = 0.2;
        fleet.run(milliseconds(2000), 0.5);
        CHECK(fleet.admitted("/important/") == 1);
        CHECK(fleet.admitted("/ordinary/") == 1);
        // A fifth of all requests can be served: 0.73 of the important ones.
        fleet.run(milliseconds(1000), 5);
        fleet.arrivals.clear();
        fleet.run(milliseconds(5000), 5);
        CHECK(fleet.admitted("/important/") > 0.55);
        CHECK(fleet.admitted("/ordinary/") < 0.1);
        // Some answers report a pressure of a service that the route does not lead to.
        CHECK(fleet.admitted("/beside/") > 0.95);
        fleet.run(milliseconds(2000), 0);
        fleet.arrivals.clear();
        fleet.run(milliseconds(1000), 0);
        CHECK(fleet.admitted("/important/") == 1);
        CHECK(fleet.admitted("/ordinary/") > 0.95);
    }
}

TEST_CASE("An ingress node that receives no decisions of the fleet decides alone") {
    ingress_fleet fleet(3);
    fleet.run(milliseconds(2000), 5);
    fleet.shares_decisions = false;
    fleet.run(milliseconds(3000), 5);
    fleet.arrivals.clear();
    fleet.run(milliseconds(3000), 5);
    CHECK(fleet.admitted("/important/") > 0.5);
    CHECK(fleet.admitted("/ordinary/") < 0.2);
}

TEST_SUITE_END();
