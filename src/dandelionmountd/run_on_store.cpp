#include "dandelionmountd/run_on_store.h"

#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/process/clock.h"
#include "dandelionmount/process/logging.h"
#include "dandelionmount/process/store_node.h"
#include "dandelionmount/process/store_settings.h"
#include "dandelionmountd/file_text.h"
#include "platform/adapter.h"
#include "platform/http_record_store.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

namespace asio = boost::asio;

constexpr int exit_usage = 2;
constexpr int exit_failed = 1;

// Reads the settings file again and applies its log level; the other settings apply only from the start of
// the process. Invalid settings change nothing.
void reload_log_level(const std::string& path) {
    const auto text = read_file(path);
    const auto outcome = dandelionmount::read_store_settings({path, text.value_or("")});
    if (!text || !outcome.value || !dandelionmount::start_logging(outcome.value->log_level)) {
        dandelionmount::log_event(dandelionmount::log_level::error, "settings refused",
                                  {{"file", path}, {"cause", dandelionmount::to_text(outcome.errors)}});
        return;
    }
    dandelionmount::log_event(dandelionmount::log_level::info, "settings read again",
                              {{"file", path}, {"level", outcome.value->log_level}});
}

asio::awaitable<void> handle_reload_signals(asio::signal_set& reload_signals, std::string path) {
    while (true) {
        const auto [error, number] = co_await reload_signals.async_wait(dandelionmount::as_result);
        if (error) {
            co_return;
        }
        reload_log_level(path);
    }
}

} // namespace

int run_on_store(const std::string& settings_path, const std::string& settings_text) {
    const auto outcome = dandelionmount::read_store_settings({settings_path, settings_text});
    if (!outcome.value) {
        std::cerr << dandelionmount::to_text(outcome.errors);
        return exit_usage;
    }
    if (!dandelionmount::start_logging(outcome.value->log_level)) {
        return exit_usage;
    }
    asio::io_context io(1);
    const dandelionmount::system_time_source time;
    platform::http_record_store store(outcome.value->store_address);
    dandelionmount::store_node node(io, *outcome.value, platform::make_adapter(), store, time);
    asio::signal_set reload_signals(io, SIGHUP);
    asio::co_spawn(io, handle_reload_signals(reload_signals, settings_path), asio::detached);
    asio::signal_set stop_signals(io, SIGTERM, SIGINT);
    stop_signals.async_wait([&](const boost::system::error_code& error, int) {
        if (!error) {
            asio::co_spawn(io, node.stop(), asio::detached);
        }
    });
    const auto started = node.start();
    if (!started) {
        std::cerr << started.error().message << "\n";
        return exit_failed;
    }
    io.run();
    return EXIT_SUCCESS;
}
