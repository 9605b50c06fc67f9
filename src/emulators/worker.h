/// An emulator of a worker: PROTOCOL, "Workers -> controller nodes" and "Controller nodes ->
/// workers". Its tasks are timers: an image that takes a while to fetch, a run time, and the time
/// that a checkpoint takes. Whatever it is woken by, it checks its lease first. All times are
/// seconds of its loop's steady clock.
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
    std::string name, type, zone;  ///< of the machine
    bool spot = true;
    config::Endpoint at;     ///< where it listens for direct commands
    double cpus = 4;         ///< vcpus
    double heartbeat_s = 5;  ///< mean time between heartbeats
    double lease_s = 26.5;   ///< its tasks are killed so long after the last answered heartbeat
    std::vector<std::pair<std::string, config::Endpoint>> nodes;  ///< controllers by name
  };
  /// What a task needs and how long its phases take.
  struct Work {
    double cpus = 1;          ///< vcpus
    double fetch_s = 1;       ///< until its image is there
    double run_s = 10;        ///< until it completes
    double checkpoint_s = 0;  ///< time between checkpoints; 0: it never saves
    double save_s = 0;        ///< to save its progress when it is stopped
  };
  /// The work of a task; none: there is no such job.
  using Describe = std::function<std::optional<Work>(const wire::TaskId&)>;
  struct Task {
    wire::TaskId id;
    std::uint64_t attempt = 0;
    wire::TaskState state = wire::TaskState::fetching;
    wire::ExitReason exit_reason = wire::ExitReason::none;  ///< once it has exited
    bool progress_saved = false;                            ///< stopped, and its progress was saved
    Work work;
    double phase_ends_at = 0;  ///< when its state ends: fetched, completed, or saved
  };
  /// Called as tasks change.
  struct Observer {
    /// After each change of a task's state; `was`: the one before, the same for a new task.
    std::function<void(const WorkerEmulator&, const Task&, wire::TaskState was)> state_changed;
    /// An exited task is removed by command.
    std::function<void(const Task&)> acknowledged;
  };
  /// `seed` draws the first controller and the times between heartbeats.
  WorkerEmulator(actor::Loop& loop, Settings settings, Describe describe, unsigned seed,
                 Observer observer);

  [[nodiscard]] const Settings& settings() const { return settings_; }
  /// None once its lease is over, also while the machine hangs: a hanging one may go on within its
  /// lease, and kills its tasks first when it goes on later.
  [[nodiscard]] const std::vector<Task>& tasks() const {
    static const std::vector<Task> none;
    return loop_.now() - lease_renewed_at_ > settings_.lease_s ? none : tasks_;
  }
  /// The cloud's notice that it takes the machine back in so many seconds.
  void announce_reclaim(double recall_s);
  /// The machine has stood still for so long: what its tasks have left to do is still left.
  void extend_tasks(double seconds);
  /// Its incarnation: counts up whenever its lease has ended.
  [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }
  /// Leases that have ended with tasks on the machine.
  [[nodiscard]] std::uint64_t leases_lost() const { return leases_lost_; }

 private:
  wire::Heartbeat heartbeat();
  void send_heartbeat();
  void heartbeat_answered(double sent_at, std::uint64_t incarnation, const net::Result& result);
  void take_response(double sent_at, std::uint64_t incarnation, const std::string& body);
  void redirect(const std::string& node_name);
  void switch_node(std::size_t node, double after_s);
  void handle_direct(const net::ExchangePtr& exchange);
  void execute(std::uint64_t token, const std::vector<wire::Command>& commands);
  void execute_one(const wire::Command& command);
  void start(const wire::Command& command);
  [[nodiscard]] wire::ExitReason refusal_reason(const wire::TaskId& task,
                                                const std::optional<Work>& work) const;
  void stop(Task& task, double grace_s);
  void send_heartbeat_soon();
  void advance_tasks();
  void advance(Task& task, double now);
  void arm_task_timer();
  void check_lease();

  const Settings settings_;
  Describe describe_;
  Observer observer_;
  std::mt19937 rng_;
  std::vector<Task> tasks_;
  std::uint64_t incarnation_ = 1;
  std::uint64_t sequence_ = 0;  // of the last heartbeat
  std::uint64_t token_ = 0;     // highest that it has seen
  std::uint64_t leases_lost_ = 0;
  double lease_renewed_at_;              // when the last answered heartbeat was sent
  double sent_at_ = -1e9;                // the last heartbeat
  double token_reported_at_ = -1e9;      // when a new token last caused a heartbeat
  std::size_t node_ = 0;                 // the controller that heartbeats go to
  bool in_flight_ = false;               // a heartbeat is
  bool send_soon_after_answer_ = false;  // soon after the one in flight
  std::optional<double> reclaimed_at_;   // when the cloud takes the machine, by its notice
  std::vector<std::unique_ptr<net::Client>> nodes_;
  actor::Timer heartbeat_timer_, task_timer_, lease_timer_;
  net::Server http_;
};

}  // namespace shunttrail::emulators
