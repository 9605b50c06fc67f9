#include "chaos/process_info.h"

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <sstream>

#include "artifacts/store.h"

namespace shunttrail::chaos {
namespace fs = std::filesystem;
namespace {

constexpr double kBytesPerMb = 1e6;
// Fields of /proc/PID/stat after the process name, numbered as in proc(5).
constexpr int kFirstFieldAfterName = 3;
constexpr int kUserTimeField = 14;

std::string read_proc(pid_t pid, const char* name) {
  return artifacts::read_file_or_empty(fs::path("/proc") / std::to_string(pid) / name);
}

bool is_process_number(const std::string& name) {
  return name.find_first_not_of("0123456789") == std::string::npos;
}

}  // namespace

std::vector<std::string> command_line_of(pid_t pid) {
  std::istringstream text(read_proc(pid, "cmdline"));
  std::vector<std::string> words;
  for (std::string word; std::getline(text, word, '\0');) words.push_back(word);
  return words;
}

double resident_mb(pid_t pid) {
  std::istringstream fields(read_proc(pid, "statm"));
  double total_pages = 0, resident_pages = 0;
  fields >> total_pages >> resident_pages;
  return resident_pages * static_cast<double>(::sysconf(_SC_PAGESIZE)) / kBytesPerMb;
}

double cpu_s(pid_t pid) {
  const std::string text = read_proc(pid, "stat");
  const auto name_end = text.rfind(')');  // the process name may itself contain ')' and blanks
  if (name_end == std::string::npos) return 0;
  std::istringstream fields(text.substr(name_end + 2));
  std::string skipped;
  for (int field = kFirstFieldAfterName; field < kUserTimeField; ++field) fields >> skipped;
  double user_ticks = 0, system_ticks = 0;
  fields >> user_ticks >> system_ticks;
  return (user_ticks + system_ticks) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

std::size_t count_processes_with(const std::string& text) {
  std::size_t count = 0;
  for (const auto& entry : fs::directory_iterator("/proc")) {
    const std::string name = entry.path().filename();
    if (!is_process_number(name)) continue;
    const pid_t pid = static_cast<pid_t>(std::stol(name));
    if (pid == ::getpid()) continue;
    const auto words = command_line_of(pid);
    count += std::any_of(words.begin(), words.end(), [&](const std::string& word) {
      return word.find(text) != std::string::npos;
    });
  }
  return count;
}

}  // namespace shunttrail::chaos
