// One shard at this node: the moves of its ownership, and, while this node owns it, its scheduler
// with the transactions that the scheduler asks for, the answers that wait for them, and direct
// orders.
#pragma once
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "controller/components.h"
#include "controller/state_store.h"
#include "net/pool.h"
#include "scheduler/shard_scheduler.h"

namespace shunttrail::controller {

class ShardController : public actor::Actor {
 public:
  ShardController(actor::Loop& loop, ControllerComponents& parts, int shard);

  // None: this node does not own the shard.
  const scheduler::ShardScheduler* scheduler() const { return scheduler_.get(); }
  std::uint64_t malformed() const { return malformed_; }

  void tick();
  void reconsider_leadership();  // who owns the shard may have changed
  // Answered now, or once a commit that it waits for is through.
  // `passed_on`: by a sibling, since the worker does not reach this node.
  void take_heartbeat(net::ExchangePtr ex, wire::Heartbeat r, bool passed_on = false);
  void set_effective_priority(std::string job, wire::Priority priority, double due);
  // Another shard lacks machines.
  void transfer(scheduler::MachineTransfer transfer);

  // What the cloud is to be asked for. Answers name the scheduler by the token it was opened under:
  // for another one they come too late.
  struct CloudRequests {
    std::uint64_t opened_under = 0;
    std::vector<std::string> machines_to_return;
    std::vector<scheduler::ScaleOutRequest> scale_out;
  };
  void cloud_requests(bool returns, std::function<void(CloudRequests)> then);
  void rented(std::uint64_t born, scheduler::ScaleOutRequest w, std::vector<std::string> machines);
  void rent_refused(std::uint64_t born, scheduler::ScaleOutRequest w, bool no_capacity);
  void deleted(std::uint64_t born, std::vector<std::string> machines, bool ok);
  void machine_failed(std::string machine, bool unlisted);  // says the cloud's list
  void set_machine_address(std::string machine, std::string addr);

 private:
  struct HeldResponse {
    net::ExchangePtr exchange;
    double until = 0;
  };
  bool is_current(std::uint64_t born) const {
    return scheduler_ && scheduler_->opened_under() == born;
  }
  void changed(const std::vector<state::Change>& changes);
  void decide_leadership();
  void commit_leadership(wire::Transaction t);
  void open_scheduler(std::uint64_t token);
  void close_scheduler();
  void advance_token();
  void add_job(const std::string& id, const state::JobEntry& j, int team);
  void add_machine(const wire::MachineRecord& m);
  void lose_machine(const std::string& name);
  void schedule_pass();  // something may have become possible
  void run_scheduling_pass();
  void commit_next();
  void send_direct_commands();
  void send_probes();
  net::Client& worker(const std::string& machine, const std::string& addr);
  void transaction_done(std::uint64_t born, state::CommitResult r);
  void resolve_transaction(std::uint64_t born);
  void transaction_resolved(bool applied);
  void retry_later();
  void handle_heartbeat(const net::ExchangePtr& ex, const wire::Heartbeat& r);
  void respond(const std::string& machine, const net::ExchangePtr& ex);
  void flush_held_responses();
  std::string next_tag();

  ControllerComponents& components_;
  const int shard_;
  std::unique_ptr<scheduler::ShardScheduler> scheduler_;
  std::uint64_t last_closed_token_ = 0;  // the latest token whose scheduler was closed here
  bool leadership_in_flight_ = false;    // an ownership commit is out
  bool transaction_unresolved_ = false;  // the transaction's fate is not known yet
  wire::Transaction transaction_;        // kept for that
  std::string transaction_tag_;
  double next_commit_at_ = 0;
  std::string token_commit_tag_;  // of the commit that raises the scheduler's own token
  std::map<std::string, HeldResponse>
      held_responses_;  // by machine: answers that wait for a commit
  // By machine: until when it counts as cut off from this node. No direct order is sent there,
  // which would hold up the start that its report's answer can bring.
  std::unordered_map<std::string, double> unreachable_until_;
  net::Pool workers_;  // by machine
  std::uint64_t tags_ = 0, malformed_ = 0;
  bool pass_armed_ = false;
  actor::Timer pass_timer_;
};

}  // namespace shunttrail::controller
