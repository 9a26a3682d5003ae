#include "dandelionmount/process/peer_directory.h"

namespace dandelionmount {

peer_directory::peer_directory(peer_link_context context, const member_table& members)
    : context_(std::move(context)), members_(members) {}

std::shared_ptr<peer_link> peer_directory::find(std::string_view host) {
    const auto member = members_.others.find(host);
    if (member == members_.others.end()) {
        return nullptr;
    }
    const auto found = links_.find(host);
    if (found != links_.end() && found->second->address() == member->second.address()) {
        return found->second;
    }
    if (found != links_.end()) {
        found->second->retire();
    }
    auto link = std::make_shared<peer_link>(context_, std::string(host), member->second.address());
    links_.insert_or_assign(std::string(host), link);
    return link;
}

std::shared_ptr<peer_link> peer_directory::find_address(const std::string& address) {
    for (const auto& [host, member] : members_.others) {
        if (member.address() == address && member.state() == wire::member_alive) {
            return find(host);
        }
    }
    const auto [entry, inserted] = links_.try_emplace(address);
    if (inserted) {
        entry->second = std::make_shared<peer_link>(context_, address, address);
    }
    return entry->second;
}

void peer_directory::keep_connected() {
    for (const auto& [host, member] : members_.others) {
        if (member.state() == wire::member_alive) {
            find(host)->keep_connected();
        }
    }
}

bool peer_directory::is_connected(std::string_view host) const {
    const auto found = links_.find(host);
    return found != links_.end() && found->second->is_connected();
}

void peer_directory::close_gone_links() {
    std::erase_if(links_, [this](const auto& entry) {
        const auto member = members_.others.find(entry.first);
        const bool unknown =
            member == members_.others.end() && entry.second->host() != entry.second->address();
        const bool gone =
            unknown || (member != members_.others.end() && member->second.state() != wire::member_alive);
        if (gone) {
            // Retired instead of closed, since the last replies of a host that left may still be unread.
            entry.second->retire();
        }
        return gone;
    });
}

void peer_directory::announce_stop() {
    for (const auto& [host, link] : links_) {
        link->announce_stop();
    }
}

void peer_directory::stop() {
    for (const auto& [host, link] : links_) {
        link->stop();
    }
}

} // namespace dandelionmount
