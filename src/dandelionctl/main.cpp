// Command-line tool for operators.

#include "dandelionctl/commands.h"

#include <gflags/gflags.h>
#include <string>
#include <vector>

DEFINE_string(node, "127.0.0.1:7002", "operator address of a node");
DEFINE_bool(json, false, "print JSON");
DEFINE_int32(wait_ms, 10000,
             "milliseconds to wait for a change to be decided, and again for it to be confirmed");
DEFINE_int64(from_version, -1, "version that a change is based on; by default the one in force");

int main(int argc, char** argv) {
    gflags::SetUsageMessage(dandelionctl::usage_text());
    gflags::SetVersionString(DANDELIONMOUNT_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::vector<std::string> words(argv + 1, argv + argc);
    const dandelionctl::command_options options{FLAGS_node, FLAGS_json, FLAGS_wait_ms, FLAGS_from_version};
    return static_cast<int>(dandelionctl::run_command(words, options));
}
