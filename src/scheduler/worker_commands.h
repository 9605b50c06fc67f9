// The commands for workers: those in the responses to heartbeats, and direct commands, which are
// sent to the workers' addresses (PROTOCOL, Commands). Free of I/O.
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

/// A request with commands to a worker's address. A request without commands shows the worker the
/// leader's token, and its response lists the tasks on the machine.
struct DirectCommands {
  std::string machine, addr;
  std::uint64_t incarnation = 0;
  std::uint64_t token = 0;
  std::vector<wire::Command> commands;
};

/// Derives a machine's commands from its placements, and records which have been sent.
class WorkerCommands {
 public:
  WorkerCommands(ShardContext& context, Machines& machines, Placements& placements,
                 const TokenPolicy& token_policy)
      : context_(context),
        machines_(machines),
        placements_(placements),
        token_policy_(token_policy) {}

  /// Returns the commands for the response to the machine's heartbeat. `fresh`: the state service
  /// was read recently enough to start tasks. If it was not, responses renew leases and stop tasks,
  /// but start none.
  [[nodiscard]] std::vector<wire::Command> commands_for(Machine& machine, bool fresh, double now);
  /// Returns the commands for the response to a heartbeat that arrived after a newer one: stop
  /// commands for unwanted tasks, and no others.
  [[nodiscard]] std::vector<wire::Command> stop_commands(Machine& machine) const;
  /// Returns whether the machine has placements that are not recorded yet. A response that waits
  /// for their commit can contain their start commands.
  [[nodiscard]] static bool awaits_commit(const Machine& machine);
  /// Returns whether a direct start of a cancelled job may still be carried out under the newest
  /// token. A response must not renew the lease under that token then (docs/safety.md, "From a
  /// confirmed cancellation to the last task").
  [[nodiscard]] bool has_unacknowledged_start(const Machine& machine) const;

  /// Returns direct commands for the machines listed for them, except for those that `skip` selects
  /// by name because a heartbeat of theirs is about to be answered. A worker may carry out a direct
  /// command at any time while its token and incarnation are valid. An attempt started that way is
  /// therefore given up only once the request is answered, or once the worker has seen a higher
  /// token. It is acknowledged only in a response under a higher token, since a copy of the request
  /// may still arrive after the answer.
  [[nodiscard]] std::vector<DirectCommands> direct_commands(
      bool fresh, const std::function<bool(const std::string&)>& skip, double now);
  /// Handles the HTTP status of the response to a request with direct commands.
  void direct_commands_done(const DirectCommands& sent, int status);

 private:
  /// The response to a heartbeat, under construction.
  struct Response {
    std::vector<wire::Command> commands;
    // Placements whose start had not been sent were released, and are to be removed.
    bool dropped_unsent = false;
  };

  void add_command(Machine& machine, Placement& placement, bool fresh, double now,
                   Response& response);
  void add_start(Machine& machine, Placement& placement, bool fresh, double now,
                 Response& response);
  bool must_save_now(const Machine& machine, const Placement& placement) const;
  static void drop_unsent(Machine& machine, double now);
  void add_unknown_tasks(const Machine& machine, std::vector<wire::Command>& commands) const;

  DirectCommands resync_request(Machine& machine, double now) const;
  void add_direct_command(Machine& machine, Placement& placement, bool silent,
                          std::vector<wire::Command>& commands);
  void note_sent(const Machine& machine, Placement& placement);

  ShardContext& context_;
  Machines& machines_;
  Placements& placements_;
  const TokenPolicy& token_policy_;
};

}  // namespace shunttrail::scheduler
