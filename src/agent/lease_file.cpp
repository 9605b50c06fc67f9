#include "agent/lease_file.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <atomic>
#include <cmath>
#include <system_error>

#include "agent/processes.h"

namespace shunttrail::agent {
namespace {

constexpr std::size_t kPageBytes = 4096;
constexpr std::uint64_t kVersion = 1;
constexpr double kNanosecondsPerSecond = 1e9;

[[noreturn]] void fail(int error, const std::string& file) {
  throw std::system_error(error, std::generic_category(), file);
}

}  // namespace

// Version 1. Each word is written by itself. A renewal changes only the time, because a supervisor
// that reads incarnation 0 kills its task. While it changes from one incarnation to the next, it is
// 0.
struct LeaseFile::Layout {
  std::atomic<std::uint64_t> version;
  std::atomic<std::uint64_t> incarnation;
  std::atomic<std::int64_t> until_ns;
};
static_assert(std::atomic<std::uint64_t>::is_always_lock_free);

LeaseFile::LeaseFile(const std::filesystem::path& file, Open mode) {
  const bool writes = mode == Open::write;
  const int flags = (writes ? O_RDWR | O_CREAT : O_RDONLY) | O_CLOEXEC;
  const Fd fd(::open(file.c_str(), flags, 0644));
  if (!fd) fail(errno, file.string());
  if (writes && ::ftruncate(fd.get(), kPageBytes) != 0) fail(errno, file.string());
  const int protection = writes ? PROT_READ | PROT_WRITE : PROT_READ;
  void* page = ::mmap(nullptr, kPageBytes, protection, MAP_SHARED, fd.get(), 0);
  if (page == MAP_FAILED) fail(errno, file.string());
  page_ = static_cast<Layout*>(page);
  if (writes && page_->version == 0) page_->version = kVersion;
  if (page_->version != kVersion) {
    ::munmap(page_, kPageBytes);
    fail(EPROTO, file.string() + ": not a lease file of version " + std::to_string(kVersion));
  }
}

LeaseFile::~LeaseFile() { ::munmap(page_, kPageBytes); }

void LeaseFile::set(std::uint64_t incarnation, double until) {
  const bool is_renewal = incarnation != 0 && page_->incarnation == incarnation;
  if (!is_renewal) page_->incarnation = 0;
  page_->until_ns = static_cast<std::int64_t>(std::floor(until * kNanosecondsPerSecond));
  if (!is_renewal) page_->incarnation = incarnation;
}

std::uint64_t LeaseFile::incarnation() const { return page_->incarnation; }
double LeaseFile::until() const {
  return static_cast<double>(page_->until_ns) / kNanosecondsPerSecond;
}

}  // namespace shunttrail::agent
