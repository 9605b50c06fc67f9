// The scheduler of one shard: its jobs, machines, placements and waiting lists, for as long as this
// node owns it under one token. Free of I/O: time, random numbers, messages and commit results are
// handed in, and what is to be sent is handed out. The parts own their state (machines.h,
// placements.h, placement pages.h, waiting.h); the scheduler takes what comes to those whom it
// concerns.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "scheduler/admission.h"
#include "scheduler/backfill.h"
#include "scheduler/chain_walk.h"
#include "scheduler/failure_detector.h"
#include "scheduler/heartbeat_processor.h"
#include "scheduler/machines.h"
#include "scheduler/placement_store.h"
#include "scheduler/placements.h"
#include "scheduler/preemption.h"
#include "scheduler/queue_service.h"
#include "scheduler/replica_consolidation.h"
#include "scheduler/reservations.h"
#include "scheduler/shard_context.h"
#include "scheduler/task_queues.h"
#include "scheduler/team_quota.h"
#include "scheduler/token_policy.h"
#include "scheduler/urgent_headroom.h"
#include "scheduler/worker_commands.h"
#include "shard/balance.h"
#include "state/limits.h"
#include "state/state_cache.h"
#include "wire/types.h"

namespace shunttrail::scheduler {

class ShardScheduler {
 public:
  ShardScheduler(const config::Settings& s, const config::Tuning& t, const MachineCatalogue& c,
                 int shard, std::uint64_t token, double now, std::uint64_t seed);

  std::uint64_t token() const { return token_policy_.token(); }
  // The token it was opened under: names this scheduler through all raises.
  std::uint64_t opened_under() const { return opened_under_; }
  void saw_higher_token() { token_policy_.saw_higher_token(); }
  int shard() const { return context_.shard; }

  // The shard's durable state, at the takeover and as it changes.
  void job_added(const wire::JobRecord& r, int team,
                 const std::map<std::uint32_t, state::Intervals>& done, double now,
                 double wall_now);
  void job_gone(const std::string& id, double now);
  // Jobs that need it have come, or gone.
  void set_effective_priority(const std::string& id, wire::Priority priority, double due);
  void machine_known(const wire::MachineRecord& r, double now);
  // A placement page of the shard as the takeover found it: all its placements may exist.
  void recover_page(int page, const wire::PlacementPageRecord& r, double now) {
    placement_store_.recover_page(page, r, now);
  }
  // The machine is proven deleted, or belongs to another shard.
  void machine_gone(const std::string& name, double now);
  void machine_moved(const std::string& name, double now);
  void set_machine_address(const std::string& name, const std::string& addr);
  // But for those that the inventory's actor has already.
  std::vector<InventoryChange> inventory_changes(const Machines::Asked& asked = [](auto&&...) {
    return false;
  }) const {
    return machines_.inventory_changes(token(), asked);
  }
  int transfer_target(const std::string& name) const { return machines_.transfer_target(name); }
  bool has_machine(const std::string& name) const { return machines_.contains(name); }

  // A worker's report, or the body of an answer to a direct order (Placements::heartbeat_received).
  enum class HeartbeatResult { fresh, older, unknown };
  HeartbeatResult take_heartbeat(const wire::Heartbeat& r, double now, bool to_direct = false);
  std::vector<wire::Command> commands_for(const std::string& machine, bool fresh, double now);
  // True while an answer would be worth waiting for a commit.
  bool awaits_commit(const std::string& machine);
  // What ends work that is not wanted: for a report that has been overtaken.
  std::vector<wire::Command> stop_commands(const std::string& machine) const;
  // No answer may renew this machine's lease under the present token: Placements::unacknowledged.
  bool has_unacknowledged_start(const std::string& machine) const;

  std::vector<DirectCommands> direct_commands(bool fresh,
                                              const std::function<bool(const std::string&)>& skip,
                                              double now) {
    return worker_commands_.direct_commands(fresh, skip, now);
  }
  void direct_commands_done(const DirectCommands& d, int status) {
    worker_commands_.direct_commands_done(d, status);
  }
  // Silent machines to be asked whether they live, and whether they did.
  std::vector<Probe> probes(double now) { return failure_detector_.probes(now); }
  void probe_done(const std::string& machine, bool answered, double now);
  bool needs_new_token(double now) const { return token_policy_.needs_new_token(now); }
  void advance_token(std::uint64_t token, double now);

  // Group commit: at most one transaction is out at a time.
  std::optional<wire::Transaction> next_transaction(const state::StateCache& w,
                                                    const state::TransactionLimits& size,
                                                    const std::string& tag, double now) {
    return placement_store_.next_transaction(w, size, tag, now);
  }
  void transaction_applied(double now);
  void transaction_failed(double now) { placement_store_.transaction_failed(now); }
  bool transaction_in_flight() const { return placement_store_.transaction_in_flight(); }

  void tick(double now);
  // What became possible since the last turn: waiting work enters the chain. Reports only note
  // that there is something to do, so that a thousand of them cost one turn.
  bool scheduling_due() const { return context_.scheduling_due; }
  void run_scheduling_pass(double now);
  // Machines to rent, grouped; each is handed out once and answered by rented/refused.
  std::vector<ScaleOutRequest> scale_out_requests(double now);
  void rented(const ScaleOutRequest& w, const std::vector<std::string>& names, double now);
  void rent_refused(const ScaleOutRequest& w, std::size_t from, bool no_capacity, double now);
  // Machines to give back: idle, never up, failed, lost. Handed out once; machine_gone follows.
  std::vector<std::string> machines_to_return() { return machines_.machines_to_return(); }
  void return_failed(const std::string& name) { machines_.return_failed(name); }
  // The cloud says that it stopped by itself, or does not list it any more (`unlisted`).
  void machine_failed(const std::string& name, bool unlisted, double now);

  // What this shard has, is entitled to and could use.
  shard::Load load(double now) const;
  // Another shard lacks machines.
  void transfer(const MachineTransfer& transfer);
  double transferring() const { return machines_.transferring(); }
  std::size_t machine_count() const { return machines_.named(); }
  const Counters& counters() const { return context_.counters; }
  std::string summary() const;

 private:
  void remove_machine(int number, double now);
  void update_machine(Machine& m, bool hear, double now);
  void give_up_machine(Machine& m);

  ShardContext context_;
  const std::uint64_t opened_under_;
  const double opened_at_;
  Machines machines_;
  TokenPolicy token_policy_;
  Placements placements_;
  HeartbeatProcessor heartbeat_processor_;
  WorkerCommands worker_commands_;
  PlacementStore placement_store_;
  TeamQuota quota_;
  TaskQueues queues_;
  ChainWalk chain_walk_;
  QueueService queue_service_;
  Preemption preemption_;
  Admission admission_;
  Reservations reservations_;
  Backfill backfill_;
  ReplicaConsolidation consolidation_;
  FailureDetector failure_detector_;
  UrgentHeadroom urgent_headroom_;
  std::unordered_map<std::string, int> classes_, images_;  // names to dense indices
  double last_heartbeat_at_ = 0;
  double last_pass_at_ = -1e9, last_requeue_at_ = -1e9;
};

}  // namespace shunttrail::scheduler
