#include "dandelionmountd/run_on_log.h"

#include "dandelionmount/process/clock.h"
#include "dandelionmount/process/log_client.h"
#include "dandelionmount/process/logging.h"
#include "dandelionmount/process/node.h"
#include "dandelionmount/process/settings.h"
#include "dandelionmountd/file_text.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <optional>

DEFINE_string(caller_address, "", "overrides host.caller_address");
DEFINE_string(peer_address, "", "overrides host.peer_address");
DEFINE_string(target_address, "", "overrides host.target_address");
DEFINE_string(operator_address, "", "overrides host.operator_address");
DEFINE_string(log_address, "", "overrides platform.log_address");
DEFINE_string(log_level, "", "overrides log.level: debug, info, warning or error");
DEFINE_string(without, "", "for benchmarks: mechanisms to disable, of guard,shares,allowance,settle");

namespace {

namespace asio = boost::asio;

constexpr int exit_usage = 2;
constexpr int exit_failed = 1;
constexpr std::size_t min_secret_bytes = 16;

bool override_address(std::string& address, const std::string& flag) {
    if (flag.empty()) {
        return true;
    }
    address = flag;
    if (!dandelionmount::is_address(flag)) {
        std::cerr << flag << ": an IP address, a colon and a port are needed\n";
        return false;
    }
    return true;
}

bool override_settings(dandelionmount::settings& node_settings) {
    if (!FLAGS_log_level.empty()) {
        node_settings.log_level = FLAGS_log_level;
    }
    return override_address(node_settings.caller_address, FLAGS_caller_address) &&
           override_address(node_settings.peer_address, FLAGS_peer_address) &&
           override_address(node_settings.target_address, FLAGS_target_address) &&
           override_address(node_settings.operator_address, FLAGS_operator_address) &&
           override_address(node_settings.platform_address, FLAGS_log_address);
}

// Disables the mechanisms that --without names.
void disable_mechanisms(dandelionmount::mechanism_switches& mechanisms) {
    const auto is_enabled = [](const char* name) { return FLAGS_without.find(name) == std::string::npos; };
    mechanisms.guard = is_enabled("guard");
    mechanisms.shares = is_enabled("shares");
    mechanisms.allowance = is_enabled("allowance");
    mechanisms.settle = is_enabled("settle");
}

std::optional<std::string> read_secret(const std::string& path) {
    auto secret = read_file(path);
    if (!secret || secret->size() < min_secret_bytes) {
        std::cerr << path << ": a file of at least " << min_secret_bytes << " bytes is needed\n";
        return std::nullopt;
    }
    return secret;
}

int run(const dandelionmount::settings& node_settings, std::string secret) {
    asio::io_context io(1);
    const dandelionmount::system_time_source time;
    dandelionmount::log_client log(node_settings.platform_address);
    dandelionmount::node node(io, node_settings, std::move(secret), log, time);
    const auto started = node.start();
    if (!started) {
        std::cerr << started.error().message << "\n";
        return exit_failed;
    }
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code& error, int) {
        if (!error) {
            asio::co_spawn(io, node.stop(), asio::detached);
        }
    });
    io.run();
    return EXIT_SUCCESS;
}

} // namespace

int run_on_log(const std::string& settings_path, const std::string& settings_text) {
    auto outcome = dandelionmount::read_settings({settings_path, settings_text});
    if (!outcome.value) {
        std::cerr << dandelionmount::to_text(outcome.errors);
        return exit_usage;
    }
    if (!override_settings(*outcome.value)) {
        return exit_usage;
    }
    disable_mechanisms(outcome.value->mechanisms);
    auto secret = read_secret(outcome.value->secret_file);
    if (!secret || !dandelionmount::start_logging(outcome.value->log_level)) {
        return exit_usage;
    }
    return run(*outcome.value, std::move(*secret));
}
