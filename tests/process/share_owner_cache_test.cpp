#include "dandelionmount/process/share_owner_cache.h"

#include "dandelionmount/process/token_share.h"

#include <doctest/doctest.h>

namespace dm = dandelionmount;

TEST_SUITE_BEGIN("process");

TEST_CASE("Cached share owners match choose_share_owners() when the size of a zone changes") {
    dm::share_owner_cache cache;
    for (const std::uint32_t hosts : {2U, 40U, 41U, 7U}) {
        for (const std::string account : {"a", "b", "c"}) {
            for (const std::string name : {"zone-a", "zone-b"}) {
                const dm::zone_settings zone{name, hosts};
                const auto chosen = dm::choose_share_owners(account, zone);
                CHECK(cache.find(account, zone) == chosen);
                CHECK(cache.find(account, zone) == chosen);
            }
        }
    }
    CHECK(cache.size() == 3);
}

TEST_CASE("The cache of share owners is bounded for any number of accounts") {
    dm::share_owner_cache cache;
    const dm::zone_settings zone{"zone-a", 5};
    for (int account = 0; account < 5000; ++account) {
        (void)cache.find(std::to_string(account), zone);
    }
    CHECK(cache.size() <= 1000);
}

TEST_SUITE_END();
