// The child processes of a local cluster: started, restarted when they die, and handle_exit. A
// child goes with its parent, however that ends.
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
  /// What a child writes goes to `logs`/NAME.log.
  Children(actor::Loop& loop, std::filesystem::path logs);
  /// Kills all that still run.
  ~Children() override;

  /// Keeps a process running under this name until it is stopped. Throws std::system_error.
  void keep_running(const std::string& name, std::vector<std::string> argv);
  /// Runs a process that is to end by itself; `on_exit` gets its exit status, or 128 and the
  /// signal.
  void run_once(const std::string& name, std::vector<std::string> argv,
                std::function<void(int)> on_exit);
  /// Ends a process by this signal, and by SIGKILL after a while; `on_stopped` runs when it has
  /// handle_exit.
  void stop(const std::string& name, int signal, std::function<void()> on_stopped);
  [[nodiscard]] bool running(const std::string& name) const;
  /// 0: it does not run now.
  [[nodiscard]] pid_t pid(const std::string& name) const;
  [[nodiscard]] std::vector<std::string> names() const;
  [[nodiscard]] std::uint64_t restarts() const { return restarts_; }

 private:
  // Times are of the steady clock, in seconds.
  struct Child {
    std::vector<std::string> argv;
    pid_t pid = 0;  // 0: does not run
    bool restarts_on_exit = false;
    double restart_at = 0;
    double started_at = 0;
    double restart_delay_s = 0;
    double kill_at = 0;                             // 0: was not told to stop
    std::function<void(int)> on_exit;               // of run_once()
    std::vector<std::function<void()>> on_stopped;  // of stop()
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
