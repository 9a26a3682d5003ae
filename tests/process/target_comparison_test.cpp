#include "dandelionmount/process/target_comparison.h"

#include <doctest/doctest.h>

namespace dm = dandelionmount;
using std::chrono::milliseconds;

namespace {

constexpr dm::steady_time now{std::chrono::hours(1)};

dm::measurement_report make_report(const std::map<std::string, double>& run_times, double load = 0.3,
                                   double failing = 0) {
    dm::target_measurements measurements{"store", {}, load, failing};
    for (const auto& [route, seconds] : run_times) {
        measurements.routes[route] = {seconds, seconds / 2};
    }
    return {measurements, now};
}

} // namespace

TEST_SUITE_BEGIN("process");

TEST_CASE("A target that is slow on all routes is an outlier, even if half of the targets are slow") {
    dm::measurement_reports targets;
    targets["fast"] = make_report({{"/read/", 0.1}, {"/call/", 0.02}});
    targets["usual"] = make_report({{"/read/", 0.12}, {"/call/", 0.022}});
    targets["slow"] = make_report({{"/read/", 1.2}, {"/call/", 0.24}});
    targets["slow too"] = make_report({{"/read/", 1.0}, {"/call/", 0.22}});
    const auto outliers = dm::find_outliers(targets, now);
    CHECK(outliers.size() == 2);
    CHECK(outliers.at("slow").slowness > 8);
    CHECK(outliers.at("slow too").slowness > 7);
}

TEST_CASE("A target without any answer is an outlier if its running requests are old") {
    dm::measurement_reports targets;
    targets["a"] = make_report({{"/read/", 0.1}});
    targets["b"] = make_report({{"/read/", 0.1}});
    targets["hangs"] = make_report({});
    targets["hangs"].measurements.routes["/read/"] = {std::nullopt, 1.2};
    targets["starts"] = make_report({});
    targets["starts"].measurements.routes["/read/"] = {std::nullopt, 0.01};
    const auto outliers = dm::find_outliers(targets, now);
    REQUIRE(outliers.size() == 1);
    CHECK(outliers.at("hangs").slowness > 8);
}

TEST_CASE("Targets that are all slow or failing are no outliers") {
    dm::measurement_reports targets;
    for (const auto* host : {"a", "b", "c"}) {
        targets[host] = make_report({{"/read/", 3.0}}, 0.4, 0.45);
    }
    CHECK(dm::find_outliers(targets, now).empty());
}

TEST_CASE("A target that is slow only by its mix of routes is no outlier") {
    dm::measurement_reports targets;
    targets["one route"] = make_report({{"/long/", 0.5}});
    targets["other route"] = make_report({{"/short/", 0.01}});
    targets["both"] = make_report({{"/long/", 0.52}, {"/short/", 0.012}});
    CHECK(dm::find_outliers(targets, now).empty());
}

TEST_CASE("A target that fails more than others is an outlier by its excess failures") {
    dm::measurement_reports targets;
    targets["a"] = make_report({{"/read/", 0.1}}, 0.3, 0.02);
    targets["b"] = make_report({{"/read/", 0.1}}, 0.3, 0.02);
    targets["grey"] = make_report({{"/read/", 0.1}}, 0.3, 0.32);
    const auto outliers = dm::find_outliers(targets, now);
    REQUIRE(outliers.size() == 1);
    CHECK(outliers.at("grey").failing == doctest::Approx(0.3));
    CHECK(dm::cost_factor(outliers.at("grey")) == doctest::Approx(4));
}

TEST_CASE("Services are compared separately, loaded targets are outliers, and expired reports are ignored") {
    dm::measurement_reports targets;
    targets["loaded"] = make_report({}, 1.5);
    targets["other service"] = make_report({{"/read/", 9.0}});
    targets["other service"].measurements.service = "desk";
    targets["silent"] = make_report({{"/read/", 9.0}}, 3);
    targets["silent"].received_at = now - milliseconds(1500);
    const auto outliers = dm::find_outliers(targets, now);
    REQUIRE(outliers.size() == 1);
    CHECK(outliers.at("loaded").load == 1.5);
}

TEST_CASE("If there are many outliers, only the worst are returned") {
    dm::measurement_reports targets;
    for (int index = 0; index < 400; ++index) {
        targets["t" + std::to_string(index)] = make_report({}, 0.7 + 0.01 * index);
    }
    const auto outliers = dm::find_outliers(targets, now);
    CHECK(outliers.size() == 64);
    CHECK(outliers.contains("t399"));
    CHECK_FALSE(outliers.contains("t0"));
}

TEST_SUITE_END();
