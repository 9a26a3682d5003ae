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
    const auto [entry, fresh] = links_.try_emplace(address);
    if (fresh) {
        entry->second = std::make_shared<peer_link>(context_, address, address);
    }
    return entry->second;
}

void peer_directory::forget_gone() {
    std::erase_if(links_, [this](const auto& entry) {
        const auto member = members_.others.find(entry.first);
        const bool gone = member != members_.others.end() && member->second.state() != wire::member_alive;
        if (gone) {
            entry.second->stop();
        }
        return gone;
    });
}

void peer_directory::stop() {
    for (const auto& [host, link] : links_) {
        link->stop();
    }
}

} // namespace dandelionmount
