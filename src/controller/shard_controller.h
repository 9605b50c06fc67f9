/// One shard at this node: the actor that has the shard's scheduler while this node leads it.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "controller/components.h"
#include "controller/direct_command_sender.h"
#include "controller/heartbeat_responder.h"
#include "controller/leadership_mover.h"
#include "controller/shard_host.h"
#include "controller/state_store.h"
#include "controller/tag_sequence.h"
#include "controller/transaction_pipeline.h"
#include "scheduler/shard_scheduler.h"

namespace shunttrail::controller {

/// How a heartbeat reached this node.
enum class HeartbeatPath {
  direct,   ///< Directly from the worker.
  relayed,  ///< Relayed by another controller, since the worker cannot reach this node.
};

/// Connects the parts of one shard and passes them the events that concern it: changes of the
/// cached state, heartbeats, and responses of the cloud. Public methods that are not const post a
/// message to the actor's mailbox and return at once.
class ShardController : public actor::Actor, private ShardHost {
 public:
  ShardController(actor::Loop& loop, ControllerComponents& components, int shard);

  /// Returns the scheduler; null if this node does not lead the shard.
  [[nodiscard]] const scheduler::ShardScheduler* scheduler() const { return scheduler_.get(); }
  /// Returns the number of workers' responses that could not be decoded.
  [[nodiscard]] std::uint64_t malformed() const { return direct_commands_.malformed(); }

  /// Advances the scheduler's time, probes silent workers and runs a scheduling pass. Must be
  /// called at short, regular intervals.
  void tick();
  /// Checks whether this node has to take, keep or give up the shard's leadership.
  void reconsider_leadership();
  /// Handles a worker's heartbeat. Responds at once, or once the commit that the response waits for
  /// is applied.
  void take_heartbeat(net::ExchangePtr exchange, wire::Heartbeat heartbeat,
                      HeartbeatPath path = HeartbeatPath::direct);
  /// Sets a job's effective priority, after jobs that depend on it were added or removed. `due` is
  /// in loop time.
  void set_effective_priority(std::string job, wire::Priority priority, double due);
  /// Requests the transfer of machines to another shard that lacks them.
  void transfer(scheduler::MachineTransfer transfer);

  /// Sets the free capacity that other shards offer for waiting tasks (docs/delegation.md).
  void set_room_offers(std::vector<scheduler::RoomOffer> offers);

  /// Requests to the cloud. The calls that report their outcomes name the scheduler by the token
  /// under which it was opened. An outcome for a scheduler that has been closed since is ignored.
  struct CloudRequests {
    std::uint64_t opened_under = 0;
    std::vector<std::string> machines_to_return;
    std::vector<scheduler::ScaleOutRequest> scale_out;
  };
  /// Calls `then` with the new requests, each of which is passed on only once. Machines to return
  /// are included only if `with_returns` is true.
  void cloud_requests(bool with_returns, std::function<void(CloudRequests)> then);
  /// Reports the machines that were rented for a scale-out request.
  void rented(std::uint64_t opened_under, scheduler::ScaleOutRequest request,
              std::vector<std::string> machines);
  /// Reports that a scale-out request was refused. `no_capacity` is true if the cloud has no such
  /// machines left.
  void rent_refused(std::uint64_t opened_under, scheduler::ScaleOutRequest request,
                    bool no_capacity);
  /// Reports the outcome of a deletion. `is_deleted` is true if the machines are gone, and false if
  /// the deletion failed and has to be requested again.
  void deleted(std::uint64_t opened_under, std::vector<std::string> machines, bool is_deleted);
  /// Reports that the machine is listed as failed or, if `is_unlisted`, that the cloud does not
  /// list it any more.
  void machine_failed(std::string machine, bool is_unlisted);
  /// Sets the address that the cloud's list gives for the machine.
  void set_machine_address(std::string machine, std::string address);

 private:
  // ShardHost
  scheduler::ShardScheduler* active_scheduler() override { return scheduler_.get(); }
  void open_scheduler(std::uint64_t token) override;
  void close_scheduler() override;
  void decide_leadership() override { leadership_.decide(); }
  void schedule_pass() override;
  void send_pending_work() override;
  void flush_held_responses() override { heartbeats_.flush_held(); }
  std::string next_tag() override { return tags_.next(); }

  void on_changes(const std::vector<state::Change>& changes);
  void on_job_set(const std::string& id);
  void on_machine_set(const std::string& name);
  [[nodiscard]] bool has_team(int team) const;
  [[nodiscard]] bool is_delegated_here(const wire::JobRecord& job) const;
  void add_job(const std::string& id, const state::JobEntry& job);
  void add_machine(const wire::MachineRecord& machine);
  void remove_machine(const std::string& name);
  void run_scheduling_pass();

  ControllerComponents& components_;
  TagSequence tags_;
  std::unique_ptr<scheduler::ShardScheduler> scheduler_;
  LeadershipMover leadership_;
  TransactionPipeline transactions_;
  HeartbeatResponder heartbeats_;
  DirectCommandSender direct_commands_;
  bool is_pass_scheduled_ = false;
  actor::Timer pass_timer_;
};

}  // namespace shunttrail::controller
