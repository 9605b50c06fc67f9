/// One shard at this node: the actor that owns the shard's scheduler while this node leads it.
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
  direct,   ///< From the worker.
  relayed,  ///< From a sibling, since the worker does not reach this node.
};

/// Wires the parts of one shard together and brings them what concerns the shard: changes of the
/// cached state, heartbeats, and what the cloud answers. Public methods, but for the const ones,
/// leave a message in the actor's mailbox and return at once.
class ShardController : public actor::Actor, private ShardHost {
 public:
  ShardController(actor::Loop& loop, ControllerComponents& components, int shard);

  /// Null: this node does not lead the shard.
  [[nodiscard]] const scheduler::ShardScheduler* scheduler() const { return scheduler_.get(); }
  /// Responses of workers that could not be decoded.
  [[nodiscard]] std::uint64_t malformed() const { return direct_commands_.malformed(); }

  /// To be called at short, regular intervals.
  void tick();
  /// The leader of the shard may have changed.
  void reconsider_leadership();
  /// Responds now, or once a commit that the response waits for is applied.
  void take_heartbeat(net::ExchangePtr exchange, wire::Heartbeat heartbeat,
                      HeartbeatPath path = HeartbeatPath::direct);
  /// Jobs that depend on this one have come or gone. `due`: loop time.
  void set_effective_priority(std::string job, wire::Priority priority, double due);
  /// Another shard lacks machines.
  void transfer(scheduler::MachineTransfer transfer);

  /// What other shards offer for waiting tasks (docs/delegation.md).
  void set_room_offers(std::vector<scheduler::RoomOffer> offers);

  /// What the cloud is to be asked for. Its answers name the scheduler by the token that it was
  /// opened under: for another scheduler they come too late.
  struct CloudRequests {
    std::uint64_t opened_under = 0;
    std::vector<std::string> machines_to_return;
    std::vector<scheduler::ScaleOutRequest> scale_out;
  };
  /// Hands `then` the present requests, each once; those to return machines only if `with_returns`.
  void cloud_requests(bool with_returns, std::function<void(CloudRequests)> then);
  /// A scale-out request was granted.
  void rented(std::uint64_t opened_under, scheduler::ScaleOutRequest request,
              std::vector<std::string> machines);
  /// A scale-out request was refused; `no_capacity`: since the cloud has no such machines left.
  void rent_refused(std::uint64_t opened_under, scheduler::ScaleOutRequest request,
                    bool no_capacity);
  /// The cloud answered the deletion of these machines; `is_deleted`: they are gone.
  void deleted(std::uint64_t opened_under, std::vector<std::string> machines, bool is_deleted);
  /// The cloud's list says that the machine failed, or (`is_unlisted`) has it no more.
  void machine_failed(std::string machine, bool is_unlisted);
  /// The cloud's list says where the machine is reached.
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
