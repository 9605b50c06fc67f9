// Starts, restarts and stops the child processes of a local cluster. The kernel kills a child when
// its parent ends, whatever ends the parent.
#pragma once
#include <sys/types.h>

#include <filesystem>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "actor/loop.h"

namespace shunttrail::local_cluster {

class Children : public actor::Actor {
 public:
  /// The output of each child is appended to `logs`/NAME.log.
  Children(actor::Loop& loop, std::filesystem::path logs);
  /// Kills every child that still runs.
  ~Children() override;

  /// Starts a process under this name and restarts it whenever it exits, until stop() is called.
  /// Throws std::system_error if the fork fails.
  void keep_running(const std::string& name, std::vector<std::string> argv);
  /// Runs a process once. `on_exit` receives its exit status, or 128 plus the number of the signal
  /// that ended it.
  void run_once(const std::string& name, std::vector<std::string> argv,
                std::function<void(int)> on_exit);
  /// Sends this signal to a process, and SIGKILL if it still runs 5 s later. Calls `on_stopped`
  /// when the process has ended, or at once if it does not run.
  void stop(const std::string& name, int signal, std::function<void()> on_stopped);
  [[nodiscard]] bool running(const std::string& name) const;
  /// Returns the process id, or 0 if no process of this name runs.
  [[nodiscard]] pid_t pid(const std::string& name) const;
  [[nodiscard]] std::vector<std::string> names() const;
  [[nodiscard]] std::uint64_t restarts() const { return restarts_; }

 private:
  // Points in time are readings of the steady clock, in seconds.
  struct Child {
    std::vector<std::string> argv;
    pid_t pid = 0;  // 0: the child does not run
    bool restarts_on_exit = false;
    double restart_at = 0;
    double started_at = 0;
    double restart_delay_s = 0;
    double kill_at = 0;                             // 0: stop() has not been called
    std::function<void(int)> on_exit;               // set by run_once()
    std::vector<std::function<void()>> on_stopped;  // set by stop()
  };
  void start(const std::string& name, Child& child);
  void reap();
  void handle_exit(const std::string& name, Child& child, int exit_status);
  void restart_later(const std::string& name, Child& child, int exit_status);
  void tick();

  std::filesystem::path logs_;
  std::map<std::string, Child> children_;
  std::uint64_t restarts_ = 0;
  actor::Timer timer_;
  actor::EventPtr child_signal_;
};

}  // namespace shunttrail::local_cluster
