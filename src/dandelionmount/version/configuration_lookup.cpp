#include "dandelionmount/version/configuration.h"

#include <algorithm>

namespace dandelionmount {

namespace {

// Entries sorted by name, so that a request finds its own in few steps however many there are.
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

// Looks up each part of the path that ends with a segment, the longest first.
const route_settings* find_route(const configuration& config, std::string_view path) {
    const std::string_view plain = path.substr(0, path.find('?'));
    for (std::size_t length = std::min(plain.size(), config.longest_prefix_bytes); length > 0; --length) {
        const bool ends_segment = length == plain.size() || plain[length] == '/' || plain[length - 1] == '/';
        const auto* route =
            ends_segment ? find_by(config.routes, plain.substr(0, length), &route_settings::prefix) : nullptr;
        if (route != nullptr) {
            return route;
        }
    }
    return nullptr;
}

} // namespace dandelionmount
