#include "dandelionmount/process/target_comparison.h"

#include <doctest/doctest.h>

namespace dm = dandelionmount;
using std::chrono::milliseconds;

namespace {

constexpr dm::steady_time now{std::chrono::hours(1)};

dm::heard_target heard(const std::map<std::string, double>& run_times, double load = 0.3,
                       double failing = 0) {
    dm::target_state state{"store", {}, load, failing};
    for (const auto& [route, seconds] : run_times) {
        state.routes[route] = {seconds, seconds / 2};
    }
    return {state, now};
}

} // namespace

TEST_SUITE_BEGIN("process");

TEST_CASE("A target that is slow on all routes stands out, also when half of the targets are slow") {
    dm::heard_targets targets;
    targets["fast"] = heard({{"/read/", 0.1}, {"/call/", 0.02}});
    targets["usual"] = heard({{"/read/", 0.12}, {"/call/", 0.022}});
    targets["slow"] = heard({{"/read/", 1.2}, {"/call/", 0.24}});
    targets["slow too"] = heard({{"/read/", 1.0}, {"/call/", 0.22}});
    const auto notes = dm::compare_targets(targets, now);
    CHECK(notes.size() == 2);
    CHECK(notes.at("slow").slowness > 8);
    CHECK(notes.at("slow too").slowness > 7);
}

TEST_CASE(
    "A target that has not answered anything yet stands out by how long its requests have been running") {
    dm::heard_targets targets;
    targets["a"] = heard({{"/read/", 0.1}});
    targets["b"] = heard({{"/read/", 0.1}});
    targets["hangs"] = heard({});
    targets["hangs"].state.routes["/read/"] = {std::nullopt, 1.2};
    targets["starts"] = heard({});
    targets["starts"].state.routes["/read/"] = {std::nullopt, 0.01};
    const auto notes = dm::compare_targets(targets, now);
    REQUIRE(notes.size() == 1);
    CHECK(notes.at("hangs").slowness > 8);
}

TEST_CASE("Targets of which all are slow or failing do not stand out") {
    dm::heard_targets targets;
    for (const auto* host : {"a", "b", "c"}) {
        targets[host] = heard({{"/read/", 3.0}}, 0.4, 0.45);
    }
    CHECK(dm::compare_targets(targets, now).empty());
}

TEST_CASE("A target that is slow by its routes' mix alone does not stand out") {
    dm::heard_targets targets;
    targets["one route"] = heard({{"/long/", 0.5}});
    targets["other route"] = heard({{"/short/", 0.01}});
    targets["both"] = heard({{"/long/", 0.52}, {"/short/", 0.012}});
    CHECK(dm::compare_targets(targets, now).empty());
}

TEST_CASE("A target that fails more than others is noted with what it fails beyond them") {
    dm::heard_targets targets;
    targets["a"] = heard({{"/read/", 0.1}}, 0.3, 0.02);
    targets["b"] = heard({{"/read/", 0.1}}, 0.3, 0.02);
    targets["grey"] = heard({{"/read/", 0.1}}, 0.3, 0.32);
    const auto notes = dm::compare_targets(targets, now);
    REQUIRE(notes.size() == 1);
    CHECK(notes.at("grey").failing == doctest::Approx(0.3));
    CHECK(dm::cost_factor(notes.at("grey")) == doctest::Approx(4));
}

TEST_CASE("Services are compared apart, loaded targets are noted, and old reports do not count") {
    dm::heard_targets targets;
    targets["loaded"] = heard({}, 1.5);
    targets["other service"] = heard({{"/read/", 9.0}});
    targets["other service"].state.service = "desk";
    targets["silent"] = heard({{"/read/", 9.0}}, 3);
    targets["silent"].heard = now - milliseconds(1500);
    const auto notes = dm::compare_targets(targets, now);
    REQUIRE(notes.size() == 1);
    CHECK(notes.at("loaded").load == 1.5);
}

TEST_CASE("Of many targets that stand out the worst are named") {
    dm::heard_targets targets;
    for (int index = 0; index < 400; ++index) {
        targets["t" + std::to_string(index)] = heard({}, 0.7 + 0.01 * index);
    }
    const auto notes = dm::compare_targets(targets, now);
    CHECK(notes.size() == 64);
    CHECK(notes.contains("t399"));
    CHECK_FALSE(notes.contains("t0"));
}

TEST_SUITE_END();
