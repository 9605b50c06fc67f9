// What /proc tells about processes: command lines and resources.
#pragma once
#include <sys/types.h>

#include <string>
#include <vector>

namespace shunttrail::chaos {

/// The words of a process's command line; empty: there is no such process.
[[nodiscard]] std::vector<std::string> command_line_of(pid_t pid);
/// Its resident memory, in MB of 10^6 bytes.
[[nodiscard]] double resident_mb(pid_t pid);
/// The CPU time that it has used, in seconds.
[[nodiscard]] double cpu_s(pid_t pid);
/// How many processes, this one aside, have `text` in a word of their command line.
[[nodiscard]] std::size_t count_processes_with(const std::string& text);

}  // namespace shunttrail::chaos
