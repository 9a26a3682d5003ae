#include "dandelionmount/connection/async_event.h"

#include <doctest/doctest.h>

namespace dm = dandelionmount;

TEST_SUITE_BEGIN("connection");

// Guards against a call that begins while its parent is being cancelled and runs on for nobody.
TEST_CASE("An action that is added after the cancellation runs at once") {
    dm::cancel_token token;
    token.request();
    int runs = 0;
    token.on_cancel([&] { ++runs; });
    CHECK(runs == 1);
}

TEST_CASE("A second cancellation has no effect") {
    dm::cancel_token token;
    int runs = 0;
    token.on_cancel([&] { ++runs; });
    token.request();
    token.request();
    CHECK(runs == 1);
}

TEST_SUITE_END();
