#ifndef DANDELIONMOUNT_PROCESS_PEER_DIRECTORY_H
#define DANDELIONMOUNT_PROCESS_PEER_DIRECTORY_H

#include "dandelionmount/connection/peer_link.h"
#include "dandelionmount/process/membership.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace dandelionmount {

/// The links to other hosts, opened when they are first needed.
class peer_directory {
public:
    peer_directory(peer_link_context context, const member_table& members);

    /// The link to a host that is known; nullptr for any other.
    [[nodiscard]] std::shared_ptr<peer_link> find(std::string_view host);
    /// The link to an address of which no more is known.
    [[nodiscard]] std::shared_ptr<peer_link> find_address(const std::string& address);
    /// Opens the links to all living hosts in the background, and again when they are lost.
    void keep_connected();
    /// Whether the connection to the host is there now.
    [[nodiscard]] bool is_connected(std::string_view host) const;
    /// Closes links to hosts that are gone.
    void close_gone_links();
    void stop();

private:
    peer_link_context context_;
    const member_table& members_;
    std::map<std::string, std::shared_ptr<peer_link>, std::less<>> links_;
};

} // namespace dandelionmount

#endif
