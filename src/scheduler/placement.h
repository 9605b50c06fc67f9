// What may run on a machine. Placements alone changes it.
#pragma once
#include <cstdint>
#include <vector>

#include "scheduler/queued_task.h"
#include "wire/types.h"

namespace shunttrail::scheduler {

enum class Phase : std::uint8_t { planned, committing, committed };

struct Placement {
  jobs::JobPtr job;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  Phase phase = Phase::planned;
  bool recovered = false;  // an earlier owner may have sent it; no proof seen yet
  bool sent = false;
  std::uint64_t sent_incarnation = 0, sent_sequence = 0;
  bool sent_directly = false;  // sent by a direct order, not in a report's answer
  std::uint64_t unacknowledged_token =
      0;  // the token of a direct order that may still be on its way
  bool seen = false;
  bool released = false;  // known not to run, now or later
  bool acknowledging = false;
  bool preempted = false;  // makes room for more urgent work
  bool stop_sent = false;
  bool end_sent = false;  // its job is over, and a direct order has said so
  wire::TaskState state = wire::TaskState::fetching;
  wire::ExitReason exit_reason = wire::ExitReason::none;
  double started = 0;  // first seen running
  QueuedTask queued_task;
};

struct MachineTasks {
  jobs::Resources used;
  std::vector<Placement> placements;
  std::uint64_t incarnation = 0, sequence = 0;
  std::uint64_t token = 0;  // as last reported
  bool token_seen = false;  // a report under our token has come
  bool direct_in_flight = false;
  bool direct_due = false;    // has something to be sent directly
  bool needs_resync = false;  // taken over: asked at once what is there, under our token
  double resync_at = 0;
  std::vector<wire::TaskStatus> unknown_tasks;  // reported, but no placement of ours
};

}  // namespace shunttrail::scheduler
