// Processes by identity, never by number alone, and the clock that leases run on.
#pragma once
#include <sys/types.h>

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace shunttrail::agent {

// Seconds of CLOCK_BOOTTIME: it goes on while the machine sleeps, and nobody can set it.
double boot_now();
std::string boot_id();

class Fd {
 public:
  explicit Fd(int fd = -1) : fd_(fd) {}
  ~Fd();
  Fd(Fd&& o) noexcept : fd_(o.release()) {}
  Fd& operator=(Fd&& o) noexcept;
  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  int release();

 private:
  int fd_;
};

// A process as it was at one moment: its number may be another's later, its start time in this
// boot is not.
struct Identity {
  pid_t pid = 0;
  std::uint64_t start = 0;  // clock ticks since boot, of /proc/PID/stat
  std::string boot;
  friend bool operator==(const Identity&, const Identity&) = default;
};
Identity identity_of(pid_t pid);  // start 0: no such process
// A handle on exactly that process, readable when it has ended; nothing if it has.
Fd open_process(const Identity& id);
bool signal_process(const Fd& handle, int signal);

// The processes that have `parent` as theirs now. Those of the caller itself stay its own until it
// has waited for them, so their numbers can't be another's.
std::vector<pid_t> children_of(pid_t parent);

// The variable by which every process of a task, and its supervisor, is known.
inline constexpr const char* kTaskDirVariable = "SHUNT_TASK_DIR";
// Kills each process whose environment names a task directory that is `below` or lies below it,
// again and again until a look finds none. False: some did not go within `tries` looks.
bool sweep(const std::filesystem::path& below, int tries = 200);

// An exclusive lock on a file, held until the object or the process goes. Nothing: another has it.
std::optional<Fd> try_lock(const std::filesystem::path& file);

}  // namespace shunttrail::agent
