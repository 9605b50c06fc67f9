// The commands for workers: in the responses to their heartbeats, and sent directly to their
// addresses (PROTOCOL, Commands). Free of I/O.
#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "scheduler/machines.h"
#include "scheduler/placements.h"
#include "scheduler/shard_context.h"
#include "scheduler/token_policy.h"
#include "wire/types.h"

namespace shunttrail::scheduler {

/// Commands sent straight to a worker's address. Without any, the request shows the worker our
/// token, and its response shows what runs there.
struct DirectCommands {
  std::string machine, addr;
  std::uint64_t incarnation = 0;
  std::vector<wire::Command> commands;
};

/// Derives a machine's commands from its placements, and notes what has been sent.
class WorkerCommands {
 public:
  WorkerCommands(ShardContext& context, Machines& machines, Placements& placements,
                 const TokenPolicy& token_policy)
      : context_(context),
        machines_(machines),
        placements_(placements),
        token_policy_(token_policy) {}

  /// The commands for the response to the machine's heartbeat. `fresh`: the state service was read
  /// lately enough to start tasks; without it, leases are renewed and tasks stopped, but nothing is
  /// started.
  [[nodiscard]] std::vector<wire::Command> commands_for(Machine& machine, bool fresh, double now);
  /// For a heartbeat that has been overtaken: only what ends unwanted work.
  [[nodiscard]] std::vector<wire::Command> stop_commands(const Machine& machine) const;
  /// A response would be worth waiting for a commit.
  [[nodiscard]] static bool awaits_commit(const Machine& machine);
  /// A direct start of a cancelled job may still be carried out under the token that a response
  /// would carry now: the lease is not renewed under it (docs/safety.md, "From a confirmed
  /// cancellation to the last task").
  [[nodiscard]] bool has_unacknowledged_start(const Machine& machine) const;

  /// Commands for machines whose next heartbeat is not about to be answered (`skip` by name). A
  /// direct command may be carried out as late as its token and incarnation hold, so an attempt
  /// started that way is unacknowledged until a response comes: it is not acknowledged to the
  /// worker, nor given up, before the worker has seen a higher token.
  [[nodiscard]] std::vector<DirectCommands> direct_commands(
      bool fresh, const std::function<bool(const std::string&)>& skip, double now);
  /// The HTTP status that the commands were answered with.
  void direct_commands_done(const DirectCommands& sent, int status);

 private:
  /// A heartbeat's response.
  struct Response {
    std::vector<wire::Command> commands;
    bool dropped_unsent = false;
  };

  void add_command(Machine& machine, Placement& placement, bool fresh, double now,
                   Response& response);
  void add_start(Machine& machine, Placement& placement, bool fresh, double now,
                 Response& response);
  bool is_result_kept(const Placement& placement) const;
  bool must_save_now(const Machine& machine, const Placement& placement) const;
  void drop_unsent(Machine& machine, double now);
  void add_unknown_tasks(const Machine& machine, std::vector<wire::Command>& commands) const;

  DirectCommands resync_request(Machine& machine, double now);
  void add_direct_command(Machine& machine, Placement& placement, bool silent,
                          std::vector<wire::Command>& commands);
  void note_sent(const Machine& machine, Placement& placement);

  ShardContext& context_;
  Machines& machines_;
  Placements& placements_;
  const TokenPolicy& token_policy_;
};

}  // namespace shunttrail::scheduler
