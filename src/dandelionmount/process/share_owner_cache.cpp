#include "dandelionmount/process/share_owner_cache.h"

#include "dandelionmount/process/token_share.h"

namespace dandelionmount {

namespace {

// Above this all are forgotten and chosen anew as they are needed, about 5 MB for 32 zones.
constexpr std::size_t most_accounts = 1000;

} // namespace

const std::vector<std::uint32_t>& share_owner_cache::find(std::string_view account,
                                                          const zone_settings& zone) {
    auto known = accounts_.find(account);
    if (known == accounts_.end()) {
        if (accounts_.size() >= most_accounts) {
            accounts_.clear();
        }
        known = accounts_.emplace(std::string(account), keepers_by_zone{}).first;
    }
    zone_keepers& keepers = known->second[zone.name];
    if (keepers.hosts != zone.hosts) {
        keepers = {zone.hosts, choose_keepers(account, zone)};
    }
    return keepers.slots;
}

} // namespace dandelionmount
