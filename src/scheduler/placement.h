// A task's placement on a machine, and all placements of one machine. Placements,
// HeartbeatProcessor and WorkerCommands change them; PlacementStore advances a placement's phase.
#pragma once
#include <cstdint>
#include <vector>

#include "scheduler/queued_task.h"
#include "wire/types.h"

namespace shunttrail::scheduler {

/// Whether a placement is recorded in the state service.
enum class Phase : std::uint8_t {
  planned,     // not recorded yet: no start command may be sent
  committing,  // recorded by the transaction that is in flight
  committed,   // recorded: the start command may be sent
};

/// One attempt of a task on a machine. It is kept from its planning until it is proven that the
/// attempt does not run and cannot start later.
struct Placement {
  jobs::JobPtr job;
  /// Index within the job.
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  Phase phase = Phase::planned;
  /// Read from the state service at a takeover: an earlier leader of the shard may have sent the
  /// start command.
  bool recovered = false;
  /// A start command has been sent, and no evidence of its loss has been received.
  bool sent = false;
  /// Incarnation and sequence number of the machine's newest heartbeat when the start was sent.
  std::uint64_t sent_incarnation = 0, sent_sequence = 0;
  /// The start was sent as a direct command, not in the response to a heartbeat.
  bool sent_directly = false;
  /// Token of a direct start command that the worker has not answered and may still carry out; 0:
  /// there is none.
  std::uint64_t unacknowledged_token = 0;
  /// Token of the direct command that contained its start; 0: there is none. A copy of a command
  /// may arrive at any time, also after the answer. A worker that no longer lists the attempt
  /// executes the copy, unless it has seen a higher token.
  std::uint64_t direct_start_token = 0;
  /// At least one heartbeat has listed the attempt.
  bool seen = false;
  /// The attempt is proven not to run, now or later: its resources are free.
  bool released = false;
  /// The attempt is to be stopped, since other work needs its resources.
  bool preempted = false;
  /// The stop command of a preempted attempt has been sent.
  bool stop_sent = false;
  /// Its job has ended, and a direct stop command has been sent for that reason.
  bool job_end_sent = false;
  /// State and exit reason in the latest heartbeat that listed the attempt.
  wire::TaskState state = wire::TaskState::fetching;
  wire::ExitReason exit_reason = wire::ExitReason::none;
  /// Steady time at which it was first seen running, in seconds; 0: not yet.
  double started = 0;
  /// The queue entry that the placement was made from. It holds the time at which the task began to
  /// wait, and the chain steps whose learners record its cost.
  QueuedTask queued_task;

  /// Returns whether it is the placement of this attempt of the task.
  [[nodiscard]] bool is_for(const wire::TaskId& id, std::uint64_t attempt_number) const {
    return attempt == attempt_number && task == id.index && job->spec.id == id.job;
  }
  /// Returns whether the worker has to keep the attempt's result, since it is not persisted yet.
  /// The results of failed or stopped attempts are not kept.
  [[nodiscard]] bool is_result_kept() const {
    return exit_reason == wire::ExitReason::done && !job->ended && !job->persisted(task);
  }
  /// Returns whether the attempt is over, and the worker only has to be told to remove it.
  [[nodiscard]] bool awaits_acknowledgement() const {
    return released && seen && state == wire::TaskState::exited && !is_result_kept();
  }
};

/// The placements of one machine, and the contents of its worker's newest heartbeat.
struct MachineTasks {
  /// Sum of the resources of all placements that are not released.
  jobs::Resources used;
  std::vector<Placement> placements;
  /// Incarnation and sequence number of the newest heartbeat.
  std::uint64_t incarnation = 0, sequence = 0;
  /// The highest token that the worker had seen when it sent the newest heartbeat.
  std::uint64_t token = 0;
  /// A heartbeat under a token of this leader has been received: the worker accepts no response of
  /// an earlier leader any more.
  bool token_seen = false;
  /// A request with direct commands, or a resync request, is in flight.
  bool direct_in_flight = false;
  /// The machine is listed for direct commands (Placements::note_direct_due).
  bool direct_due = false;
  /// Placements on the machine were recovered at a takeover. Resync requests under the current
  /// token ask the worker which tasks it has, until a heartbeat carries that token.
  bool needs_resync = false;
  /// Earliest steady time of the next resync request, in seconds.
  double resync_at = 0;
  /// Tasks in the newest heartbeat that belong to no placement, or still run although their
  /// placement was released.
  std::vector<wire::TaskStatus> unknown_tasks;
};

}  // namespace shunttrail::scheduler
