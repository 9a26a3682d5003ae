#ifndef DANDELIONMOUNT_PROCESS_SHARE_OWNER_CACHE_H
#define DANDELIONMOUNT_PROCESS_SHARE_OWNER_CACHE_H

#include "dandelionmount/version/configuration.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionmount {

/// Caches which slots of a zone own shares of an account's rate, because each request needs them and choosing
/// them hashes every slot of the zone.
class share_owner_cache {
public:
    /// Numbers of the owner slots, highest weight first, as from choose_share_owners(). The reference is
    /// valid until the next call.
    [[nodiscard]] const std::vector<std::uint32_t>& find(std::string_view account, const zone_settings& zone);
    [[nodiscard]] std::size_t size() const { return accounts_.size(); }

private:
    struct zone_owners {
        /// Number of hosts in the zone when the slots were chosen.
        std::uint32_t hosts{0};
        std::vector<std::uint32_t> slots;
    };
    using owners_by_zone = std::map<std::string, zone_owners, std::less<>>;

    std::map<std::string, owners_by_zone, std::less<>> accounts_;
};

} // namespace dandelionmount

#endif
