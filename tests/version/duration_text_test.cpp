#include "dandelionmount/version/duration_text.h"

#include <doctest/doctest.h>

namespace dm = dandelionmount;
using std::chrono::milliseconds;

TEST_SUITE_BEGIN("version");

TEST_CASE("A duration is a number with a unit") {
    CHECK(dm::read_duration("1500ms") == milliseconds(1500));
    CHECK(dm::read_duration("2.5s") == milliseconds(2500));
    CHECK(dm::read_duration("0ms") == milliseconds(0));
    for (const char* text : {"", "ms", "5", "5 s", "5m", "-1s", "1e99s", "nan s", "nans", "5sx"}) {
        CAPTURE(text);
        CHECK_FALSE(dm::read_duration(text));
    }
}

TEST_SUITE_END();
