// The lease as shared by the agent and all its supervisors: one memory-mapped page of a file. The
// agent writes it, and the supervisors only read it. It outlives the agent, so a supervisor can
// decide on its own that its task has to be killed.
#pragma once
#include <cstdint>
#include <filesystem>

#include "agent/lease.h"

namespace shunttrail::agent {

/// The stored form, version 1, is described in lease_file.cpp.
class LeaseFile {
 public:
  enum class Open { read, write };
  /// Opens the file. In write mode, a missing file is created, with incarnation 0. Throws
  /// std::system_error.
  LeaseFile(const std::filesystem::path& file, Open mode);
  ~LeaseFile();
  LeaseFile(const LeaseFile&) = delete;
  LeaseFile& operator=(const LeaseFile&) = delete;

  /// Sets the agent's incarnation and the end of its lease, in seconds of CLOCK_BOOTTIME. In
  /// incarnation 0 no task may run.
  void set(std::uint64_t incarnation, double until);
  [[nodiscard]] std::uint64_t incarnation() const;
  [[nodiscard]] double until() const;

 private:
  struct Layout;
  Layout* page_ = nullptr;
};

}  // namespace shunttrail::agent
