// Checks what tasks have written about themselves against the results that users got. Independent
// of the code that it checks: it knows lines of a log and final results, nothing else.
//
// A line of the log: "begin JOB TASK ATTEMPT TIME", "end ..." or "overlap ...". Every task holds a
// lock of its own while it runs, which the kernel takes back whenever the last of its processes has
// gone; who finds it held writes "overlap". Times are of the wall clock, in seconds.
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
  /// Lines that are torn or unknown are faults, too.
  void read(std::istream& log);
  /// The attempt whose result the task's user has got.
  void record_result(const std::string& job, std::uint32_t task, std::uint64_t attempt);
  /// All faults, one line each. `expected`: how many tasks each job has.
  [[nodiscard]] std::vector<std::string> faults(
      const std::map<std::string, std::uint32_t>& expected) const;

  [[nodiscard]] std::uint64_t begins() const { return begins_; }
  [[nodiscard]] std::uint64_t ends() const { return ends_; }
  /// When the last task of the job ended for the last time, wall clock; 0: none did.
  [[nodiscard]] double last_end(const std::string& job) const;

 private:
  using TaskKey = std::pair<std::string, std::uint32_t>;  // job and index
  struct Task {
    std::map<std::uint64_t, int> begun, ended;  // how often, by attempt
    std::vector<std::uint64_t> results;         // attempts
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
