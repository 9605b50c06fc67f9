// Checks what tasks have written about themselves against what users were told. Independent of the
// code that it checks: it knows lines of a log and final answers, nothing else.
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

class Attempts {
 public:
  // Lines that are torn or unknown are faults, too.
  void read(std::istream& log);
  // The final answer of a task that its user was given: the attempt whose result it is.
  void answered(const std::string& job, std::uint32_t task, std::uint64_t attempt);
  // All faults, one line each. `expected`: how many tasks each job has.
  std::vector<std::string> faults(const std::map<std::string, std::uint32_t>& expected) const;

  std::uint64_t begins() const { return begins_; }
  std::uint64_t ends() const { return ends_; }
  // When the last task of the job ended for the last time; 0: none did.
  double last_end(const std::string& job) const;

 private:
  struct Task {
    std::map<std::uint64_t, int> begun, ended;
    std::vector<std::uint64_t> answers;
    double last_end = 0;
  };
  std::map<std::pair<std::string, std::uint32_t>, Task> tasks_;
  std::vector<std::string> bad_;
  std::uint64_t begins_ = 0, ends_ = 0;
};

}  // namespace shunttrail::chaos
