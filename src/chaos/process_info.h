// Command lines and resource use of processes, read from /proc.
#pragma once
#include <sys/types.h>

#include <string>
#include <vector>

namespace shunttrail::chaos {

/// Returns the words of a process's command line, or nothing if there is no such process.
[[nodiscard]] std::vector<std::string> command_line_of(pid_t pid);
/// Returns a process's resident memory, in MB of 10^6 bytes.
[[nodiscard]] double resident_mb(pid_t pid);
/// Returns the CPU time that a process has used, in seconds.
[[nodiscard]] double cpu_s(pid_t pid);
/// Returns the number of processes, except this one, with `text` in a word of their command line.
[[nodiscard]] std::size_t count_processes_with(const std::string& text);

}  // namespace shunttrail::chaos
