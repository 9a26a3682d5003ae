#ifndef DANDELIONMOUNTD_RUN_ON_STORE_H
#define DANDELIONMOUNTD_RUN_ON_STORE_H

#include <string>

/// Runs the daemon on a platform with a record store until SIGTERM or SIGINT; returns the exit status.
[[nodiscard]] int run_on_store(const std::string& settings_path, const std::string& settings_text);

#endif
