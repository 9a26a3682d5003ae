#ifndef DANDELIONMOUNT_DANDELIONCTL_COMMANDS_H
#define DANDELIONMOUNT_DANDELIONCTL_COMMANDS_H

#include <string>
#include <vector>

namespace dandelionctl {

/// Exit codes of the tool; scripts may rely on the numbers.
enum class exit_code { done = 0, refused = 1, usage = 2, conflict = 3, unreachable = 4, undecided = 5 };

/// Options that all commands share.
struct command_options {
    /// Operator address of a node, "IP:PORT".
    std::string node;
    bool json{false};
    /// Timeout in milliseconds for a change to be decided, and again for all hosts to confirm it.
    int wait_ms{10000};
    /// Version of the document that a change is based on; -1 for the one in force.
    long long from_version{-1};
};

/// Usage message: the commands and their arguments.
[[nodiscard]] std::string usage_text();
/// Runs the command that `words` start with, the rest being its arguments; prints its result or error.
[[nodiscard]] exit_code run_command(const std::vector<std::string>& words, const command_options& options);

} // namespace dandelionctl

#endif
