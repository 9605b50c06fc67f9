// The lease as the agent and all its supervisors see it: one page of memory on a file. The agent
// writes it, the supervisors only read it; it outlives the agent, and a supervisor that reads it
// needs no answer from anybody to know that its task has to go.
#pragma once
#include <cstdint>
#include <filesystem>

#include "agent/lease.h"

namespace shunttrail::agent {

/// Stored form, version 1: described in lease_file.cpp.
class LeaseFile {
 public:
  enum class Open { read, write };
  /// Throws std::system_error. For writing, a file that is absent is made, with session 0.
  LeaseFile(const std::filesystem::path& file, Open mode);
  ~LeaseFile();
  LeaseFile(const LeaseFile&) = delete;
  LeaseFile& operator=(const LeaseFile&) = delete;

  /// `session` is the agent's incarnation, `until` in seconds of CLOCK_BOOTTIME. Session 0: no task
  /// may run.
  void set(std::uint64_t session, double until);
  [[nodiscard]] std::uint64_t session() const;
  [[nodiscard]] double until() const;

 private:
  struct Layout;
  Layout* page_ = nullptr;
};

}  // namespace shunttrail::agent
