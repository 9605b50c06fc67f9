// One machine of a shard, with what may run on it and what waits for it.
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

/// A machine of the shard, from its order until it is gone. Times are steady, in seconds. The
/// fields that every walk through the chain reads of every machine come first: a fleet is hundreds
/// of them.
struct Machine {
  /// In the order of the orders: the chain's order.
  int number = 0;
  /// Dense indices; -1: no longer known.
  int type = -1, zone = -1;
  bool spot = false;
  /// To be given back, or to another shard: nothing starts here any more.
  bool leaving = false;
  /// It has had notice that it will be taken.
  bool draining = false;
  enum State : std::uint8_t {
    ordered,  // not rented yet
    booting,  // rented; no heartbeat yet
    up,
  } state = ordered;
  /// Nothing is placed here before this time.
  double avoid_until = 0;
  /// What waits for it.
  MachineQueue queue;
  /// What may run on it.
  MachineTasks tasks;
  /// Kept free for urgent work (UrgentHeadroom).
  jobs::Resources reserved;
  /// Dense indices of the images in its cache, the latest used last.
  std::vector<int> images;

  std::string name, addr;
  /// ordered: the request is on its way.
  bool rent_requested = false;
  /// The inventory holds it: only then may anything be placed on it.
  bool in_inventory = false;
  /// Its return has been handed out.
  bool return_requested = false;
  /// The shard that it goes to once it is empty; -1: none.
  int transfer_to = -1;
  /// Not coming back: its tasks are not waited for.
  bool lost = false;
  /// Seconds until it is taken, as last reported.
  std::optional<double> notice_s;
  double rented_at = 0, last_heartbeat = 0;
  /// Of the latest response to a heartbeat.
  double last_response_at = 0;
  double idle_since = 0;
  /// When the newest heartbeat, or response to direct commands, came.
  double newest_status_at = -1e9;
  bool was_idle = false;
  /// Jobs that it has failed since its last success.
  std::set<std::string> failed_jobs;
  int faults = 0;
  /// Heartbeats in a row that show that the response to an earlier one was lost.
  int lost_responses = 0;
  /// The token in the latest response to a heartbeat.
  std::uint64_t last_response_token = 0;
  /// The newest heartbeat does not show a start that was sent in a response.
  bool start_lost = false;
  /// A probe is on its way (FailureDetector).
  bool probe_in_flight = false;
  /// Probes in a row without an answer.
  int unanswered_probes = 0;
  /// No probe before this time.
  double next_probe_at = 0;
  /// When it answered a probe last.
  double probe_answered_at = 0;

  /// Number of its tier (MachineCatalogue).
  [[nodiscard]] int tier() const { return 2 * type + (spot ? 1 : 0); }
  /// Something may be placed here, as far as the machine itself goes.
  [[nodiscard]] bool accepts_work(double now) const {
    return state == up && !leaving && !draining && avoid_until <= now;
  }
  /// Nothing runs on it or waits for it.
  [[nodiscard]] bool is_empty() const { return tasks.placements.empty() && queue.tasks.empty(); }
  /// A replica of a service may run on it.
  [[nodiscard]] bool has_replicas() const;
  /// It has failed the tasks of several jobs.
  [[nodiscard]] bool is_faulty() const;

  /// Notes whether it is idle now. To be called after each change of its placements or queue.
  void note_idle(double now);
  /// It has failed a task of the job.
  void task_failed(const std::string& job, double now);
  /// A task has succeeded on it.
  void task_succeeded();
  /// Nothing is placed here before `until`.
  void avoid(double until) { avoid_until = std::max(avoid_until, until); }
  /// It is not coming back. False: that was known.
  bool give_up();
};

/// Heartbeats in a row that show lost responses, before the machine is asked whether it hears
/// anything at all.
inline constexpr int kLostResponsesBeforeSuspicion = 2;

/// Share of a machine of this size that a task takes: the greater of the shares of vcpus and
/// memory.
[[nodiscard]] double share_of(const jobs::Resources& need, const jobs::Resources& capacity);

}  // namespace shunttrail::scheduler
