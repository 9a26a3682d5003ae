#ifndef DANDELIONMOUNT_PROCESS_SHARE_OWNER_CACHE_H
#define DANDELIONMOUNT_PROCESS_SHARE_OWNER_CACHE_H

#include "dandelionmount/version/configuration.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionmount {

/// Remembers which slots of a zone keep shares of an account: choosing them hashes every slot of the zone,
/// and each request needs them.
class share_owner_cache {
public:
    /// Numbers of the keeper slots, best first; the same as choose_keepers().
    [[nodiscard]] const std::vector<std::uint32_t>& find(std::string_view account, const zone_settings& zone);
    [[nodiscard]] std::size_t size() const { return accounts_.size(); }

private:
    struct zone_keepers {
        /// Hosts of the zone when the slots were chosen.
        std::uint32_t hosts{0};
        std::vector<std::uint32_t> slots;
    };
    using keepers_by_zone = std::map<std::string, zone_keepers, std::less<>>;

    std::map<std::string, keepers_by_zone, std::less<>> accounts_;
};

} // namespace dandelionmount

#endif
