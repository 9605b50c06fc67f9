// Processes, file locks, and the clock for leases. A process is identified by its start time and
// boot in addition to its pid, because pids are reused.
#pragma once
#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace shunttrail::agent {

/// Returns the seconds of CLOCK_BOOTTIME. This clock continues while the machine is suspended, and
/// cannot be set.
[[nodiscard]] double boot_now();
/// Returns the id of the machine's current boot.
[[nodiscard]] std::string boot_id();

/// Owns a file descriptor.
class Fd {
 public:
  explicit Fd(int fd = -1) : fd_(fd) {}
  ~Fd();
  Fd(Fd&& other) noexcept : fd_(other.release()) {}
  Fd& operator=(Fd&& other) noexcept;
  [[nodiscard]] int get() const { return fd_; }
  /// Returns whether the object holds a descriptor.
  explicit operator bool() const { return fd_ >= 0; }
  /// Hands the descriptor to the caller; returns -1 if there is none.
  int release();

 private:
  int fd_;
};

/// The identity of a process. Its pid may be reused later, but not together with the same start
/// time in the same boot.
struct Identity {
  pid_t pid = 0;
  std::uint64_t start = 0;  ///< clock ticks since boot, of /proc/PID/stat
  std::string boot;
  friend bool operator==(const Identity&, const Identity&) = default;
};
/// Returns the identity of the process with this pid; `start` is 0 if there is none.
[[nodiscard]] Identity identity_of(pid_t pid);
/// Returns a pidfd of exactly that process, which becomes readable when the process ends. Returns
/// an empty Fd if the process has ended.
[[nodiscard]] Fd open_process(const Identity& identity);
/// Sends the signal. Returns false on failure, usually because the process has ended.
bool signal_process(const Fd& handle, int signal);

/// Returns the pids of the current children of `parent`. The pids of the caller's own children
/// cannot be reused until the caller has waited for them.
[[nodiscard]] std::vector<pid_t> children_of(pid_t parent);

/// The environment variable that identifies every process of a task, and the task's supervisor.
inline constexpr const char* kTaskDirVariable = "SHUNT_TASK_DIR";
/// Kills each process whose environment names the task directory `below`, or a directory below it.
/// Scans repeatedly until no such process is left. Returns false if some are left after
/// `max_scans`.
bool kill_task_processes(const std::filesystem::path& below, int max_scans = 200);

/// Takes an exclusive lock on a file, which is held until the object is destroyed or the process
/// ends. Returns nothing if another process holds the lock. Throws std::system_error.
[[nodiscard]] std::optional<Fd> try_lock(const std::filesystem::path& file);

}  // namespace shunttrail::agent
