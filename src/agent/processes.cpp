#include "agent/processes.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/file.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <cstring>
#include <fstream>
#include <sstream>
#include <system_error>
#include <utility>

#include "artifacts/store.h"

namespace shunttrail::agent {
namespace fs = std::filesystem;

double boot_now() {
  timespec time;
  clock_gettime(CLOCK_BOOTTIME, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

std::string boot_id() {
  std::string id;
  std::ifstream("/proc/sys/kernel/random/boot_id") >> id;
  return id;
}

Fd::~Fd() {
  if (fd_ >= 0) ::close(fd_);
}

Fd& Fd::operator=(Fd&& other) noexcept {
  if (this != &other) {
    if (fd_ >= 0) ::close(fd_);
    fd_ = other.release();
  }
  return *this;
}

int Fd::release() { return std::exchange(fd_, -1); }

namespace {

constexpr useconds_t kScanIntervalUs = 5000;

// Fields of /proc/PID/stat, numbered as in proc(5).
constexpr int kFieldAfterParent = 5;
constexpr int kFieldOfStart = 22;

struct ProcessStat {
  std::string state;
  pid_t parent = 0;
  std::uint64_t start = 0;  // clock ticks since boot
  bool has_ended() const { return state == "Z" || state == "X"; }
};

fs::path proc_file(pid_t pid, const char* name) {
  return fs::path("/proc") / std::to_string(pid) / name;
}

std::optional<ProcessStat> stat_of(pid_t pid) {
  const std::string text = artifacts::read_file_or_empty(proc_file(pid, "stat"));
  const auto name_end = text.rfind(')');  // the name before it may contain any character
  if (name_end == std::string::npos) return std::nullopt;
  std::istringstream fields(text.substr(name_end + 2));
  ProcessStat stat;
  fields >> stat.state >> stat.parent;
  std::string skipped;
  for (int field = kFieldAfterParent; field < kFieldOfStart; ++field) fields >> skipped;
  fields >> stat.start;
  return stat;
}

// Returns the process's start time, or 0 if there is no such process or it is a zombie.
std::uint64_t start_of(pid_t pid) {
  const auto stat = stat_of(pid);
  return stat && !stat->has_ended() ? stat->start : 0;
}

// Calls `visit` with the pid of every process.
template <class Visit>
void each_process(Visit visit) {
  std::error_code error;
  for (fs::directory_iterator it("/proc", error), end; !error && it != end; it.increment(error)) {
    const std::string name = it->path().filename();
    if (name.find_first_not_of("0123456789") == std::string::npos)
      visit(static_cast<pid_t>(std::stol(name)));
  }
}

Fd open_pidfd(pid_t pid) { return Fd(static_cast<int>(::syscall(SYS_pidfd_open, pid, 0))); }

// Returns whether the process's environment has this entry, or the same variable with a path below
// the entry's value.
bool has_variable(pid_t pid, const std::string& entry) {
  const std::string environment = artifacts::read_file_or_empty(proc_file(pid, "environ"));
  for (std::size_t at = 0; at < environment.size();) {
    const std::string_view variable(environment.c_str() + at);
    if (variable.starts_with(entry) &&
        (variable.size() == entry.size() || variable[entry.size()] == '/'))
      return true;
    at += variable.size() + 1;
  }
  return false;
}

// Kills all processes whose environment has the entry. Returns false if there was none.
bool kill_all_with(const std::string& entry) {
  const pid_t self = ::getpid();
  bool found = false;
  each_process([&](pid_t pid) {
    if (pid == self) return;
    // The pidfd is opened first, so that the environment and start time read afterwards belong to
    // the process that is signalled.
    const Fd handle = open_pidfd(pid);
    if (!handle || !has_variable(pid, entry) || start_of(pid) == 0) return;
    found = true;
    signal_process(handle, SIGKILL);
  });
  return found;
}

}  // namespace

Identity identity_of(pid_t pid) { return {pid, start_of(pid), boot_id()}; }

Fd open_process(const Identity& identity) {
  if (identity.pid <= 0 || identity.boot != boot_id()) return Fd();
  Fd handle = open_pidfd(identity.pid);
  // The pidfd refers to the process that has the pid now. The start time is compared after it has
  // been opened, so that the pid cannot be reused in between.
  if (!handle || start_of(identity.pid) != identity.start || identity.start == 0) return Fd();
  return handle;
}

bool signal_process(const Fd& handle, int signal) {
  return handle && ::syscall(SYS_pidfd_send_signal, handle.get(), signal, nullptr, 0) == 0;
}

bool kill_task_processes(const fs::path& below, int max_scans) {
  const std::string entry = std::string(kTaskDirVariable) + "=" + below.string();
  for (int scan = 0; scan < max_scans; ++scan) {
    if (!kill_all_with(entry)) return true;
    ::usleep(kScanIntervalUs);
  }
  return false;
}

std::vector<pid_t> children_of(pid_t parent) {
  std::vector<pid_t> children;
  each_process([&](pid_t pid) {
    if (auto stat = stat_of(pid); stat && stat->parent == parent) children.push_back(pid);
  });
  return children;
}

std::optional<Fd> try_lock(const fs::path& file) {
  Fd fd(::open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644));
  if (!fd) throw std::system_error(errno, std::generic_category(), file.string());
  while (::flock(fd.get(), LOCK_EX | LOCK_NB) != 0) {
    if (errno == EINTR) continue;
    if (errno == EWOULDBLOCK) return std::nullopt;
    throw std::system_error(errno, std::generic_category(), file.string());
  }
  return fd;
}

}  // namespace shunttrail::agent
