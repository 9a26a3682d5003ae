#include "dandelionmount/process/share_owner_cache.h"

#include "dandelionmount/process/token_share.h"

namespace dandelionmount {

namespace {

// At this size the cache is cleared and refilled on demand; about 5 MB for 32 zones.
constexpr std::size_t max_accounts = 1000;

} // namespace

const std::vector<std::uint32_t>& share_owner_cache::find(std::string_view account,
                                                          const zone_settings& zone) {
    auto cached = accounts_.find(account);
    if (cached == accounts_.end()) {
        if (accounts_.size() >= max_accounts) {
            accounts_.clear();
        }
        cached = accounts_.emplace(std::string(account), owners_by_zone{}).first;
    }
    zone_owners& owners = cached->second[zone.name];
    if (owners.hosts != zone.hosts) {
        owners = {zone.hosts, choose_share_owners(account, zone)};
    }
    return owners.slots;
}

} // namespace dandelionmount
