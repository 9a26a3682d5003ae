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

/// Parses "IP:PORT"; an IPv6 address is enclosed in brackets.
[[nodiscard]] inline std::optional<network_address> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view number = text.substr(0, colon);
    if (number.size() > 2 && number.front() == '[' && number.back() == ']') {
        number = number.substr(1, number.size() - 2);
    }
    boost::system::error_code error;
    network_address address;
    address.ip = boost::asio::ip::make_address(number, error);
    const std::string_view port = text.substr(colon + 1);
    const auto parsed = std::from_chars(port.data(), port.data() + port.size(), address.port);
    if (error || parsed.ec != std::errc() || parsed.ptr != port.data() + port.size() || port.empty()) {
        return std::nullopt;
    }
    return address;
}

} // namespace dandelionmount

#endif
