#include "dandelionmount/request/priority_shedder.h"

#include <doctest/doctest.h>

namespace dm = dandelionmount;
using std::chrono::milliseconds;

namespace {

constexpr dm::steady_time start{std::chrono::hours(1)};

// An entrance with an urgent route, two lesser ones, and one that leads elsewhere.
struct entrance_fixture {
    // Lets two seconds pass at 100 requests a second on each route, while the pressed ones hear the ratio.
    void run(double ratio) {
        for (int step = 0; step < 200; ++step) {
            now += milliseconds(10);
            for (const char* route : {"/urgent/", "/bulk/", "/list/"}) {
                dm::note_pressure(entrance, route, ratio, now);
            }
            passes["/urgent/"] = dm::note_entering(entrance, "/urgent/", 9, now);
            passes["/bulk/"] = dm::note_entering(entrance, "/bulk/", 2, now);
            passes["/list/"] = dm::note_entering(entrance, "/list/", 2, now);
            passes["/other/"] = dm::note_entering(entrance, "/other/", 0, now);
        }
    }

    dm::priority_shedder entrance;
    std::map<std::string, double> passes;
    dm::steady_time now{start};
};

} // namespace

TEST_SUITE_BEGIN("request");

TEST_CASE("An overload deep in the chain is shed from the lowest priority, over all routes that lead there") {
    entrance_fixture fixture;
    fixture.run(1.5);
    // A third of 300 requests a second, all from the two lesser routes.
    CHECK(fixture.passes["/urgent/"] == 1);
    CHECK(fixture.passes["/bulk/"] == doctest::Approx(0.5).epsilon(0.1));
    CHECK(fixture.passes["/list/"] == doctest::Approx(0.5).epsilon(0.1));
    CHECK(fixture.passes["/other/"] == 1);
}

TEST_CASE("Only when the lesser ones are gone are urgent requests shed, and some always pass") {
    entrance_fixture fixture;
    fixture.run(10);
    CHECK(fixture.passes["/urgent/"] < 0.5);
    CHECK(fixture.passes["/urgent/"] > 0.1);
    CHECK(fixture.passes["/bulk/"] > 0);
    CHECK(fixture.passes["/bulk/"] < 0.05);
}

TEST_CASE("Shedding ends when the pressure does") {
    entrance_fixture fixture;
    fixture.run(3);
    CHECK(fixture.passes["/bulk/"] < 0.1);
    fixture.run(0.2);
    CHECK(fixture.passes["/bulk/"] == 1);
}

TEST_SUITE_END();
