// Checks the log that the tasks of a chaos run write against the results that users received. It
// depends on no code of the scheduler: its input is the log's lines and the final results.
//
// A line of the log is "begin JOB TASK ATTEMPT TIME", "end ..." or "overlap ...". Every task has a
// lock that an attempt holds while it runs; the kernel releases it when the last process of the
// attempt ends. An attempt that finds the lock held writes "overlap". TIME is the wall clock in
// seconds.
#pragma once
#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace shunttrail::chaos {

class AttemptHistory {
 public:
  /// Reads the log. An incomplete or unknown line counts as a fault.
  void read(std::istream& log);
  /// Records the attempt whose result the task's user received.
  void record_result(const std::string& job, std::uint32_t task, std::uint64_t attempt);
  /// Returns all faults, one line each. `expected` is the number of tasks of each job.
  [[nodiscard]] std::vector<std::string> faults(
      const std::map<std::string, std::uint32_t>& expected) const;

  [[nodiscard]] std::uint64_t begins() const { return begins_; }
  [[nodiscard]] std::uint64_t ends() const { return ends_; }
  /// Returns the wall-clock time of the job's last "end" line, or 0 if it has none.
  [[nodiscard]] double last_end(const std::string& job) const;

 private:
  using TaskKey = std::pair<std::string, std::uint32_t>;  // job and index
  struct Task {
    std::map<std::uint64_t, int> begun, ended;  // number of log lines, by attempt
    std::vector<std::uint64_t> results;         // attempt numbers
    double last_end = 0;
  };
  void read_line(const std::string& line);
  void check_result(const std::string& name, const TaskKey& key,
                    std::vector<std::string>& faults) const;

  std::map<TaskKey, Task> tasks_;
  std::vector<std::string> log_errors_;
  std::uint64_t begins_ = 0, ends_ = 0;
};

}  // namespace shunttrail::chaos
