#ifndef DANDELIONMOUNT_CONNECTION_ADDRESS_H
#define DANDELIONMOUNT_CONNECTION_ADDRESS_H

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dandelionmount {

/// An IP address and a port.
struct network_address {
    boost::asio::ip::address ip;
    std::uint16_t port{0};
};

/// Parses "IP:PORT", where an IPv6 address may be in brackets; nullopt for any other form.
[[nodiscard]] inline std::optional<network_address> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view ip_text = text.substr(0, colon);
    if (ip_text.size() > 2 && ip_text.front() == '[' && ip_text.back() == ']') {
        ip_text = ip_text.substr(1, ip_text.size() - 2);
    }
    boost::system::error_code error;
    network_address address;
    address.ip = boost::asio::ip::make_address(ip_text, error);
    const std::string_view port_text = text.substr(colon + 1);
    const auto parsed = std::from_chars(port_text.data(), port_text.data() + port_text.size(), address.port);
    if (error || parsed.ec != std::errc() || parsed.ptr != port_text.data() + port_text.size() ||
        port_text.empty()) {
        return std::nullopt;
    }
    return address;
}

} // namespace dandelionmount

#endif
