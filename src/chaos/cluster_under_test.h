// A local cluster as a child process, and the process ids of its agents, controllers and task
// supervisors.
#pragma once
#include <sys/types.h>

#include <filesystem>
#include <string>
#include <vector>

#include "chaos/chaos_run.h"

namespace shunttrail::chaos {

class ClusterUnderTest {
 public:
  /// Starts the cluster of the plan and waits until it serves. Throws std::runtime_error if it does
  /// not start.
  explicit ClusterUnderTest(const ChaosPlan& plan);
  ~ClusterUnderTest() { end(); }
  ClusterUnderTest(const ClusterUnderTest&) = delete;
  ClusterUnderTest& operator=(const ClusterUnderTest&) = delete;

  /// Stops the cluster and waits until its process has ended.
  void end();
  [[nodiscard]] const std::string& url() const { return url_; }
  [[nodiscard]] std::vector<pid_t> agents() const;
  [[nodiscard]] std::vector<pid_t> controllers() const;
  [[nodiscard]] std::vector<pid_t> supervisors() const;

 private:
  void write_settings() const;
  void start();
  [[noreturn]] void exec(int output) const;
  [[nodiscard]] std::vector<pid_t> children_running(const std::string& program) const;

  const ChaosPlan& plan_;
  const std::filesystem::path settings_, data_dir_, log_;
  pid_t pid_ = 0;  // 0: the cluster does not run
  std::string url_;
};

}  // namespace shunttrail::chaos
