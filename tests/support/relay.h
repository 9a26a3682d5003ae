#ifndef DANDELIONMOUNT_TESTS_SUPPORT_RELAY_H
#define DANDELIONMOUNT_TESTS_SUPPORT_RELAY_H

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>
#include <string>

namespace tests {

/// Passes TCP connections on to another address, and can break them.
class relay {
public:
    relay(boost::asio::any_io_executor executor, std::string to);
    /// Listens on a free port of 127.0.0.1 and returns the address.
    std::string listen();
    /// Closes all connections that are open.
    void cut();
    /// Swallows for good all that arrives on the connections that are open; new ones work.
    void silence();
    void stop();

private:
    struct pair {
        explicit pair(const boost::asio::any_io_executor& executor) : near(executor), far(executor) {}
        boost::asio::ip::tcp::socket near;
        boost::asio::ip::tcp::socket far;
        bool silent{false};
    };
    using pair_pointer = std::shared_ptr<pair>;

    boost::asio::awaitable<void> accept_connections();
    boost::asio::awaitable<void> copy(pair_pointer one, boost::asio::ip::tcp::socket& from,
                                      boost::asio::ip::tcp::socket& to);

    boost::asio::any_io_executor executor_;
    std::string to_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::set<pair_pointer> pairs_;
};

} // namespace tests

#endif
