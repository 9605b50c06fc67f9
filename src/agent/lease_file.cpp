#include "agent/lease_file.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <atomic>
#include <cmath>
#include <system_error>

#include "agent/processes.h"

namespace shunttrail::agent {

// Version 1. Each word is written alone. A renewal touches the time only: a supervisor that looked
// in between and saw no incarnation would kill its task. Between two incarnations there is none.
struct LeaseFile::Layout {
  std::atomic<std::uint64_t> version, session;
  std::atomic<std::int64_t> until_ns;
};
static_assert(std::atomic<std::uint64_t>::is_always_lock_free);

LeaseFile::LeaseFile(const std::filesystem::path& file, Open how) {
  bool write = how == Open::write;
  Fd fd(::open(file.c_str(), (write ? O_RDWR | O_CREAT : O_RDONLY) | O_CLOEXEC, 0644));
  if (!fd || (write && ::ftruncate(fd.get(), 4096) != 0))
    throw std::system_error(errno, std::generic_category(), file.string());
  void* at =
      ::mmap(nullptr, 4096, write ? PROT_READ | PROT_WRITE : PROT_READ, MAP_SHARED, fd.get(), 0);
  if (at == MAP_FAILED) throw std::system_error(errno, std::generic_category(), file.string());
  p_ = static_cast<Layout*>(at);
  if (write && p_->version == 0) p_->version = 1;
  if (p_->version != 1)
    throw std::system_error(EPROTO, std::generic_category(), file.string() + ": not a lease page");
}
LeaseFile::~LeaseFile() { ::munmap(p_, 4096); }

void LeaseFile::set(std::uint64_t session, double until) {
  bool renewal = session != 0 && p_->session == session;
  if (!renewal) p_->session = 0;
  p_->until_ns = static_cast<std::int64_t>(std::floor(until * 1e9));
  if (!renewal) p_->session = session;
}
std::uint64_t LeaseFile::session() const { return p_->session; }
double LeaseFile::until() const { return static_cast<double>(p_->until_ns) / 1e9; }

}  // namespace shunttrail::agent
