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
  timespec t;
  clock_gettime(CLOCK_BOOTTIME, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) / 1e9;
}

std::string boot_id() {
  std::string id;
  std::ifstream("/proc/sys/kernel/random/boot_id") >> id;
  return id;
}

Fd::~Fd() {
  if (fd_ >= 0) ::close(fd_);
}
Fd& Fd::operator=(Fd&& o) noexcept {
  if (this != &o) {
    if (fd_ >= 0) ::close(fd_);
    fd_ = o.release();
  }
  return *this;
}
int Fd::release() { return std::exchange(fd_, -1); }

namespace {
struct Stat {
  std::string state;
  pid_t parent = 0;
  std::uint64_t start = 0;
};
std::optional<Stat> stat_of(pid_t pid) {
  std::string s = artifacts::read_whole("/proc/" + std::to_string(pid) + "/stat");
  auto close = s.rfind(')');  // the name before it may hold anything
  if (close == std::string::npos) return std::nullopt;
  std::istringstream in(s.substr(close + 2));
  Stat out;
  in >> out.state >> out.parent;  // fields 3 and 4
  std::string skipped;
  for (int i = 5; i < 22; ++i) in >> skipped;
  in >> out.start;
  return out;
}

// 0: there is none, or it has ended and only waits to be read.
std::uint64_t start_of(pid_t pid) {
  auto s = stat_of(pid);
  return s && s->state != "Z" && s->state != "X" ? s->start : 0;
}

// Every process number there is.
template <class F>
void each_process(F f) {
  std::error_code gone;
  for (fs::directory_iterator it("/proc", gone), end; !gone && it != end; it.increment(gone)) {
    const std::string name = it->path().filename();
    if (name.find_first_not_of("0123456789") == std::string::npos)
      f(static_cast<pid_t>(std::stol(name)));
  }
}
}  // namespace

Identity identity_of(pid_t pid) { return {pid, start_of(pid), boot_id()}; }

Fd open_process(const Identity& id) {
  if (id.pid <= 0 || id.boot != boot_id()) return Fd();
  Fd fd(static_cast<int>(::syscall(SYS_pidfd_open, id.pid, 0)));
  // The handle stands for whoever has the number now; only then is it looked at who that is.
  if (!fd || start_of(id.pid) != id.start || id.start == 0) return Fd();
  return fd;
}

bool signal_process(const Fd& handle, int signal) {
  return handle && ::syscall(SYS_pidfd_send_signal, handle.get(), signal, nullptr, 0) == 0;
}

bool sweep(const fs::path& below, int tries) {
  const std::string exact = std::string(kTaskDirVariable) + "=" + below.string();
  const pid_t self = ::getpid();
  for (int round = 0; round < tries; ++round) {
    bool any = false;
    each_process([&](pid_t pid) {
      if (pid == self) return;
      Fd handle(static_cast<int>(::syscall(SYS_pidfd_open, pid, 0)));
      if (!handle) return;
      std::string env = artifacts::read_whole("/proc/" + std::to_string(pid) + "/environ");
      bool mine = false;
      for (std::size_t at = 0; at < env.size() && !mine;) {
        std::string_view v(env.c_str() + at);
        mine = v.starts_with(exact) && (v.size() == exact.size() || v[exact.size()] == '/');
        at += v.size() + 1;
      }
      if (!mine || start_of(pid) == 0) return;
      any = true;
      signal_process(handle, SIGKILL);
    });
    if (!any) return true;
    ::usleep(5000);
  }
  return false;
}

std::vector<pid_t> children_of(pid_t parent) {
  std::vector<pid_t> out;
  each_process([&](pid_t pid) {
    if (auto s = stat_of(pid); s && s->parent == parent) out.push_back(pid);
  });
  return out;
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
