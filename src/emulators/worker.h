// A emulator for a worker: PROTOCOL, "Workers -> controller nodes" and "Controller nodes ->
// workers". Its tasks are clocks: an image that takes so long to come, a run time, and the time
// that it takes to save. Whatever it is woken by, it looks at its lease first.
#pragma once
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "actor/loop.h"
#include "client_protocol/client_protocol.h"
#include "net/http.h"
#include "wire/types.h"

namespace shunttrail::emulators {

class WorkerEmulator : public actor::Actor {
 public:
  struct Settings {
    std::string name, type, zone;
    bool spot = true;
    config::Endpoint at;
    double cpus = 4, report_s = 5, lease_s = 26.5;
    std::vector<std::pair<std::string, config::Endpoint>> nodes;
  };
  // What a task is, as its user's upload says; none: no such job.
  struct Work {
    double cpus = 1, fetch_s = 1, run_s = 10;
    double checkpoint_s = 0, save_s = 0;  // checkpoint_s 0: it never saves
  };
  using Describe = std::function<std::optional<Work>(const wire::TaskId&)>;
  struct Task {
    wire::TaskId id;
    std::uint64_t attempt = 0;
    wire::TaskState state = wire::TaskState::fetching;
    wire::ExitReason why = wire::ExitReason::none;
    bool kept = false;  // stopped, and its progress was saved
    Work work;
    double next = 0;  // when its image is there, it completes, or it has saved
  };
  struct Watched {
    // After each change of a task's state; `was`: the one before, the same for a new task.
    std::function<void(const WorkerEmulator&, const Task&, wire::TaskState was)> moved;
    std::function<void(const Task&)> acknowledged;  // an exited one, by command
  };
  WorkerEmulator(actor::Loop& loop, Settings s, Describe describe, unsigned seed, Watched watched);

  const Settings& settings() const { return s_; }
  // None once its lease is over, also while the machine hangs: a hanging one may go on within its
  // lease, and kills its tasks first when it goes on later.
  const std::vector<Task>& tasks() const {
    static const std::vector<Task> none;
    return loop_.now() - leased_from_ > s_.lease_s ? none : tasks_;
  }
  // The cloud takes the machine in so many seconds, says the notice.
  void notice(double recall_s);
  // It has stood still for so long: what its tasks have left to do is still left.
  void stood_still(double seconds);
  std::uint64_t session() const { return session_; }
  std::uint64_t leases_lost() const { return leases_lost_; }  // with tasks on it

 private:
  wire::Heartbeat state();
  void report();
  void answered(double sent, std::uint64_t session, const net::Result& r);
  void go_to(std::size_t node, double after);
  void direct(const net::ExchangePtr& ex);
  void obey(std::uint64_t token, const std::vector<wire::Command>& commands);
  void start(const wire::Command& c);
  void stop(Task& t, double grace_s);
  void changed();
  void advance();
  void arm();
  void expire();

  const Settings s_;
  Describe describe_;
  Watched watched_;
  std::mt19937 rng_;
  std::vector<Task> tasks_;
  std::uint64_t session_ = 1, seq_ = 0, token_ = 0, leases_lost_ = 0;
  double leased_from_;  // when the last answered report was sent
  double sent_at_ = -1e9, token_told_ = -1e9;
  std::size_t node_ = 0;
  bool out_ = false, again_ = false;
  std::optional<double> taken_at_;  // by the notice
  std::vector<std::unique_ptr<net::Client>> nodes_;
  actor::Timer report_timer_, task_timer_, lease_timer_;
  net::Server http_;
};

}  // namespace shunttrail::emulators
