// Placements and their proofs: what may run where, from the moment it is planned until it is proven
// not to run, now or later; and the commands that start, stop and reap it. Free of I/O.
#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "scheduler/machines.h"
#include "scheduler/shard_context.h"
#include "state/state_cache.h"
#include "wire/types.h"

namespace shunttrail::scheduler {

// Starts sent straight to a worker's address.
struct DirectCommands {
  std::string machine, addr;
  std::uint64_t incarnation = 0;
  std::vector<wire::Command> commands;
};

// A placement as a placement page holds it.
struct PersistedPlacement {
  int machine = 0;
  jobs::JobPtr job;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
};

class Placements {
 public:
  Placements(ShardContext& common, Machines& machines, std::uint64_t token, double now);

  std::uint64_t token() const { return token_; }
  // What a team's placements take, all that may exist.
  const jobs::Resources& used(int team) const { return used_[static_cast<std::size_t>(team)]; }
  Placement* find(const PersistedPlacement& h);

  // A task out of the chain, on a machine with room for it.
  void place(Machine& m, QueuedTask item);
  // To make room for more urgent work.
  void stop(Machine& m, Placement& p);
  // An earlier owner's placement, as a placement page says: it may exist.
  void recover_placement(Machine& m, const PersistedPlacement& h, double now);
  // Its job is over: what was only planned never was.
  void drop_planned(Machine& m, const jobs::JobPtr& j, double now);
  // Its job is over: what runs is told so at once, and not only when its machine reports.
  void stop_directly(Machine& m, const jobs::JobPtr& j);
  // Its commit has failed: planned again, or, if its job is over by now, never was.
  void undo(Machine& m, Placement& p, double now);
  // The machine is proven gone.
  void machine_gone(Machine& m, double now);
  // It has been silent for longer than its lease. Its tasks are released once that is a proof.
  void lease_expired(Machine& m, double now);

  // False: older than what was heard last.
  static bool is_newer(const Machine& m, const wire::Heartbeat& r) {
    return std::pair(r.incarnation, r.sequence) > std::pair(m.tasks.incarnation, m.tasks.sequence);
  }
  // A report that is newer. The body of an answer to direct orders is one too, but proves no
  // absence: the answer to an earlier report may still be on its way to the worker.
  void heartbeat_received(Machine& m, const wire::Heartbeat& r, bool to_direct, double now);
  // Tasks found done since the last call: they may wait somewhere for another try.
  std::vector<std::pair<jobs::JobPtr, std::uint32_t>> take_finished() {
    return std::exchange(finished_tasks_, {});
  }

  // What to answer the machine's report with. `fresh` says that the state service was read lately
  // enough to start tasks; without it, leases are renewed and tasks stopped, but nothing is
  // started.
  std::vector<wire::Command> commands_for(Machine& m, bool fresh, double now);
  static bool awaits_commit(const Machine& m);
  // For a report that has been overtaken: what ends work that is not wanted, and nothing else.
  std::vector<wire::Command> stop_commands(const Machine& m) const;
  // A start of a cancelled job, sent directly, may still be carried out under the token that an
  // answer would carry now: the lease is not renewed under it (docs/safety.md, "From a confirmed
  // cancellation to the last task").
  bool has_unacknowledged_start(const Machine& m) const;

  // Starts for machines that are not about to be answered. A direct order may be carried out as
  // late as its token and incarnation hold, so an attempt sent that way is `unacknowledged` until
  // an answer comes: it is not reaped, nor given up, before the worker has seen a higher token.
  std::vector<DirectCommands> direct_commands(bool fresh,
                                              const std::function<bool(const std::string&)>& skip,
                                              double now);
  void direct_commands_done(const DirectCommands& d, int status);
  void note_direct_due(Machine& m);

  // A machine of ours has seen a higher token under another shard.
  void saw_higher_token() { saw_higher_token_ = true; }
  // True when a higher token would settle something unacknowledged, or let a machine in.
  bool needs_new_token(double now) const;
  void advance_token(std::uint64_t token, double now);

 private:
  void reserve_room(Machine& m, const Placement& p);
  void release(Machine& m, Placement& p, double now, bool again);
  void exited(Machine& m, Placement& p, double now);
  void task_done(const jobs::JobPtr& j, std::uint32_t task, double now);
  void absent(Machine& m, const std::vector<bool>& shown, const wire::Heartbeat& r, bool to_direct,
              double now);
  void record_cost(const Placement& p, const Machine& m, double now);
  static bool is_acknowledged(const Machine& m, const Placement& p) {
    return p.unacknowledged_token == 0 || m.tasks.token > p.unacknowledged_token;
  }
  bool may_start_late(const Placement& p) const {
    return p.unacknowledged_token == token_ && p.job->over && !p.seen && !p.released;
  }

  ShardContext& context_;
  Machines& machines_;
  std::uint64_t token_, next_attempt_;
  double token_advanced_at_ = -1e9;
  bool saw_higher_token_ = false;
  const double opened_at_;
  std::vector<jobs::Resources> used_;  // by team
  std::vector<std::pair<jobs::JobPtr, std::uint32_t>> finished_tasks_;
  std::vector<int> direct_due_;
};

}  // namespace shunttrail::scheduler
