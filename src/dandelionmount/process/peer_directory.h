#ifndef DANDELIONMOUNT_PROCESS_PEER_DIRECTORY_H
#define DANDELIONMOUNT_PROCESS_PEER_DIRECTORY_H

#include "dandelionmount/connection/peer_link.h"
#include "dandelionmount/process/membership.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace dandelionmount {

/// Links to other hosts, opened on first use.
class peer_directory {
public:
    peer_directory(peer_link_context context, const member_table& members);

    /// The link to a known host; nullptr for any other.
    [[nodiscard]] std::shared_ptr<peer_link> find(std::string_view host);
    /// The link to an address whose host may not be known.
    [[nodiscard]] std::shared_ptr<peer_link> find_address(const std::string& address);
    /// Opens the links to all hosts that are alive, in the background, and reopens lost ones.
    void keep_connected();
    /// Whether the connection to the host is open now.
    [[nodiscard]] bool is_connected(std::string_view host) const;
    /// Closes links to hosts that are no longer alive or known.
    void close_gone_links();
    /// Tells all hosts when this process ends.
    void announce_stop();
    void stop();

private:
    peer_link_context context_;
    const member_table& members_;
    std::map<std::string, std::shared_ptr<peer_link>, std::less<>> links_;
};

} // namespace dandelionmount

#endif
