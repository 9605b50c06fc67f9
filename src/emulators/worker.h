/// An emulator of a worker (PROTOCOL, "Workers -> controller nodes" and "Controller nodes ->
/// workers"). Its tasks are timers for the fetch of the image, the run and the save of a
/// checkpoint. Each event handler checks the lease before it does anything else. All times are in
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
    std::string name, type, zone;  ///< the machine's
    bool spot = true;
    config::Endpoint at;     ///< the address on which it listens for direct commands
    double cpus = 4;         ///< vcpus
    double heartbeat_s = 5;  ///< mean time between heartbeats
    double lease_s = 26.5;   ///< tasks are killed this long after the last answered heartbeat
    std::vector<std::pair<std::string, config::Endpoint>> nodes;  ///< controllers by name
  };
  /// The resources of a task and the durations of its phases.
  struct Work {
    double cpus = 1;          ///< vcpus
    double fetch_s = 1;       ///< duration of the image's fetch
    double run_s = 10;        ///< duration of the run
    double checkpoint_s = 0;  ///< time between checkpoints; 0: the task never saves its progress
    double save_s = 0;        ///< duration of the save when the task is stopped
  };
  /// Returns the work of a task, or nothing if its job does not exist.
  using Describe = std::function<std::optional<Work>(const wire::TaskId&)>;
  struct Task {
    wire::TaskId id;
    std::uint64_t attempt = 0;
    wire::TaskState state = wire::TaskState::fetching;
    wire::ExitReason exit_reason = wire::ExitReason::none;  ///< once it has exited
    bool progress_saved = false;  ///< it was stopped and has saved its progress
    Work work;
    double phase_ends_at = 0;  ///< when the fetch, the run or the save ends
  };
  /// Callbacks for changes of tasks.
  struct Observer {
    /// Called after each change of a task's state. `was` is the previous state; for a new task it
    /// is the present one.
    std::function<void(const WorkerEmulator&, const Task&, wire::TaskState was)> state_changed;
    /// Called before an exited task is removed by an acknowledge command.
    std::function<void(const WorkerEmulator&, const Task&)> acknowledged;
  };
  /// `seed`: selects the first controller and the times between heartbeats.
  WorkerEmulator(actor::Loop& loop, Settings settings, Describe describe, unsigned seed,
                 Observer observer);

  [[nodiscard]] const Settings& settings() const { return settings_; }
  /// The worker's tasks; none once its lease has expired, even while the machine hangs. A machine
  /// that resumes within its lease continues its tasks; one that resumes later kills them before it
  /// does anything else.
  [[nodiscard]] const std::vector<Task>& tasks() const {
    static const std::vector<Task> none;
    return loop_.now() - lease_renewed_at_ > settings_.lease_s ? none : tasks_;
  }
  /// A fault of the machine under which its worker goes on.
  enum class Fault {
    none,
    tasks_fail,      ///< every task fails as soon as it has its image
    starts_refused,  ///< every start is refused, as if the machine had no free capacity
  };
  void set_fault(Fault fault) { fault_ = fault; }
  /// The cloud announces that it reclaims the machine in `recall_s` seconds.
  void announce_reclaim(double recall_s);
  /// Postpones the end of each task's phase by the duration of a hang, for tasks whose work stops
  /// while the machine hangs.
  void extend_tasks(double seconds);
  /// The worker's incarnation, which is incremented whenever its lease expires.
  [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }
  /// The highest fencing token that the worker has seen.
  [[nodiscard]] std::uint64_t token() const { return token_; }
  /// The number of leases that have expired with tasks on the machine.
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
  std::uint64_t sequence_ = 0;  // the last heartbeat's sequence number
  std::uint64_t token_ = 0;     // highest fencing token that it has seen
  std::uint64_t leases_lost_ = 0;
  double lease_renewed_at_;          // when the last heartbeat with a valid response was sent
  double sent_at_ = -1e9;            // when the last heartbeat was sent
  double token_reported_at_ = -1e9;  // when a new token last caused an immediate heartbeat
  std::size_t node_ = 0;             // the controller that heartbeats go to
  Fault fault_ = Fault::none;
  bool in_flight_ = false;               // whether a heartbeat awaits its answer
  bool send_soon_after_answer_ = false;  // whether the next heartbeat follows its answer soon
  std::optional<double> reclaimed_at_;   // when the cloud reclaims the machine, as announced
  std::vector<std::unique_ptr<net::Client>> nodes_;
  actor::Timer heartbeat_timer_, task_timer_, lease_timer_;
  net::Server http_;
};

}  // namespace shunttrail::emulators
