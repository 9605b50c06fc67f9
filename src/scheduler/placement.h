// A task's placement on a machine, and the state of everything that may run there. Placements,
// HeartbeatProcessor and WorkerCommands change it; PlacementStore moves its phase.
#pragma once
#include <cstdint>
#include <vector>

#include "scheduler/queued_task.h"
#include "wire/types.h"

namespace shunttrail::scheduler {

/// How far a placement's record in the state service is.
enum class Phase : std::uint8_t {
  planned,     // not written yet: it may not be sent
  committing,  // in the transaction that is in flight
  committed,   // written: it may be sent
};

/// One attempt of a task on a machine, from its plan until it is proven not to run, now or later.
struct Placement {
  jobs::JobPtr job;
  /// Index within the job.
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  Phase phase = Phase::planned;
  /// Found in the state service: an earlier owner of the shard may have sent it.
  bool recovered = false;
  /// A start has been sent and has not been found lost.
  bool sent = false;
  /// The heartbeat that was the latest one when the start was sent.
  std::uint64_t sent_incarnation = 0, sent_sequence = 0;
  /// Sent by a direct command, not in a heartbeat's response.
  bool sent_directly = false;
  /// The token of a direct command that may still be on its way; 0: none is.
  std::uint64_t unacknowledged_token = 0;
  /// Some heartbeat has shown it.
  bool seen = false;
  /// Proven not to run, now or later: its room is free.
  bool released = false;
  /// The worker has been told that its result is no longer needed.
  bool acknowledging = false;
  /// To be stopped, since its room is needed.
  bool preempted = false;
  /// The stop of a preempted task has been sent.
  bool stop_sent = false;
  /// Its job is over, and a direct command has said so.
  bool job_end_sent = false;
  /// As last reported.
  wire::TaskState state = wire::TaskState::fetching;
  wire::ExitReason exit_reason = wire::ExitReason::none;
  /// Steady time at which it was first seen running, in seconds; 0: not yet.
  double started = 0;
  /// As it left the queue: when it began to wait, and what is to learn its cost.
  QueuedTask queued_task;
};

/// What may run on one machine, and what its worker has reported.
struct MachineTasks {
  /// What the placements that are not released take.
  jobs::Resources used;
  std::vector<Placement> placements;
  /// Of the newest heartbeat.
  std::uint64_t incarnation = 0, sequence = 0;
  /// The highest token that the worker has seen, as last reported.
  std::uint64_t token = 0;
  /// A heartbeat under our token has come.
  bool token_seen = false;
  bool direct_in_flight = false;
  /// Noted for direct commands (Placements::note_direct_due).
  bool direct_due = false;
  /// The shard was taken over: the worker is asked at once what runs there, under our token.
  bool needs_resync = false;
  /// Steady time of the next such request, in seconds.
  double resync_at = 0;
  /// Reported tasks that are no placement of ours.
  std::vector<wire::TaskStatus> unknown_tasks;
};

}  // namespace shunttrail::scheduler
