// Processes, known by identity and never by their number alone, file locks, and the clock that
// leases run on.
#pragma once
#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace shunttrail::agent {

/// Seconds of CLOCK_BOOTTIME: it goes on while the machine sleeps, and nobody can set it.
[[nodiscard]] double boot_now();
/// Names the machine's current boot.
[[nodiscard]] std::string boot_id();

/// Owns a file descriptor.
class Fd {
 public:
  explicit Fd(int fd = -1) : fd_(fd) {}
  ~Fd();
  Fd(Fd&& other) noexcept : fd_(other.release()) {}
  Fd& operator=(Fd&& other) noexcept;
  [[nodiscard]] int get() const { return fd_; }
  /// Whether there is one.
  explicit operator bool() const { return fd_ >= 0; }
  /// Gives the descriptor away; -1: there is none.
  int release();

 private:
  int fd_;
};

/// A process as it was at one moment: its number may be another's later, its start time in this
/// boot is not.
struct Identity {
  pid_t pid = 0;
  std::uint64_t start = 0;  ///< clock ticks since boot, of /proc/PID/stat
  std::string boot;
  friend bool operator==(const Identity&, const Identity&) = default;
};
/// `start` is 0 if there is no such process.
[[nodiscard]] Identity identity_of(pid_t pid);
/// A handle on exactly that process, readable when it has ended; none if it has.
[[nodiscard]] Fd open_process(const Identity& identity);
/// False: the signal could not be sent, mostly because the process has ended.
bool signal_process(const Fd& handle, int signal);

/// The processes that have `parent` as theirs now. Those of the caller itself stay its own until it
/// has waited for them, so their numbers can't be another's.
[[nodiscard]] std::vector<pid_t> children_of(pid_t parent);

/// The variable by which every process of a task, and its supervisor, is known.
inline constexpr const char* kTaskDirVariable = "SHUNT_TASK_DIR";
/// Kills each process whose environment names a task directory that is `below` or lies below it,
/// again and again until a scan finds none. False: some did not end within `max_scans`.
bool sweep(const std::filesystem::path& below, int max_scans = 200);

/// An exclusive lock on a file, held until the object or the process goes. Nothing: another has it.
/// Throws std::system_error.
[[nodiscard]] std::optional<Fd> try_lock(const std::filesystem::path& file);

}  // namespace shunttrail::agent
