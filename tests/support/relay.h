#ifndef DANDELIONMOUNT_TESTS_SUPPORT_RELAY_H
#define DANDELIONMOUNT_TESTS_SUPPORT_RELAY_H

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>
#include <string>

namespace tests {

/// TCP proxy that can close its connections or discard their traffic.
class relay {
public:
    /// `destination` is the "IP:PORT" to connect to.
    relay(boost::asio::any_io_executor executor, std::string destination);
    /// Listens on a free port of 127.0.0.1 and returns the address.
    std::string listen();
    /// Closes all open connections.
    void cut_connections();
    /// Discards all further traffic on the open connections, without closing them; new connections work.
    void drop_traffic();
    /// Stops listening and closes all open connections.
    void stop();

private:
    struct connection_pair {
        explicit connection_pair(const boost::asio::any_io_executor& executor)
            : downstream(executor), upstream(executor) {}
        boost::asio::ip::tcp::socket downstream;
        boost::asio::ip::tcp::socket upstream;
        bool drops_traffic{false};
    };
    using connection_pair_pointer = std::shared_ptr<connection_pair>;

    boost::asio::awaitable<void> accept_connections();
    boost::asio::awaitable<void> copy(connection_pair_pointer relayed, boost::asio::ip::tcp::socket& from,
                                      boost::asio::ip::tcp::socket& to);

    boost::asio::any_io_executor executor_;
    std::string destination_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::set<connection_pair_pointer> pairs_;
};

} // namespace tests

#endif
