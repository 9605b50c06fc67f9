// The scheduler of one shard, for as long as this node owns the shard: passes events to the parts
// that they concern, and collects what is to be sent. Free of I/O: time, random numbers, messages
// and commit results are handed in, and what is to be sent is handed out.
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
#include "scheduler/delegated_work.h"
#include "scheduler/delegation_planner.h"
#include "scheduler/failure_detector.h"
#include "scheduler/heartbeat_processor.h"
#include "scheduler/machine_transfers.h"
#include "scheduler/machines.h"
#include "scheduler/placement_store.h"
#include "scheduler/placements.h"
#include "scheduler/preemption.h"
#include "scheduler/queue_service.h"
#include "scheduler/rentals.h"
#include "scheduler/replica_consolidation.h"
#include "scheduler/reservations.h"
#include "scheduler/room_offers.h"
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

/// Jobs, machines, placements and queues of a shard. Each part owns its state. Times are steady, in
/// seconds, unless they are said to be wall-clock times.
class ShardScheduler {
 public:
  /// What has become of a heartbeat.
  enum class HeartbeatResult {
    fresh,
    older,    // overtaken by a newer one: answered with what ends work, and nothing else
    unknown,  // not to be answered
  };

  ShardScheduler(const config::Settings& settings, const config::Tuning& tuning,
                 const MachineCatalogue& catalogue, int shard, std::uint64_t token, double now,
                 std::uint64_t seed);

  [[nodiscard]] int shard() const { return context_.shard; }
  [[nodiscard]] std::uint64_t token() const { return token_policy_.token(); }
  /// The token it was opened under: names this scheduler however often the token is advanced.
  [[nodiscard]] std::uint64_t opened_under() const { return opened_under_; }
  void saw_higher_token() { token_policy_.saw_higher_token(); }
  /// TokenPolicy::needs_new_token
  [[nodiscard]] bool needs_new_token(double now) const {
    return token_policy_.needs_new_token(now);
  }
  /// The same scheduler goes on under a higher token: what it knows stays.
  void advance_token(std::uint64_t token, double now);

  // ---- the shard's durable state, at the takeover and as it changes

  /// A job is there. `done`: its persisted results by chunk; `wall_now`: wall-clock time. Ignored
  /// if it is known, or its team is not (negative).
  void job_added(const wire::JobRecord& record, int team,
                 const std::map<std::uint32_t, state::Intervals>& done, double now,
                 double wall_now);
  /// The job is over: completed or cancelled.
  void job_gone(const std::string& id, double now);
  /// Jobs that depend on this one have come, or gone. `due`: steady time.
  void set_effective_priority(const std::string& id, wire::Priority priority, double due);
  /// A page of the shard as the takeover found it: all its placements may exist.
  void recover_page(int page, const wire::PlacementPageRecord& record, double now) {
    placement_store_.recover_page(page, record, now);
  }

  /// The inventory holds the machine under this shard.
  void machine_known(const wire::MachineRecord& record, double now);
  /// The machine is proven deleted.
  void machine_gone(const std::string& name, double now);
  /// The machine belongs to another shard.
  void machine_moved(const std::string& name, double now);
  void set_machine_address(const std::string& name, const std::string& addr);
  /// Changes that the inventory needs, but for those that it has been asked for already.
  [[nodiscard]] std::vector<InventoryChange> inventory_changes(
      const MachineTransfers::IsRequested& is_requested = [](auto&&...) { return false; }) const {
    return transfers_.inventory_changes(token(), is_requested);
  }
  /// MachineTransfers::transfer_target
  [[nodiscard]] int transfer_target(const std::string& name) const {
    return transfers_.transfer_target(name);
  }
  [[nodiscard]] bool has_machine(const std::string& name) const { return machines_.contains(name); }
  [[nodiscard]] std::size_t machine_count() const { return machines_.named(); }

  // ---- workers

