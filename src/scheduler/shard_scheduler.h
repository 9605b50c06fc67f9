// The scheduler of one shard, for as long as this node leads the shard. It passes events to the
// parts that handle them, and returns the messages to send. Free of I/O: time, the seed of random
// numbers, messages and commit results are arguments; messages to send are return values.
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

/// The jobs, machines, placements and queues of a shard. Each part owns its state. Times are
/// steady, in seconds, unless they are named as wall-clock times.
class ShardScheduler {
 public:
  /// How a heartbeat has to be answered.
  enum class HeartbeatResult {
    fresh,    // newer than all before it: answered with all commands
    older,    // arrived after a newer one: answered with stop commands only
    unknown,  // of an unknown machine, or a late copy: refused
  };

  ShardScheduler(const config::Settings& settings, const config::Tuning& tuning,
                 const MachineCatalogue& catalogue, int shard, std::uint64_t token, double now,
                 std::uint64_t seed);

  [[nodiscard]] int shard() const { return context_.shard; }
  [[nodiscard]] std::uint64_t token() const { return token_policy_.token(); }
  /// Returns the token under which the scheduler was created. It identifies this scheduler, since
  /// it stays the same when the token is advanced.
  [[nodiscard]] std::uint64_t opened_under() const { return opened_under_; }
  /// TokenPolicy::saw_higher_token
  void saw_higher_token() { token_policy_.saw_higher_token(); }
  /// TokenPolicy::needs_new_token
  [[nodiscard]] bool needs_new_token(double now) const {
    return token_policy_.needs_new_token(now);
  }
  /// Continues under a higher token, with all state kept.
  void advance_token(std::uint64_t token, double now);

  // ---- the shard's durable state, at the takeover and as it changes

  /// Adds a job. `done`: its persisted results by chunk; `wall_now`: wall-clock time. Ignored if
  /// the job is known already, or if its team is unknown (negative).
  void job_added(const wire::JobRecord& record, int team,
                 const std::map<std::uint32_t, state::Intervals>& done, double now,
                 double wall_now);
  /// Removes a job that has been completed or cancelled, and stops its tasks.
  void job_ended(const std::string& id, double now);
  /// Sets the priority and due time (steady) that a job has because of the jobs that depend on it.
  void set_effective_priority(const std::string& id, wire::Priority priority, double due);
  /// PlacementStore::recover_page, for a page found at the takeover.
  void recover_page(int page, const wire::PlacementPageRecord& record, double now) {
    placement_store_.recover_page(page, record, now);
  }

  /// Handles that the inventory assigns the machine to this shard. Adds it if it is new.
  void machine_known(const wire::MachineRecord& record, double now);
  /// Removes a machine that is proven deleted.
  void machine_deleted(const std::string& name, double now);
  /// Removes a machine that the inventory now assigns to another shard.
  void machine_moved(const std::string& name, double now);
  void set_machine_address(const std::string& name, const std::string& addr);
  /// Returns the changes that the inventory needs, except for those that it has been asked for
  /// already.
  [[nodiscard]] std::vector<InventoryChange> inventory_changes(
      const MachineTransfers::IsRequested& is_requested = [](auto&&...) { return false; }) const {
    return transfers_.inventory_changes(token(), is_requested);
  }
  /// MachineTransfers::transfer_target
  [[nodiscard]] int transfer_target(const std::string& name) const {
    return transfers_.transfer_target(name);
  }
  [[nodiscard]] bool has_machine(const std::string& name) const { return machines_.contains(name); }
  [[nodiscard]] std::size_t machine_count() const { return machines_.named_count(); }

  // ---- workers

  /// Takes a worker's heartbeat, or the body of a response to direct commands (HeartbeatSource).
  HeartbeatResult take_heartbeat(const wire::Heartbeat& heartbeat, double now,
                                 bool is_direct_response = false);
  /// WorkerCommands::commands_for
  [[nodiscard]] std::vector<wire::Command> commands_for(const std::string& machine_name, bool fresh,
                                                        double now);
  /// WorkerCommands::awaits_commit
  [[nodiscard]] bool awaits_commit(const std::string& machine_name);
  /// WorkerCommands::stop_commands
  [[nodiscard]] std::vector<wire::Command> stop_commands(const std::string& machine_name);
  /// Returns the token for the response that contains the commands returned last for the machine
  /// (TokenPolicy::command_token).
  [[nodiscard]] std::uint64_t command_token(const std::string& machine_name) const;
  /// WorkerCommands::reason_for, for a machine by name.
  [[nodiscard]] std::string reason_for(const std::string& machine_name,
                                       const wire::Command& command) const;
  /// HeartbeatProcessor::take_unexpected
  [[nodiscard]] std::vector<UnexpectedAttempt> take_unexpected() {
    return heartbeat_processor_.take_unexpected();
  }
  /// Returns whether responses must not renew the machine's lease under the newest token
  /// (WorkerCommands::has_unacknowledged_start).
  [[nodiscard]] bool has_unacknowledged_start(const std::string& machine_name) const;
  /// WorkerCommands::direct_commands
  [[nodiscard]] std::vector<DirectCommands> direct_commands(
      bool fresh, const std::function<bool(const std::string&)>& skip, double now) {
    return worker_commands_.direct_commands(fresh, skip, now);
  }
  /// WorkerCommands::direct_commands_done
  void direct_commands_done(const DirectCommands& sent, int status) {
    worker_commands_.direct_commands_done(sent, status);
  }
  /// FailureDetector::probes. The caller reports the outcome of each one to probe_done.
  [[nodiscard]] std::vector<Probe> probes(double now) { return failure_detector_.probes(now); }
  /// Handles the outcome of a probe. Gives up on the machine if FailureDetector decides so.
  void probe_done(const std::string& machine_name, bool answered, double now);

