#include "chaos/attempts.h"

#include <algorithm>
#include <sstream>

namespace shunttrail::chaos {
namespace {
std::string label(const std::string& job, std::uint32_t task) {
  return job + "/" + std::to_string(task);
}
}  // namespace

void AttemptHistory::read(std::istream& log) {
  for (std::string line; std::getline(log, line);) read_line(line);
}

void AttemptHistory::read_line(const std::string& line) {
  std::istringstream fields(line);
  std::string event, job, rest;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  double at = 0;
  if (!(fields >> event >> job >> index >> attempt >> at) || (fields >> rest)) {
    log_errors_.push_back("the log has an incomplete line: " + line);
    return;
  }
  Task& task = tasks_[{job, index}];
  const std::string name = label(job, index) + ": attempt " + std::to_string(attempt);
  if (event == "begin") {
    ++begins_;
    if (++task.begun[attempt] > 1) log_errors_.push_back(name + " began twice");
  } else if (event == "end") {
    ++ends_;
    ++task.ended[attempt];
    task.last_end = std::max(task.last_end, at);
  } else if (event == "overlap") {
    log_errors_.push_back(name + " overlapped another attempt");
  } else {
    log_errors_.push_back("the log has a line of an unknown event: " + line);
  }
}

void AttemptHistory::record_result(const std::string& job, std::uint32_t task,
                                   std::uint64_t attempt) {
  tasks_[{job, task}].results.push_back(attempt);
}

std::vector<std::string> AttemptHistory::faults(
    const std::map<std::string, std::uint32_t>& expected) const {
  std::vector<std::string> faults = log_errors_;
  for (const auto& [job, tasks] : expected)
    for (std::uint32_t index = 0; index < tasks; ++index)
      check_result(label(job, index), {job, index}, faults);
  for (const auto& [key, task] : tasks_) {
    const auto& [name, index] = key;
    auto job = expected.find(name);
    if (job == expected.end() || index >= job->second)
      faults.push_back(label(name, index) + ": ran, but was never submitted");
  }
  return faults;
}

void AttemptHistory::check_result(const std::string& name, const TaskKey& key,
                                  std::vector<std::string>& faults) const {
  auto found = tasks_.find(key);
  if (found == tasks_.end() || found->second.results.empty()) {
    faults.push_back(name + ": has no final result");
    return;
  }
  const Task& task = found->second;
  if (task.results.size() > 1)
    faults.push_back(name + ": has " + std::to_string(task.results.size()) + " final results");
  // The final result has to come from an attempt that ran to its end.
  if (!task.ended.contains(task.results[0]))
    faults.push_back(name + ": the final result is of attempt " + std::to_string(task.results[0]) +
                     ", which never ended");
}

double AttemptHistory::last_end(const std::string& job) const {
  double last = 0;
  for (auto it = tasks_.lower_bound({job, 0}); it != tasks_.end() && it->first.first == job; ++it)
    last = std::max(last, it->second.last_end);
  return last;
}

}  // namespace shunttrail::chaos