  /// A worker's heartbeat, or the body of a response to direct commands (HeartbeatSource).
  HeartbeatResult take_heartbeat(const wire::Heartbeat& heartbeat, double now,
                                 bool to_direct = false);
  /// WorkerCommands::commands_for
  [[nodiscard]] std::vector<wire::Command> commands_for(const std::string& machine_name, bool fresh,
                                                        double now);
  /// A response would be worth waiting for a commit.
  [[nodiscard]] bool awaits_commit(const std::string& machine_name);
  /// For a heartbeat that has been overtaken: only what ends unwanted work.
  [[nodiscard]] std::vector<wire::Command> stop_commands(const std::string& machine_name) const;
  /// No response may renew this machine's lease under the present token
  /// (WorkerCommands::has_unacknowledged_start).
  [[nodiscard]] bool has_unacknowledged_start(const std::string& machine_name) const;
  /// WorkerCommands::direct_commands
  [[nodiscard]] std::vector<DirectCommands> direct_commands(
      bool fresh, const std::function<bool(const std::string&)>& skip, double now) {
    return worker_commands_.direct_commands(fresh, skip, now);
  }
  /// The HTTP status that direct commands were answered with.
  void direct_commands_done(const DirectCommands& sent, int status) {
    worker_commands_.direct_commands_done(sent, status);
  }
  /// Silent machines to be asked whether they are alive; each is answered by probe_done.
  [[nodiscard]] std::vector<Probe> probes(double now) { return failure_detector_.probes(now); }
  void probe_done(const std::string& machine_name, bool answered, double now);

  // ---- group commit

  /// The next transaction; at most one is in flight at a time.
  [[nodiscard]] std::optional<wire::Transaction> next_transaction(
      const state::StateCache& cache, const state::TransactionLimits& limits,
      const std::string& tag, double now);
  void transaction_applied(double now);
  void transaction_failed(double now);
  [[nodiscard]] bool transaction_in_flight() const {
    return placement_store_.transaction_in_flight() || delegation_planner_.transaction_in_flight();
  }

  // ---- time

  /// What time alone brings: silence, pauses that end, idle machines.
  void tick(double now);
  /// Something became possible since the last pass. Heartbeats only note that, so that a thousand
  /// of them cost one pass.
  [[nodiscard]] bool scheduling_due() const { return context_.scheduling_due; }
  /// Waiting work enters the chain.
  void run_scheduling_pass(double now);

  // ---- the cloud

  /// Machines to rent, grouped; each is handed out once and answered by rented or rent_refused.
  [[nodiscard]] std::vector<ScaleOutRequest> scale_out_requests(double now);
  void rented(const ScaleOutRequest& request, const std::vector<std::string>& names, double now);
  /// The machines from index `from` on were not rented.
  void rent_refused(const ScaleOutRequest& request, std::size_t from, bool no_capacity, double now);
  /// Machines to give back: idle, never up, failed, lost. Handed out once; machine_gone or
  /// return_failed follows.
  [[nodiscard]] std::vector<std::string> machines_to_return() {
    return rentals_.machines_to_return();
  }
  void return_failed(const std::string& name) { rentals_.return_failed(name); }
  /// The cloud says that the machine stopped by itself, or does not list it any more (`unlisted`).
  void machine_failed(const std::string& name, bool unlisted, double now);

  // ---- other shards

  /// What this shard has, is entitled to and could use, in machines of the first type.
  [[nodiscard]] shard::Load load(double now) const;
  /// Another shard lacks machines.
  void transfer(const MachineTransfer& transfer);
  /// Marked to go to other shards, in machines of the first type.
  [[nodiscard]] double transferring() const { return transfers_.transferring(); }

  /// Room that nothing of this shard waits for, for tasks of others (docs/delegation.md).
  [[nodiscard]] std::vector<RoomOffer> room_offers(double now) const;
  /// What the other shards offer.
  void set_room_offers(std::vector<RoomOffer> offers) {
    delegation_planner_.set_offers(std::move(offers));
  }
  /// Takes over what the cache holds of delegations. To be called after each change of the cache,
  /// and before anything is scheduled.
  void sync_delegations(const state::StateCache& cache, double now);

  // ---- for operators

  [[nodiscard]] const Counters& counters() const { return context_.counters; }
  /// As JSON (shard_summary).
  [[nodiscard]] std::string summary() const;

 private:
  void remove_machine(int number, double now);
  void check_machines(double now);
  void check_machine(Machine& machine, bool others_heard, double now);
  void check_booting(Machine& machine, double now);
  void check_silence(Machine& machine, bool others_heard, double now);
  void give_up_machine(Machine& machine);
  HeartbeatResult take_older_heartbeat(Machine& machine, const wire::Heartbeat& heartbeat,
                                       double now);

  ShardContext context_;
  const std::uint64_t opened_under_;
  const double opened_at_;
  Machines machines_;
  Rentals rentals_;
  MachineTransfers transfers_;
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
  DelegatedWork delegated_work_;
  DelegationPlanner delegation_planner_;
  // Names to dense indices.
  std::unordered_map<std::string, int> classes_, images_;
  // Steady times, in seconds.
  double last_heartbeat_at_ = 0;
  double last_pass_at_ = -1e9, last_requeue_at_ = -1e9;
};

}  // namespace shunttrail::scheduler
