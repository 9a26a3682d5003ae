#include "dandelionmount/request/traffic_split.h"

#include <doctest/doctest.h>
#include <random>

namespace dm = dandelionmount;

TEST_SUITE_BEGIN("request");

TEST_CASE("Services of a traffic split get requests by their weights") {
    const std::vector<dm::weighted_service> services{{"a", 90}, {"b", 10}, {"off", 0}};
    std::mt19937_64 random(1);
    std::uniform_real_distribution<double> draw(0, 1);
    std::map<std::string, int> counts;
    for (int request = 0; request < 10000; ++request) {
        ++counts[std::string(dm::choose_service(services, draw(random)))];
    }
    CHECK(counts["a"] == doctest::Approx(9000).epsilon(0.02));
    CHECK(counts["b"] == doctest::Approx(1000).epsilon(0.1));
    CHECK(counts["off"] == 0);
}

TEST_SUITE_END();
