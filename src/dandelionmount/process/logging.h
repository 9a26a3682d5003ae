#ifndef DANDELIONMOUNT_PROCESS_LOGGING_H
#define DANDELIONMOUNT_PROCESS_LOGGING_H

#include <initializer_list>
#include <string>
#include <string_view>

namespace dandelionmount {

enum class log_level { debug, info, warning, error };

/// A named value of a log line. Never a key.
struct log_field {
    std::string_view name;
    std::string value;
};

/// Sends log lines of that level and above to the standard error stream.
/// Levels: "debug", "info", "warning", "error". Returns false for any other text.
bool start_logging(std::string_view level);

/// Writes one event as one line: its name, then `name=value` for each field.
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

} // namespace dandelionmount

#endif
