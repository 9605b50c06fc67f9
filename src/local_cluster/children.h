// The processes of a set: started, looked after, started again when they die, and ended. A child
// goes with its parent, however that ends.
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
  Children(actor::Loop& loop, std::filesystem::path logs);
  ~Children() override;

  // Kept running under this name until it is stopped. What it writes goes to logs/NAME.log.
  void keep(const std::string& name, std::vector<std::string> argv);
  // A process that is to end by itself; `done` gets its exit status, or 128 and the signal.
  void once(const std::string& name, std::vector<std::string> argv, std::function<void(int)> done);
  // Ends it by this signal, and by SIGKILL after a while; `gone` runs when it is.
  void stop(const std::string& name, int signal, std::function<void()> gone);
  bool running(const std::string& name) const;
  pid_t pid(const std::string& name) const;  // 0: does not run now
  std::vector<std::string> names() const;
  std::uint64_t restarts() const { return restarts_; }

 private:
  struct Child {
    std::vector<std::string> argv;
    pid_t pid = 0;
    bool kept = false;
    double start_at = 0, began = 0, pause = 0, kill_at = 0;
    std::function<void(int)> done;
    std::vector<std::function<void()>> gone;
  };
  void start(const std::string& name, Child& c);
  void reap();
  void tick();

  std::filesystem::path logs_;
  std::map<std::string, Child> children_;
  std::uint64_t restarts_ = 0;
  actor::Timer timer_;
  actor::EventPtr ended_;
};

}  // namespace shunttrail::local_cluster
