#ifndef DANDELIONMOUNTD_RUN_ON_LOG_H
#define DANDELIONMOUNTD_RUN_ON_LOG_H

#include <string>

/// Runs the daemon on a platform with an append-only log until SIGTERM or SIGINT; returns the exit status.
[[nodiscard]] int run_on_log(const std::string& settings_path, const std::string& settings_text);

#endif
