#include "scheduler/heartbeat_processor.h"

#include <algorithm>

#include "scheduler/finish_cost.h"

namespace shunttrail::scheduler {

using jobs::Job;
using jobs::JobPtr;
using wire::ExitReason;
using wire::TaskState;

namespace {
/// A job that has failed on so many machines is at fault itself.
constexpr std::size_t kFailedMachinesBeforeBackoff = 3;
constexpr double kMinBackoffS = 5;
constexpr double kMaxBackoffS = 60;
/// Pause of a job that a worker does not know: its description may still be on its way.
constexpr double kUnknownJobPauseS = 3;
/// Pause of a machine whose worker had no room for a task, or was busy.
constexpr double kFullMachinePauseS = 1;

// The index of the placement that the status is of; the number of placements if there is none.
std::size_t find_placement(const std::vector<Placement>& placements,
                           const wire::TaskStatus& status) {
  const auto found =
      std::find_if(placements.begin(), placements.end(), [&](const Placement& placement) {
        return placement.attempt == status.attempt && placement.task == status.task.index &&
               placement.job->spec.id == status.task.job;
      });
  return static_cast<std::size_t>(found - placements.begin());
}
}  // namespace

void HeartbeatProcessor::heartbeat_received(Machine& machine, const wire::Heartbeat& heartbeat,
                                            HeartbeatSource source, double now) {
  MachineTasks& tasks = machine.tasks;
  tasks.incarnation = heartbeat.incarnation;
  tasks.sequence = heartbeat.sequence;
  tasks.token = heartbeat.token;
  if (heartbeat.token == token_policy_.token()) {
    tasks.token_seen = true;
    tasks.needs_resync = false;
  }
  tasks.unknown_tasks.clear();
  std::vector<bool> shown(tasks.placements.size(), false);
  for (const wire::TaskStatus& status : heartbeat.tasks) {
    const std::size_t index = find_placement(tasks.placements, status);
    if (index == tasks.placements.size()) {
      unknown_task(machine, status, now);
      continue;
    }
    shown[index] = true;
    update_placement(machine, tasks.placements[index], status, now);
  }
  handle_absent(machine, shown, heartbeat, source, now);
}

// ---- tasks that the heartbeat shows

// A result is a result, whoever started the task: an earlier owner may have gone before it could
// persist it.
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
  // Proven not to run, and it does: whatever started it again, it is stopped as an unknown task is.
  if (placement.released && !exited_now) machine.tasks.unknown_tasks.push_back(status);
  const bool is_over = placement.state == TaskState::exited && placement.released;
  if (!is_over) {
    placement.state = status.state;
    placement.exit_reason = status.exit_reason;
    if (status.state == TaskState::running && placement.started == 0) {
      placement.started = now;
      // A replica has no end to record its cost at.
      if (placement.job->spec.service && !placement.recovered && machine.type >= 0)
        record_finish_cost(context_, placement, machine, now);
    }
    if (exited_now && !placement.released) task_exited(machine, placement, now);
  }
  if (!exited_now && !placement.job->over) machines_.note_image(machine, placement.job->image);
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
  if (job.over || machine.type < 0) return;
  record_finish_cost(context_, placement, machine, now);
  machine.task_succeeded();
  job.failed_on.clear();
  job.backoff_s = 0;
}

// A job that fails on several machines is at fault itself and waits longer each time.
void HeartbeatProcessor::task_failed(Machine& machine, Placement& placement, double now) {
  Job& job = *placement.job;
  ++context_.counters.errors;
  if (job.over) return;
  machine.task_failed(job.spec.id, now);
  job.failed_on.insert(machine.name);
  if (job.failed_on.size() < kFailedMachinesBeforeBackoff) return;
  job.backoff_s = std::clamp(job.backoff_s * 2, kMinBackoffS, kMaxBackoffS);
  job.not_before = now + job.backoff_s;
}

void HeartbeatProcessor::mark_done(const JobPtr& job, std::uint32_t task, double now) {
  if (job->over || job->done(task)) return;
  if (!job->finish(task, now)) return;
  ++context_.counters.dones;
  if (job->queued) finished_tasks_.push_back({job, task});
}

// ---- tasks that the heartbeat does not show

void HeartbeatProcessor::handle_absent(Machine& machine, const std::vector<bool>& shown,
                                       const wire::Heartbeat& heartbeat, HeartbeatSource source,
                                       double now) {
  std::vector<Placement>& placements = machine.tasks.placements;
  std::vector<bool> released(placements.size(), false);
  for (std::size_t i = 0; i < shown.size(); ++i)
    released[i] = !shown[i] && release_if_absent(machine, placements[i], heartbeat, source, now);
  for (std::size_t i = released.size(); i-- > 0;)
    if (released[i]) placements.erase(placements.begin() + static_cast<long>(i));
  machine.note_idle(now);
}

// True: the placement is proven gone. A start sent in the response to one heartbeat is settled by
// any later one: the worker has carried it out or dropped it before it reports again. Nothing is
// concluded about an earlier owner's placement until the worker has shown our token: before that,
// the earlier owner's start could still be on its way.
bool HeartbeatProcessor::release_if_absent(Machine& machine, Placement& placement,
                                           const wire::Heartbeat& heartbeat, HeartbeatSource source,
                                           double now) {
  if (source == HeartbeatSource::direct_response && (!placement.recovered || placement.sent))
    return false;
  // What has been seen was carried out, though its direct command was taken for lost and is not
  // counted as sent any more. (An earlier owner's may be on its way a second time.)
  if (placement.sent || (placement.seen && !placement.recovered)) {
    const bool restarted = heartbeat.incarnation > placement.sent_incarnation;
    if (restarted || placement.seen || placement.acknowledging) {
      placements_.release_lost(machine, placement, now);
      return true;
    }
    if (!placement.sent_directly) {
      // The response did not get there: the start is sent once more, as the same attempt.
      placement.sent = false;
      machine.start_lost = true;
    }
    return false;
  }
  if (placement.recovered) {
    const bool under_our_token = heartbeat.token == token_policy_.token();
    if (!under_our_token && !placement.released) return false;
    placements_.release(machine, placement, now);
    return true;
  }
  const bool is_unwanted = placement.job->over || placement.job->done(placement.task);
  if (is_unwanted && placement.phase == Phase::committed &&
      TokenPolicy::is_acknowledged(machine, placement)) {
    // Not there, nothing on its way, and none will be sent.
    placements_.release_without_requeue(machine, placement, now);
    return true;
  }
  return false;
}

}  // namespace shunttrail::scheduler
