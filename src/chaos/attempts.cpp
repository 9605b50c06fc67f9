#include "chaos/attempts.h"

#include <algorithm>
#include <sstream>

namespace shunttrail::chaos {
namespace {
std::string label(const std::string& job, std::uint32_t task) {
  return job + "/" + std::to_string(task);
}
}  // namespace

void Attempts::read(std::istream& log) {
  for (std::string line; std::getline(log, line);) {
    std::istringstream in(line);
    std::string what, job, rest;
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
    double at = 0;
    if (!(in >> what >> job >> task >> attempt >> at) || (in >> rest)) {
      bad_.push_back("a line of the log is torn: " + line);
      continue;
    }
    Task& t = tasks_[{job, task}];
    if (what == "begin") {
      ++begins_;
      if (++t.begun[attempt] > 1)
        bad_.push_back(label(job, task) + ": attempt " + std::to_string(attempt) + " began twice");
    } else if (what == "end") {
      ++ends_;
      ++t.ended[attempt];
      t.last_end = std::max(t.last_end, at);
    } else if (what == "overlap") {
      bad_.push_back(label(job, task) + ": attempt " + std::to_string(attempt) +
                     " ran beside another one");
    } else {
      bad_.push_back("a line of the log is unknown: " + line);
    }
  }
}

void Attempts::answered(const std::string& job, std::uint32_t task, std::uint64_t attempt) {
  tasks_[{job, task}].answers.push_back(attempt);
}

std::vector<std::string> Attempts::faults(
    const std::map<std::string, std::uint32_t>& expected) const {
  std::vector<std::string> out = bad_;
  for (const auto& [job, n] : expected) {
    for (std::uint32_t i = 0; i < n; ++i) {
      auto it = tasks_.find({job, i});
      const std::string name = label(job, i);
      if (it == tasks_.end() || it->second.answers.empty()) {
        out.push_back(name + ": has no final answer");
        continue;
      }
      const Task& t = it->second;
      if (t.answers.size() > 1)
        out.push_back(name + ": has " + std::to_string(t.answers.size()) + " final answers");
      // The answer is an attempt's that ran to its end.
      if (!t.ended.contains(t.answers[0]))
        out.push_back(name + ": the answer is of attempt " + std::to_string(t.answers[0]) +
                      ", which never ended");
    }
  }
  for (const auto& [id, t] : tasks_) {
    auto job = expected.find(id.first);
    if (job == expected.end() || id.second >= job->second)
      out.push_back(label(id.first, id.second) + ": ran, but nobody submitted it");
  }
  return out;
}

double Attempts::last_end(const std::string& job) const {
  double last = 0;
  for (auto it = tasks_.lower_bound({job, 0}); it != tasks_.end() && it->first.first == job; ++it)
    last = std::max(last, it->second.last_end);
  return last;
}

}  // namespace shunttrail::chaos
