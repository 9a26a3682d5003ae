#include "dandelionmount/process/logging.h"

#include "dandelionmount/process/result.h"

#include <cstdlib>
#include <iostream>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <map>
#include <memory>

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

// Keeps an event on one line and a value in one word, whatever a caller put into it.
std::string quote_value(std::string_view value) {
    std::string quoted;
    for (const char raw : value) {
        const bool control = static_cast<unsigned char>(raw) < 0x20;
        quoted.push_back(control || raw == ' ' ? '_' : raw);
    }
    return quoted;
}

bool logging_started = false;

} // namespace

bool start_logging(std::string_view level) {
    const auto found = level_names.find(level);
    if (found == level_names.end()) {
        return false;
    }
    static log4cplus::Initializer initializer;
    auto root = log4cplus::Logger::getRoot();
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%q} %p %m%n"));
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(found->second);
    logging_started = true;
    return true;
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields) {
    if (!logging_started) {
        return;
    }
    auto logger = log4cplus::Logger::getRoot();
    if (!logger.isEnabledFor(library_level(level))) {
        return;
    }
    std::string line(event);
    for (const auto& field : fields) {
        line.append(" ").append(field.name).append("=").append(quote_value(field.value));
    }
    logger.log(library_level(level), line);
}

void invariant_broken(const char* condition, const char* file, int line) {
    std::cerr << "invariant broken: " << condition << " at " << file << ":" << line << std::endl;
    std::abort();
}

} // namespace dandelionmount
