#include "dandelionmount/version/configuration.h"

#include <algorithm>

namespace dandelionmount {

namespace {

// Binary search in entries sorted by name, so that lookups stay fast with many entries.
template <typename Entry, typename Name>
const Entry* find_by(const std::vector<Entry>& entries, std::string_view name, Name Entry::*member) {
    const auto found = std::lower_bound(
        entries.begin(), entries.end(), name,
        [member](const Entry& entry, std::string_view wanted) { return entry.*member < wanted; });
    return found != entries.end() && (*found).*member == name ? &*found : nullptr;
}

} // namespace

const account_settings* find_account(const configuration& config, std::string_view name) {
    return find_by(config.accounts, name, &account_settings::name);
}

const service_settings* find_service(const configuration& config, std::string_view name) {
    return find_by(config.services, name, &service_settings::name);
}

// Looks up each prefix of the path that ends at a segment boundary, the longest first.
const route_settings* find_route(const configuration& config, std::string_view path) {
    const std::string_view path_only = path.substr(0, path.find('?'));
    for (std::size_t length = std::min(path_only.size(), config.longest_prefix_bytes); length > 0; --length) {
        const bool ends_segment =
            length == path_only.size() || path_only[length] == '/' || path_only[length - 1] == '/';
        const auto* route = ends_segment
                                ? find_by(config.routes, path_only.substr(0, length), &route_settings::prefix)
                                : nullptr;
        if (route != nullptr) {
            return route;
        }
    }
    return nullptr;
}

} // namespace dandelionmount
