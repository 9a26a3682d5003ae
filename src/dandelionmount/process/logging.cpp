#include "dandelionmount/process/logging.h"

#include "dandelionmount/process/clock.h"
#include "dandelionmount/process/result.h"

#include <cstdlib>
#include <iostream>
#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <map>
#include <memory>
#include <sstream>
#include <poll.h>
#include <unistd.h>

namespace dandelionmount {

namespace {

const std::map<std::string_view, log4cplus::LogLevel> level_names = {
    {"debug", log4cplus::DEBUG_LOG_LEVEL},
    {"info", log4cplus::INFO_LOG_LEVEL},
    {"warning", log4cplus::WARN_LOG_LEVEL},
    {"error", log4cplus::ERROR_LOG_LEVEL},
};

log4cplus::LogLevel library_level(log_level level) {
    switch (level) {
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

// Keeps an event on one line and a value in one word, whatever a caller sends.
std::string sanitize_value(std::string_view value) {
    std::string sanitized;
    for (const char raw : value) {
        const bool control = static_cast<unsigned char>(raw) < 0x20;
        sanitized.push_back(control || raw == ' ' ? '_' : raw);
    }
    return sanitized;
}

bool logging_started = false;

// Lines of one event per window. An overload refuses far more requests than are worth a line each.
constexpr std::uint32_t max_lines_per_event = 20;
constexpr duration window_length = std::chrono::seconds(1);

// Lines of one event in the current window.
struct event_window {
    steady_time began;
    std::uint32_t lines{0};
    std::uint64_t left_out{0};
};

std::map<std::string, event_window, std::less<>>& event_windows() {
    static std::map<std::string, event_window, std::less<>> windows;
    return windows;
}

event_window& window_of(std::string_view event) {
    auto& windows = event_windows();
    const auto found = windows.find(event);
    return found != windows.end() ? found->second : windows[std::string(event)];
}

// Counts the line; false when the window has reached its limit.
bool try_count_line(event_window& window) {
    const auto now = std::chrono::steady_clock::now();
    if (now - window.began >= window_length) {
        window.began = now;
        window.lines = 0;
    }
    ++window.lines;
    if (window.lines > max_lines_per_event) {
        ++window.left_out;
        return false;
    }
    return true;
}

// Writes to standard output if that does not block, and counts the lines that it dropped.
class output_appender : public log4cplus::Appender {
public:
    output_appender() = default;
    output_appender(const output_appender&) = delete;
    output_appender& operator=(const output_appender&) = delete;
    ~output_appender() override { destructorImpl(); }
    void close() override { closed = true; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& log_entry) override {
        std::ostringstream text;
        layout->formatAndAppend(text, log_entry);
        std::string line = text.str();
        if (dropped_lines_ > 0) {
            line.insert(0, "lines lost count=" + std::to_string(dropped_lines_) + "\n");
        }
        // A writable pipe accepts this many bytes (PIPE_BUF) without blocking.
        line.resize(std::min<std::size_t>(line.size(), max_line_bytes));
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        const bool writable = ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
        if (writable &&
            ::write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size())) {
            dropped_lines_ = 0;
        } else {
            ++dropped_lines_;
        }
    }

private:
    static constexpr std::size_t max_line_bytes = 4096;
    std::uint64_t dropped_lines_{0};
};

} // namespace

bool start_logging(std::string_view level) {
    const auto found = level_names.find(level);
    if (found == level_names.end()) {
        return false;
    }
    static log4cplus::Initializer initializer;
    auto root = log4cplus::Logger::getRoot();
    log4cplus::SharedAppenderPtr appender(new output_appender);
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%q} %p %m%n"));
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(found->second);
    logging_started = true;
    return true;
}

bool is_log_enabled(log_level level) {
    return logging_started && log4cplus::Logger::getRoot().isEnabledFor(library_level(level));
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields) {
    if (!is_log_enabled(level)) {
        return;
    }
    event_window& window = window_of(event);
    if (!try_count_line(window)) {
        return;
    }
    std::string line(event);
    for (const auto& field : fields) {
        line.append(" ").append(field.name).append("=").append(sanitize_value(field.value));
    }
    if (window.left_out > 0) {
        line.append(" left_out=").append(std::to_string(window.left_out));
        window.left_out = 0;
    }
    log4cplus::Logger::getRoot().log(library_level(level), line);
}

void invariant_broken(const char* condition, const char* file, int line) {
    std::cerr << "invariant broken: " << condition << " at " << file << ":" << line << std::endl;
    std::abort();
}

} // namespace dandelionmount
