#ifndef DANDELIONMOUNT_PROCESS_LOGGING_H
#define DANDELIONMOUNT_PROCESS_LOGGING_H

#include <initializer_list>
#include <string>
#include <string_view>

namespace dandelionmount {

enum class log_level { debug, info, warning, error };

/// A named value of a log line. Must never hold the key of a client account.
struct log_field {
    std::string_view name;
    std::string value;
};

/// Starts to write log lines of that level and above to standard output; lines that can't be written without
/// blocking are dropped and counted. Levels: "debug", "info", "warning", "error". Returns false for any other
/// text.
bool start_logging(std::string_view level);

/// Whether events of that level are written.
[[nodiscard]] bool is_log_enabled(log_level level);

/// Writes an event as one line: its name, then `name=value` for each field. The number of lines per second is
/// limited for each event; the next line that is written says how many were left out.
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

} // namespace dandelionmount

#endif
