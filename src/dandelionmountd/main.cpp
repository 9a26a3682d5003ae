// The daemon, of which one process runs on each host.

#include "dandelionmount/process/store_settings.h"
#include "dandelionmountd/file_text.h"
#include "dandelionmountd/run_on_store.h"
#ifdef DANDELIONMOUNT_LOG_PLATFORM
#include "dandelionmountd/run_on_log.h"
#endif

#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>
#include <string>

DEFINE_string(settings, "",
              "TOML file with this process's settings; by default the one that DANDELIONMOUNT_CONFIG names");

namespace {

constexpr int exit_usage = 2;

std::string settings_path() {
    const char* path_from_environment = std::getenv("DANDELIONMOUNT_CONFIG");
    return FLAGS_settings.empty() && path_from_environment != nullptr ? path_from_environment
                                                                      : FLAGS_settings;
}

// Skips the destructors of static objects: the logging library would wait for its threads, which are not
// needed once the event loop has ended.
[[noreturn]] void end_process(int status) {
    std::cout.flush();
    std::quick_exit(status);
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("dandelionmountd --settings FILE");
    gflags::SetVersionString(DANDELIONMOUNT_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::string path = settings_path();
    const auto text = read_file(path);
    if (!text) {
        std::cerr << "--settings: " << path << " can't be read\n";
        return exit_usage;
    }
    if (dandelionmount::uses_record_store({path, *text})) {
        end_process(run_on_store(path, *text));
    }
#ifdef DANDELIONMOUNT_LOG_PLATFORM
    end_process(run_on_log(path, *text));
#else
    std::cerr << path << ": platform.store_address is needed; this build supports no other platform\n";
    return exit_usage;
#endif
}
