// The lease as the agent and all its supervisors see it: one page of memory on a file. The agent
// writes it, the supervisors only read; it outlives the agent, and a supervisor that reads it needs
// no answer from anybody to know that its task has to go.
#pragma once
#include <cstdint>
#include <filesystem>

namespace shunttrail::agent {

class LeaseFile {
 public:
  enum class Open { read, write };
  // Throws std::system_error. A page that is absent is made with no incarnation.
  LeaseFile(const std::filesystem::path& file, Open how);
  ~LeaseFile();
  LeaseFile(const LeaseFile&) = delete;
  LeaseFile& operator=(const LeaseFile&) = delete;

  // `until` in seconds of CLOCK_BOOTTIME. Session 0: no task may be there.
  void set(std::uint64_t session, double until);
  std::uint64_t session() const;
  double until() const;

 private:
  struct Layout;
  Layout* p_ = nullptr;
};

}  // namespace shunttrail::agent
