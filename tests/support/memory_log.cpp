#include "tests/support/memory_log.h"

#include "dandelionmount/connection/async_event.h"

#include <algorithm>
#include <boost/asio/this_coro.hpp>

namespace tests {

namespace asio = boost::asio;

asio::awaitable<dandelionmount::result<std::uint64_t>> memory_log::append(std::string record) {
    if (down) {
        co_return dandelionmount::failure{"down"};
    }
    ++appends;
    const std::uint64_t offset = store.append(std::move(record));
    if (drops_responses) {
        co_return dandelionmount::failure{"lost"};
    }
    co_return offset;
}

asio::awaitable<dandelionmount::result<dandelionmount::log_records>>
memory_log::read(std::uint64_t from, dandelionmount::duration wait) {
    constexpr auto poll_interval = std::chrono::milliseconds(2);
    constexpr std::size_t max_records = 50;
    const auto executor = co_await asio::this_coro::executor;
    const auto deadline = std::chrono::steady_clock::now() + wait;
    while (!down && store.next() <= from && std::chrono::steady_clock::now() < deadline) {
        co_await dandelionmount::sleep_for(executor, poll_interval);
    }
    if (down) {
        co_return dandelionmount::failure{"down"};
    }
    const std::uint64_t begin = std::max(from, store.first());
    co_return dandelionmount::log_records{store.first(), store.next(), begin, store.read(begin, max_records)};
}

} // namespace tests
