#include "scheduler/heartbeat_processor.h"

#include <algorithm>

#include "scheduler/finish_cost.h"

namespace shunttrail::scheduler {

using jobs::Job;
using jobs::JobPtr;
using wire::ExitReason;
using wire::TaskState;

namespace {
/// Number of machines on which a job must have failed for the failures to count as its own.
constexpr std::size_t kFailedMachinesBeforeBackoff = 3;
constexpr double kMinBackoffS = 5;
constexpr double kMaxBackoffS = 60;
/// Pause, in seconds, of a job that a worker does not know: its description may not have reached
/// the worker yet.
constexpr double kUnknownJobPauseS = 3;
/// Pause, in seconds, of a machine whose worker had too little free capacity for a task, or was
/// busy.
constexpr double kFullMachinePauseS = 1;

bool is_same_attempt(const wire::TaskStatus& a, const wire::TaskStatus& b) {
  return a.attempt == b.attempt && a.task.index == b.task.index && a.task.job == b.task.job;
}

// Returns the index of the placement that the status belongs to, or the number of placements if
// there is none.
std::size_t find_placement(const std::vector<Placement>& placements,
                           const wire::TaskStatus& status) {
  const auto found = std::find_if(
      placements.begin(), placements.end(),
      [&](const Placement& placement) { return placement.is_for(status.task, status.attempt); });
  return static_cast<std::size_t>(found - placements.begin());
}
}  // namespace

void HeartbeatProcessor::heartbeat_received(Machine& machine, const wire::Heartbeat& heartbeat,
                                            HeartbeatSource source, double now) {
  MachineTasks& tasks = machine.tasks;
  // A machine that was another shard's in between may list attempts that this leader has started.
  const bool is_first = tasks.incarnation == 0;
  const bool under_own_token = token_policy_.excludes_earlier_leaders(heartbeat.token);
  if (is_first && under_own_token) machine.newest_direct_start = heartbeat.token;
  const UnknownTasks before{std::exchange(tasks.unknown_tasks, {}),
                            token_policy_.excludes_earlier_leaders(tasks.token)};
  tasks.incarnation = heartbeat.incarnation;
  tasks.sequence = heartbeat.sequence;
  tasks.token = heartbeat.token;
  token_policy_.update_command_token(machine);
  if (under_own_token) {
    tasks.token_seen = true;
    tasks.needs_resync = false;
  }
  std::vector<bool> is_listed(tasks.placements.size(), false);
  for (const wire::TaskStatus& status : heartbeat.tasks) {
    const std::size_t index = find_placement(tasks.placements, status);
    if (index == tasks.placements.size()) {
      unknown_task(machine, status, now);
      continue;
    }
    is_listed[index] = true;
    update_placement(machine, tasks.placements[index], status, now);
  }
  if (under_own_token) note_unexpected(machine, before);
  handle_absent(machine, is_listed, heartbeat, source, now);
}

// ---- tasks that the heartbeat lists

// Called only for heartbeats under a token of this leader: one under an earlier token may be an old
// copy, of which a later heartbeat shows whether the attempt is still there.
void HeartbeatProcessor::note_unexpected(const Machine& machine, const UnknownTasks& before) {
  for (const wire::TaskStatus& status : machine.tasks.unknown_tasks) {
    const bool ran_before =
        std::any_of(before.tasks.begin(), before.tasks.end(), [&](const wire::TaskStatus& other) {
          return is_same_attempt(other, status) && other.state != TaskState::exited;
        });
    const bool is_noted = ran_before && before.under_own_token;
    const bool is_unexpected = ran_before || status.state != TaskState::exited;
    if (is_noted || !is_unexpected) continue;
    ++context_.counters.unexpected;
    unexpected_.push_back({machine.name, status});
  }
}

// Counts the result of a task that this leader has not started: an earlier leader may have ended
// before it could persist the result.
void HeartbeatProcessor::unknown_task(Machine& machine, const wire::TaskStatus& status,
                                      double now) {
  machine.tasks.unknown_tasks.push_back(status);
  if (status.state != TaskState::exited || status.exit_reason != ExitReason::done) return;
  const auto job = context_.jobs.find(status.task.job);
  if (job != context_.jobs.end()) mark_done(job->second, status.task.index, now);
}

void HeartbeatProcessor::update_placement(Machine& machine, Placement& placement,
                                          const wire::TaskStatus& status, double now) {
  const bool exited_now = status.state == TaskState::exited;
  placement.seen = true;
  // The placement was released as proven not to run, but the attempt runs. Whatever has started it,
  // it is stopped in the same way as an unknown task.
  if (placement.released && !exited_now) machine.tasks.unknown_tasks.push_back(status);
  const bool is_over = placement.state == TaskState::exited && placement.released;
  if (!is_over) {
    placement.state = status.state;
    placement.exit_reason = status.exit_reason;
    if (status.state == TaskState::running && placement.started == 0) {
      placement.started = now;
      // A replica does not complete, so its cost is recorded when it is first seen running.
      if (placement.job->spec.service && !placement.recovered && machine.type >= 0)
        record_finish_cost(context_, placement, machine, now);
    }
    if (exited_now && !placement.released) task_exited(machine, placement, now);
  }
  if (!exited_now && !placement.job->ended) machines_.note_image(machine, placement.job->image);
}

void HeartbeatProcessor::task_exited(Machine& machine, Placement& placement, double now) {
  Job& job = *placement.job;
  switch (placement.exit_reason) {
    case ExitReason::done:
      task_succeeded(machine, placement, now);
      break;
    case ExitReason::error:
      task_failed(machine, placement, now);
      break;
    case ExitReason::unknown:
      job.not_before = std::max(job.not_before, now + kUnknownJobPauseS);
      break;
    case ExitReason::no_room:
    case ExitReason::busy:
      machine.avoid(now + kFullMachinePauseS);
      break;
    default:
      break;
  }
  placements_.release(machine, placement, now);
}

void HeartbeatProcessor::task_succeeded(Machine& machine, Placement& placement, double now) {
  Job& job = *placement.job;
  if (placement.task < job.spec.tasks) mark_done(placement.job, placement.task, now);
  if (job.ended || machine.type < 0) return;
  record_finish_cost(context_, placement, machine, now);
  machine.task_succeeded();
  job.failed_on.clear();
  job.backoff_s = 0;
}

// A job that fails on several machines is considered the cause itself, and waits longer after each
// failure.
void HeartbeatProcessor::task_failed(Machine& machine, Placement& placement, double now) {
  Job& job = *placement.job;
  ++context_.counters.errors;
  if (job.ended) return;
  machine.task_failed(job.spec.id, now);
  job.failed_on.insert(machine.name);
  if (job.failed_on.size() < kFailedMachinesBeforeBackoff) return;
  job.backoff_s = std::clamp(job.backoff_s * 2, kMinBackoffS, kMaxBackoffS);
  job.not_before = now + job.backoff_s;
}

void HeartbeatProcessor::mark_done(const JobPtr& job, std::uint32_t task, double now) {
  if (job->ended || job->done(task)) return;
  if (!job->finish(task, now)) return;
  ++context_.counters.dones;
  if (job->queued) finished_tasks_.push_back({job, task});
}

// ---- tasks that the heartbeat does not list

void HeartbeatProcessor::handle_absent(Machine& machine, const std::vector<bool>& is_listed,
                                       const wire::Heartbeat& heartbeat, HeartbeatSource source,
                                       double now) {
  std::vector<Placement>& placements = machine.tasks.placements;
  std::vector<bool> released(placements.size(), false);
  for (std::size_t i = 0; i < is_listed.size(); ++i)
    released[i] =
        !is_listed[i] && release_if_absent(machine, placements[i], heartbeat, source, now);
  for (std::size_t i = released.size(); i-- > 0;)
    if (released[i]) placements.erase(placements.begin() + static_cast<long>(i));
  machine.note_idle(now);
}

// Releases the placement, and returns true, if the heartbeat proves that the attempt does not run
// and cannot start later. The outcome of a start sent in the response to one heartbeat is visible
// in any later one, since the worker carries the start out or drops it before it sends the next
// heartbeat. Nothing is concluded about a placement of an earlier leader before the worker has
// confirmed the current token: until then, the earlier leader's start could still be in flight.
bool HeartbeatProcessor::release_if_absent(Machine& machine, Placement& placement,
                                           const wire::Heartbeat& heartbeat, HeartbeatSource source,
                                           double now) {
  if (source == HeartbeatSource::direct_response && (!placement.recovered || placement.sent))
    return false;
  // An attempt that has been seen was started, even if its direct command was considered lost and
  // `sent` was reset. A recovered one is excepted: a second copy of an earlier leader's start may
  // still be in flight.
  if (placement.sent || (placement.seen && !placement.recovered)) {
    const bool restarted = heartbeat.incarnation > placement.sent_incarnation;
    if (restarted || placement.seen) {
      placements_.release_lost(machine, placement, now);
      return true;
    }
    if (!placement.sent_directly) {
      // The response was lost: the start is sent once more, as the same attempt.
      placement.sent = false;
      machine.start_lost = true;
    }
    return false;
  }
  if (placement.recovered) {
    const bool under_our_token = token_policy_.excludes_earlier_leaders(heartbeat.token);
    if (!under_our_token && !placement.released) return false;
    placements_.release(machine, placement, now);
    return true;
  }
  const bool is_unwanted = placement.job->ended || placement.job->done(placement.task);
  if (is_unwanted && placement.phase == Phase::committed &&
      TokenPolicy::is_answered(machine, placement)) {
    // The task is not on the machine, no start command is in flight, and none will be sent.
    placements_.release_without_requeue(machine, placement, now);
    return true;
  }
  return false;
}

}  // namespace shunttrail::scheduler
