#include "scheduler/worker_commands.h"

#include <algorithm>

namespace shunttrail::scheduler {

using jobs::Job;
using wire::Command;
using wire::ExitReason;
using wire::TaskState;

namespace {
constexpr int kHttpOk = 200;
constexpr int kHttpConflict = 409;
/// Added, in seconds, to the time that a task needs to save its progress.
constexpr double kSaveMarginS = 1;
/// Pause, in seconds, between two resync requests to a worker.
constexpr double kResyncIntervalS = 1;

// Returns the time, in seconds, that a task of the job gets to save its progress before it is
// stopped; 0 for a job without checkpoints.
double stop_grace(const Job& job) {
  return job.spec.checkpoint_s > 0 ? job.spec.save_s + kSaveMarginS : 0;
}

Command command(Command::Op op, const Placement& placement, double grace_s = 0) {
  return {op, {placement.job->spec.id, placement.task}, placement.attempt, grace_s};
}

// Returns whether the placement's job has ended while the attempt may run or still start. This
// includes attempts that no heartbeat has listed yet, since a direct start in flight may arrive
// before the response that is to contain the stop command.
bool must_end(const Placement& placement) {
  return placement.job->ended && !placement.released &&
         (placement.seen || placement.sent || placement.unacknowledged_token ||
          placement.recovered);
}
}  // namespace

// ---- heartbeats' responses

std::vector<Command> WorkerCommands::stop_commands(Machine& machine) const {
  token_policy_.update_command_token(machine);
  std::vector<Command> commands;
  for (const Placement& placement : machine.tasks.placements)
    if (must_end(placement)) commands.push_back(command(Command::Op::stop, placement));
  for (const wire::TaskStatus& status : machine.tasks.unknown_tasks)
    if (status.state != TaskState::exited)
      commands.push_back({Command::Op::stop, status.task, status.attempt, 0});
  return commands;
}

std::string WorkerCommands::reason_for(const Machine& machine, const Command& command) const {
  const auto& placements = machine.tasks.placements;
  const auto placement = std::find_if(
      placements.begin(), placements.end(),
      [&](const Placement& other) { return other.is_for(command.task, command.attempt); });
  const bool is_acknowledgement = command.op == Command::Op::acknowledge;
  if (placement == placements.end())
    return "no placement" + (is_acknowledgement ? ", direct starts up to token " +
                                                      std::to_string(machine.newest_direct_start)
                                                : std::string());
  if (is_acknowledgement)
    return "the attempt is over, its direct start had token " +
           std::to_string(placement->direct_start_token);
  if (command.op == Command::Op::start) return "the placement is recorded";
  if (placement->job->ended) return "the job has ended";
  return placement->preempted ? "preempted" : "the task is not wanted on this machine";
}

bool WorkerCommands::has_unacknowledged_start(const Machine& machine) const {
  return std::any_of(
      machine.tasks.placements.begin(), machine.tasks.placements.end(),
      [this](const Placement& placement) { return token_policy_.may_start_late(placement); });
}

bool WorkerCommands::awaits_commit(const Machine& machine) {
  return std::any_of(
      machine.tasks.placements.begin(), machine.tasks.placements.end(),
      [](const Placement& placement) { return placement.phase != Phase::committed; });
}

std::vector<Command> WorkerCommands::commands_for(Machine& machine, bool fresh, double now) {
  token_policy_.update_command_token(machine);
  Response response;
  for (Placement& placement : machine.tasks.placements)
    add_command(machine, placement, fresh, now, response);
  if (response.dropped_unsent) drop_unsent(machine, now);
  add_unknown_tasks(machine, response.commands);
  return std::move(response.commands);
}

// Returns whether the cloud is about to take the machine away and the task has only just enough
// time left to save its progress.
bool WorkerCommands::must_save_now(const Machine& machine, const Placement& placement) const {
  if (!placement.seen || placement.state != TaskState::running || !machine.notice_s) return false;
  const wire::JobSpec& spec = placement.job->spec;
  return spec.checkpoint_s > 0 &&
         *machine.notice_s < spec.save_s + 2 * context_.settings.heartbeat_s;
}

void WorkerCommands::add_command(Machine& machine, Placement& placement, bool fresh, double now,
                                 Response& response) {
  std::vector<Command>& commands = response.commands;
  if (placement.released) {
    if (placement.awaits_acknowledgement() &&
        token_policy_.is_fenced(machine, placement.direct_start_token)) {
      commands.push_back(command(Command::Op::acknowledge, placement));
    }
    return;
  }
  if (placement.job->ended || placement.job->done(placement.task)) {
    if (must_end(placement) || placement.seen)
      commands.push_back(command(Command::Op::stop, placement));
    return;
  }
  const bool may_start = placement.phase == Phase::committed && !placement.seen &&
                         !placement.recovered && !placement.sent;
  if (may_start) {
    add_start(machine, placement, fresh, now, response);
    return;
  }
  if (placement.preempted && placement.seen && placement.state != TaskState::saving) {
    placement.stop_sent = true;
    commands.push_back(command(Command::Op::stop, placement, stop_grace(*placement.job)));
    return;
  }
  if (must_save_now(machine, placement))
    commands.push_back(command(Command::Op::stop, placement, stop_grace(*placement.job)));
}

void WorkerCommands::add_start(Machine& machine, Placement& placement, bool fresh, double now,
                               Response& response) {
  if (!fresh) return;
  if (machine.leaving && !placement.unacknowledged_token) {
    // The start has not been sent, and is not sent any more: the task need not wait for this
    // machine, nor the machine for the task. A start that was sent as a direct command and may
    // still arrive is excluded by the condition above; it is sent in this response as well.
    placements_.release(machine, placement, now);
    response.dropped_unsent = true;
    return;
  }
  placement.sent = true;
  note_sent(machine, placement);
  response.commands.push_back(command(Command::Op::start, placement));
}

void WorkerCommands::note_sent(const Machine& machine, Placement& placement) {
  placement.sent_incarnation = machine.tasks.incarnation;
  placement.sent_sequence = machine.tasks.sequence;
  ++context_.counters.starts;
}

void WorkerCommands::drop_unsent(Machine& machine, double now) {
  std::erase_if(machine.tasks.placements, [](const Placement& placement) {
    return placement.released && !placement.seen && !placement.sent && !placement.recovered &&
           !placement.unacknowledged_token;
  });
  machine.note_idle(now);
}

// Adds stop commands for unknown tasks that run, and acknowledgements for those that have exited,
// unless their result is yet to be persisted or a copy of their start may still be executed.
void WorkerCommands::add_unknown_tasks(const Machine& machine,
                                       std::vector<Command>& commands) const {
  for (const wire::TaskStatus& status : machine.tasks.unknown_tasks) {
    if (status.state != TaskState::exited) {
      commands.push_back({Command::Op::stop, status.task, status.attempt, 0});
      continue;
    }
    if (!token_policy_.is_fenced(machine, machine.newest_direct_start)) continue;
    const auto job = context_.jobs.find(status.task.job);
    if (status.exit_reason != ExitReason::done || job == context_.jobs.end() ||
        job->second->persisted(status.task.index))
      commands.push_back({Command::Op::acknowledge, status.task, status.attempt, 0});
  }
}

// ---- direct commands

std::vector<DirectCommands> WorkerCommands::direct_commands(
    bool fresh, const std::function<bool(const std::string&)>& skip, double now) {
  std::vector<DirectCommands> requests;
  if (!fresh) return requests;
  for (const int number : placements_.take_direct_due()) {
    Machine* machine = machines_.at(number);
    if (!machine) continue;
    MachineTasks& tasks = machine->tasks;
    tasks.direct_due = false;
    if (tasks.needs_resync && !tasks.direct_in_flight && now >= tasks.resync_at &&
        !machine->addr.empty()) {
      requests.push_back(resync_request(*machine, now));
      continue;
    }
    if (machine->state != Machine::up || tasks.direct_in_flight ||
        tasks.token > token_policy_.command_token(*machine) || machine->addr.empty() ||
        skip(machine->name))
      continue;
    const bool silent = now - machine->last_heartbeat > 2 * context_.settings.heartbeat_s;
    DirectCommands direct{
        machine->name, machine->addr, tasks.incarnation, token_policy_.command_token(*machine), {}};
    for (Placement& placement : tasks.placements)
      add_direct_command(*machine, placement, silent, direct.commands);
    if (direct.commands.empty()) continue;
    tasks.direct_in_flight = true;
    requests.push_back(std::move(direct));
  }
  return requests;
}

// Returns a request without commands. It shows the worker the leader's token, so that commands of
// earlier leaders are no longer carried out, and its response lists the tasks on the machine.
// Before the first heartbeat the incarnation is a guess; a 409 response contains the actual one.
DirectCommands WorkerCommands::resync_request(Machine& machine, double now) const {
  machine.tasks.direct_in_flight = true;
  machine.tasks.resync_at = now + kResyncIntervalS;
  const auto incarnation = std::max<std::uint64_t>(machine.tasks.incarnation, 1);
  return {machine.name, machine.addr, incarnation, token_policy_.command_token(machine), {}};
}

void WorkerCommands::add_direct_command(Machine& machine, Placement& placement, bool silent,
                                        std::vector<Command>& commands) {
  const bool running = placement.seen && !placement.released;
  // A machine whose heartbeats reach no controller may still receive this command, and one that
  // hangs receives it when it continues.
  if (placement.job->ended && running && !placement.job_end_sent) {
    placement.job_end_sent = true;
    commands.push_back(command(Command::Op::stop, placement));
    return;
  }
  if (silent) return;
  // A late copy of a stop command is harmless, since it names the attempt.
  if (placement.preempted && !placement.stop_sent && running) {
    placement.stop_sent = true;
    commands.push_back(command(Command::Op::stop, placement, stop_grace(*placement.job)));
    return;
  }
  const bool wanted = !machine.leaving && !placement.released && !placement.job->ended &&
                      !placement.job->done(placement.task);
  const bool unsent = placement.phase == Phase::committed && !placement.seen &&
                      !placement.recovered && !placement.sent && !placement.unacknowledged_token;
  if (!wanted || !unsent) return;
  placement.sent = placement.sent_directly = true;
  const std::uint64_t token = token_policy_.command_token(machine);
  placement.unacknowledged_token = placement.direct_start_token = token;
  machine.newest_direct_start = std::max(machine.newest_direct_start, token);
  note_sent(machine, placement);
  ++context_.counters.direct;
  commands.push_back(command(Command::Op::start, placement));
}

void WorkerCommands::direct_commands_done(const DirectCommands& sent, int status) {
  Machine* machine = machines_.find(sent.machine);
  if (!machine) return;
  machine->tasks.direct_in_flight = false;
  placements_.note_direct_due(*machine);
  if (status == kHttpConflict) machine->tasks.resync_at = 0;
  for (const Command& command : sent.commands) {
    if (command.op != Command::Op::start) continue;
    for (Placement& placement : machine->tasks.placements) {
      if (placement.attempt != command.attempt) continue;
      // OK: the start was carried out, and a copy has no effect while the worker lists the attempt.
      // Conflict: it was not, and no copy will be. For any other status it may have been, or may be
      // later: it is sent again in the response to a heartbeat, where a second copy has no effect.
      if (status == kHttpOk || status == kHttpConflict) placement.unacknowledged_token = 0;
      if (status == kHttpConflict) placement.direct_start_token = 0;
      if (status != kHttpOk && !placement.seen) placement.sent = placement.sent_directly = false;
    }
  }
}

}  // namespace shunttrail::scheduler