  // ---- group commit

  /// Returns the next transaction, or nothing while one is in flight or if there is nothing to
  /// store.
  [[nodiscard]] std::optional<wire::Transaction> next_transaction(
      const state::StateCache& cache, const state::TransactionLimits& limits,
      const std::string& tag, double now);
  /// Handles that the transaction in flight has been applied.
  void transaction_applied(double now);
  /// Handles that the transaction in flight has not been applied and never will be.
  void transaction_failed(double now);
  [[nodiscard]] bool transaction_in_flight() const {
    return placement_store_.transaction_in_flight() || delegation_planner_.transaction_in_flight();
  }

  // ---- time

  /// Handles everything that depends on time alone: silent machines, pauses that end, and idle
  /// machines. To be called regularly.
  void tick(double now);
  /// Returns whether an event since the last pass may allow a task to be placed. Heartbeats only
  /// set this mark, so that a thousand of them cost one pass.
  [[nodiscard]] bool scheduling_due() const { return context_.scheduling_due; }
  /// Lets pending tasks enter the chain.
  void run_scheduling_pass(double now);

  // ---- the cloud

  /// Returns requests for machines to rent. Each machine is requested only once; the caller reports
  /// the outcome to rented or rent_refused.
  [[nodiscard]] std::vector<ScaleOutRequest> scale_out_requests(double now);
  /// Handles that the cloud has rented machines of these names for the request.
  void rented(const ScaleOutRequest& request, const std::vector<std::string>& names, double now);
  /// Handles that the request's machines from index `from` on have not been rented.
  void rent_refused(const ScaleOutRequest& request, std::size_t from, bool no_capacity, double now);
  /// Returns the machines to return to the cloud: idle ones, ones that never came up, and failed or
  /// lost ones. Each is returned by this function only once, unless return_failed is called for it.
  /// The caller reports the outcome to machine_deleted or return_failed.
  [[nodiscard]] std::vector<std::string> machines_to_return() {
    return rentals_.machines_to_return();
  }
  void return_failed(const std::string& name) { rentals_.return_failed(name); }
  /// Handles that, by the cloud's account, the machine has stopped by itself or is no longer listed
  /// (`unlisted`). Returns true if the machine is given up on for this reason.
  bool machine_failed(const std::string& name, bool unlisted, double now);

  // ---- other shards

  /// Returns the shard's capacity, entitlement and demand, in machines of the first type.
  [[nodiscard]] shard::Load load(double now) const;
  /// Marks machines for transfer to another shard, which lacks them.
  void transfer(const MachineTransfer& transfer);
  /// Returns how much is marked for transfer to other shards, in machines of the first type.
  [[nodiscard]] double transferring() const { return transfers_.transferring(); }

  /// Returns free capacity for tasks of other shards: no task of this shard waits for it
  /// (docs/delegation.md).
  [[nodiscard]] std::vector<RoomOffer> room_offers(double now) const;
  /// Replaces the offers of the other shards.
  void set_room_offers(std::vector<RoomOffer> offers) {
    delegation_planner_.set_offers(std::move(offers));
  }
  /// Takes the delegations over from the cache. To be called after each change of the cache, and
  /// before anything is scheduled.
  void sync_delegations(const state::StateCache& cache, double now);

  // ---- for operators

  [[nodiscard]] const Counters& counters() const { return context_.counters; }
  /// Returns the shard's figures as JSON (shard_summary).
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
  // Dense indices of job classes and images, by name.
  std::unordered_map<std::string, int> classes_, images_;
  // Steady times, in seconds.
  double last_heartbeat_at_ = 0;
  double last_pass_at_ = -1e9, last_requeue_at_ = -1e9;
};

}  // namespace shunttrail::scheduler
