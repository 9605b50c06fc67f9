// One machine of a shard, with its placements and its queue.
#pragma once
#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "scheduler/machine_queue.h"
#include "scheduler/placement.h"

namespace shunttrail::scheduler {

/// A machine of the shard, from its order until it is deleted or transferred. Times are steady, in
/// seconds. The fields that every walk through the chain reads come first and close together, since
/// a walk reads them of every machine, and a shard has hundreds.
struct Machine {
  /// Ascends in the order in which the machines were ordered. The chain considers them in this
  /// order.
  int number = 0;
  /// Dense indices; -1: the settings or the catalogue no longer contain the type or zone.
  int type = -1, zone = -1;
  bool spot = false;
  /// To be returned to the cloud or transferred to another shard: no task starts here any more.
  bool leaving = false;
  /// The cloud has given notice that it will take the machine away.
  bool draining = false;
  enum State : std::uint8_t {
    ordered,  // not rented yet
    booting,  // rented; no heartbeat yet
    up,
  } state = ordered;
  /// No task is placed here before this time.
  double avoid_until = 0;
  /// Tasks that wait for this machine.
  MachineQueue queue;
  /// Placements on this machine, and its worker's newest heartbeat.
  MachineTasks tasks;
  /// Resources kept free for urgent tasks (UrgentHeadroom).
  jobs::Resources reserved;
  /// Dense indices of the images in its cache, the most recently used last.
  std::vector<int> images;

  std::string name, addr;
  /// Of an ordered machine: the request to rent it has been returned to the caller for sending.
  bool rent_requested = false;
  /// The inventory contains the machine under this shard. Nothing may be placed on it before.
  bool in_inventory = false;
  /// The request to return it has been given to the caller for sending.
  bool return_requested = false;
  /// The shard to transfer it to once it is empty; -1: none.
  int transfer_to = -1;
  /// Given up on: its tasks are not expected to finish.
  bool lost = false;
  /// Seconds until the cloud takes it away, by the newest heartbeat.
  std::optional<double> notice_s;
  double rented_at = 0, last_heartbeat = 0;
  /// Time of the latest response to one of its heartbeats, or of its rental before the first one.
  double last_response_at = 0;
  double idle_since = 0;
  /// Arrival time of the newest heartbeat or response to direct commands.
  double newest_status_at = -1e9;
  /// Whether it was idle at the latest call of note_idle.
  bool was_idle = false;
  /// Jobs whose tasks have failed on it since its last success.
  std::set<std::string> failed_jobs;
  /// Number of tasks that have failed on it since its last success.
  int faults = 0;
  /// Raised by each heartbeat that shows that the response to an earlier one was lost, lowered by
  /// each other one.
  int lost_responses = 0;
  /// The token in the latest response to a heartbeat.
  std::uint64_t last_response_token = 0;
  /// The newest heartbeat does not show a start that was sent in a response.
  bool start_lost = false;
  /// A probe has been sent and its outcome is unknown (FailureDetector).
  bool probe_in_flight = false;
  /// Number of consecutive probes without an answer.
  int unanswered_probes = 0;
  /// Earliest time of the next probe.
  double next_probe_at = 0;
  /// Time of its latest answer to a probe.
  double probe_answered_at = 0;

  /// Returns the number of its tier (MachineCatalogue).
  [[nodiscard]] int tier() const { return 2 * type + (spot ? 1 : 0); }
  /// Returns whether the machine's state allows further tasks, whatever its free capacity.
  [[nodiscard]] bool accepts_work(double now) const {
    return state == up && !leaving && !draining && avoid_until <= now;
  }
  /// Returns whether it has placements other than those that only await their acknowledgement.
  [[nodiscard]] bool has_work() const;
  /// Returns whether it has neither work nor queued tasks.
  [[nodiscard]] bool is_empty() const { return !has_work() && queue.tasks.empty(); }
  /// Returns whether a replica of a service may run on it.
  [[nodiscard]] bool has_replicas() const;
  /// Returns whether tasks of several jobs have failed on it.
  [[nodiscard]] bool is_faulty() const;

  /// Records whether it is idle now. To be called after each change of its placements or queue.
  void note_idle(double now);
  /// Records that a task of the job has failed on it.
  void task_failed(const std::string& job, double now);
  /// Records that a task has succeeded on it.
  void task_succeeded();
  /// Prevents that tasks are placed here before `until`.
  void avoid(double until) { avoid_until = std::max(avoid_until, until); }
  /// Marks the machine as lost. Returns false if it was marked before.
  bool give_up();
};

/// Value of Machine::lost_responses from which on the machine is probed, to find out whether it
/// receives any message.
inline constexpr int kLostResponsesBeforeSuspicion = 2;

/// Returns the share of a machine of this capacity that a task takes: the greater of its shares of
/// vcpus and memory.
[[nodiscard]] double share_of(const jobs::Resources& need, const jobs::Resources& capacity);

}  // namespace shunttrail::scheduler
