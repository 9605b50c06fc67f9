// A local cluster as a child process, and which process below it does what.
#pragma once
#include <sys/types.h>

#include <filesystem>
#include <string>
#include <vector>

#include "chaos/chaos_run.h"

namespace shunttrail::chaos {

class ClusterUnderTest {
 public:
  /// Starts the cluster of the plan and waits until it serves. Throws std::runtime_error where it
  /// does not.
  explicit ClusterUnderTest(const ChaosPlan& plan);
  ~ClusterUnderTest() { end(); }
  ClusterUnderTest(const ClusterUnderTest&) = delete;
  ClusterUnderTest& operator=(const ClusterUnderTest&) = delete;

  /// Ends the cluster and waits until it has.
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
  pid_t pid_ = 0;  // 0: does not run
  std::string url_;
};

}  // namespace shunttrail::chaos
