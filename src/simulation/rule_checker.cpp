#include "simulation/rule_checker.h"

#include <algorithm>

#include "client_protocol/client_protocol.h"

namespace shunttrail::simulation {

using emulators::WorkerEmulator;
using wire::JobState;
using wire::TaskState;

namespace {
constexpr double kNeglectedS = 90;  // longest wait of a task for which a machine has free capacity
constexpr double kWaitingCheckGapS = 1;  // time between two checks of the rule `neglected`

bool type_allowed(const wire::JobSpec& spec, const WorkerEmulator::Settings& machine) {
  if (machine.spot && !spec.spot) return false;
  return !spec.types ||
         std::find(spec.types->begin(), spec.types->end(), machine.type) != spec.types->end();
}

// Returns the largest number of tasks of a job with anti-affinity that may run in one zone.
std::uint32_t zone_limit(const wire::JobSpec& spec) { return (spec.tasks + 1) / 2; }

// Returns whether the machine's type and zone allow another task of the job, which already runs
// `tasks_in_zone` tasks in the machine's zone.
bool place_allowed(const wire::JobSpec& spec, const WorkerEmulator::Settings& machine,
                   int tasks_in_zone, bool runs_in_other_zone) {
  if (!type_allowed(spec, machine)) return false;
  if (spec.zone && *spec.zone != machine.zone) return false;
  if (spec.same_zone && runs_in_other_zone) return false;
  return !spec.anti_affinity || tasks_in_zone < static_cast<int>(zone_limit(spec));
}

bool reported_before(double reported_at, double asked_at) {
  return reported_at >= 0 && reported_at <= asked_at;
}
}  // namespace

RuleChecker::RuleChecker(const Simulation& simulation, const ClusterOptions& options,
                         const SimulatedMachines& machines, JobRecords& jobs)
    : simulation_(simulation), options_(options), machines_(machines), jobs_(jobs) {}

void RuleChecker::report(const std::string& violation) {
  broken_.push_back("at " + std::to_string(simulation_.now()) + ": " + violation);
}

double RuleChecker::first_run_at(const std::string& job) const {
  const auto at = first_run_at_.find(job);
  return at == first_run_at_.end() ? -1 : at->second;
}

// ---- tasks

bool RuleChecker::task_state_changed(const WorkerEmulator& worker, const WorkerEmulator::Task& task,
                                     TaskState previous) {
  const double cancelled_reported_at = jobs_.at(task.id.job).cancelled_reported_at;
  if (task.state == TaskState::fetching) count_start(task_name(task.id), cancelled_reported_at);
  if (task.state == TaskState::running && cancelled_reported_at >= 0)
    after_cancel_.run_started =
        std::max(after_cancel_.run_started, simulation_.now() - cancelled_reported_at);
  saves_ += task.state == TaskState::saving;
  // Covers tasks that leave a machine between two checks of all machines.
  if (previous == TaskState::running || previous == TaskState::saving) check_cancelled(task);
  if (task.state == TaskState::running) check_start(worker, task);
  return task.state == TaskState::exited && task.exit_reason == wire::ExitReason::done &&
         jobs_.complete(task.id);
}

void RuleChecker::count_start(const std::string& name, double cancelled_reported_at) {
  ++starts_;
  restarts_after_completion_ += acknowledged_.contains(name);
  if (cancelled_reported_at >= 0)
    after_cancel_.start_executed =
        std::max(after_cancel_.start_executed, simulation_.now() - cancelled_reported_at);
}

// Checks the rules ran_twice, wrong_place and too_early.
void RuleChecker::check_start(const WorkerEmulator& worker, const WorkerEmulator::Task& task) {
  first_run_at_.try_emplace(task.id.job, simulation_.now());
  const std::string name = task_name(task.id);
  std::uint32_t same_zone = 0, other_zones = 0;  // numbers of the job's running tasks
  for (const auto& machine : machines_.all()) {
    if (!machine->worker) continue;
    for (const auto& other : machine->worker->tasks()) {
      if (other.state == TaskState::exited || other.state == TaskState::fetching ||
          other.id.job != task.id.job)
        continue;
      ++(machine->worker->settings().zone == worker.settings().zone ? same_zone : other_zones);
      if (machine->worker.get() != &worker && task_name(other.id) == name)
        report("ran_twice: " + name + " on " + worker.settings().name + " and " + machine->name);
    }
  }
  check_place(worker, task.id, same_zone, other_zones);
  // This rule is not part of the protocol but promised to users (README, "Jobs that await others").
  for (const auto& dependency : jobs_.at(task.id.job).spec.dependencies)
    for (std::uint32_t i = 0; i < jobs_.at(dependency).spec.tasks; ++i)
      if (!jobs_.is_completed({dependency, i}))
        report("too_early: " + name + " started before the end of " + dependency);
  check_machines();
}

void RuleChecker::check_place(const WorkerEmulator& worker, const wire::TaskId& task,
                              std::uint32_t same_zone, std::uint32_t other_zones) {
  const wire::JobSpec& spec = jobs_.at(task.job).spec;
  const auto& machine = worker.settings();
  if ((spec.same_zone && other_zones) || (spec.anti_affinity && same_zone > zone_limit(spec)) ||
      (spec.zone && *spec.zone != machine.zone))
    report("wrong_place: " + task_name(task) + " in zone " + machine.zone);
  if (!type_allowed(spec, machine))
    report("wrong_place: " + task_name(task) + " on type " + machine.type);
}

void RuleChecker::direct_commands_sent(const Request& request) {
  const auto message = client_protocol::decode_heartbeat_response(request.body);
  if (!message.token || !message.incarnation) return;
  for (const wire::Command& command : message.commands) {
    if (command.op != wire::Command::Op::start) continue;
    Validity& newest = direct_starts_[{request.to, task_name(command.task), command.attempt}];
    newest = std::max(newest, Validity{*message.incarnation, *message.token});
  }
}

// Once the worker has removed an attempt, only its incarnation and token keep it from executing a
// late copy of the attempt's start. Neither ever falls, so what holds at this moment holds later.
void RuleChecker::task_acknowledged(const WorkerEmulator& worker,
                                    const WorkerEmulator::Task& task) {
  const auto start =
      direct_starts_.find({worker.settings().at.host, task_name(task.id), task.attempt});
  if (start != direct_starts_.end() && start->second.incarnation == worker.incarnation() &&
      start->second.token >= worker.token())
    report("unfenced_start: a copy of the direct start of " + task_name(task.id) + " on " +
           worker.settings().name + " would be executed after its acknowledgement");
  if (task.exit_reason == wire::ExitReason::done) acknowledged_.insert(task_name(task.id));
}

// Checks the rules quota and ran_cancelled, the latter also for jobs that depend on a cancelled
// one.
void RuleChecker::check_machines() {
  std::map<std::string, double> cpus_by_team;
  for (const auto& machine : machines_.all()) {
    if (!machine->worker) continue;
    for (const auto& task : machine->worker->tasks()) {
      if (task.state == TaskState::exited || task.state == TaskState::fetching) continue;
      const wire::JobSpec& spec = jobs_.at(task.id.job).spec;
      cpus_by_team[spec.team] += spec.cpus;
      check_cancelled(task);
    }
  }
  for (const auto& [team, cpus] : cpus_by_team)
    if (cpus > options_.team_limit + kCpuTolerance) report("quota: " + team);
}

// Checks the rule ran_cancelled for a task that is running or saving, or has just exited. A task
// that waits for its image does not count.
void RuleChecker::check_cancelled(const WorkerEmulator::Task& task) {
  const double reported_at = jobs_.at(task.id.job).cancelled_reported_at;
  if (reported_at < 0) return;
  const double elapsed_s = simulation_.now() - reported_at;
  after_cancel_.on_machine = std::max(after_cancel_.on_machine, elapsed_s);
  if (elapsed_s > options_.cancel_s)
    report("ran_cancelled: " + task_name(task.id) + ", " + std::to_string(elapsed_s) +
           " s after its cancellation was reported to a user");
}

// ---- answers

// Checks the rules forgotten, invented, not_done and went_back. The answers of all controllers
// about a job form one linearizable register: an answer to a request is never older than an answer
// that was received before the request was sent.
std::optional<JobState> RuleChecker::check_answer(const std::string& id, const net::Result& result,
                                                  double asked_at, UserRequest request) {
  const SimulatedJob* job = jobs_.find(id);
  if (!job) {
    if (result.status == 200) report("invented: " + id + " was never submitted but has a state");
    return std::nullopt;
  }
  if (reported_before(job->first_reported_at, asked_at)) check_accepted_answer(id, result.status);
  if (result.status != 200 && result.status != 201) return std::nullopt;
  const JobState state = client_protocol::decode_job_state(result.body).state;
  check_final_state(id, *job, state, asked_at);
  if (request == UserRequest::cancellation && state != JobState::cancelled &&
      state != JobState::done)
    report("went_back: a cancellation of " + id + " was answered " + wire::state_name(state));
  if (state == JobState::cancelled && !jobs_.is_cancelled_by_users(id))
    report("went_back: " + id + " is reported as cancelled, but no user requested it");
  if (state == JobState::done)
    for (std::uint32_t i = 0; i < job->spec.tasks; ++i)
      if (!jobs_.is_completed({id, i}))
        report("not_done: " + id + " is reported as done, but task " + std::to_string(i) +
               " has not completed");
  return state;
}

void RuleChecker::check_dependent_submission(const std::string& id, const net::Result& result) {
  if (result.status == 422)
    report("refused: " + id + " depends only on accepted jobs, and was answered " + result.body);
}

void RuleChecker::check_accepted_answer(const std::string& id, int status) {
  if (status == 404) report("forgotten: a request about " + id + " was answered 404");
  if (status == 400 || status == 422)
    report("forgotten: a repeated submission of " + id + " was refused as invalid");
  if (status == 201)
    report("went_back: a repeated submission of " + id + " was answered 201, like a new job");
}

void RuleChecker::check_final_state(const std::string& id, const SimulatedJob& job, JobState state,
                                    double asked_at) {
  const bool cancelled = state == JobState::cancelled;
  const bool done = state == JobState::done;
  // Two different final states of a job contradict each other, whichever request was sent first.
  if ((reported_before(job.cancelled_reported_at, asked_at) && !cancelled) ||
      (job.cancelled_reported_at >= 0 && done))
    report("went_back: " + id + " was reported as cancelled, and now as " +
           wire::state_name(state));
  if ((reported_before(job.done_reported_at, asked_at) && !done) ||
      (job.done_reported_at >= 0 && cancelled))
    report("went_back: " + id + " was reported as done, and now as " + wire::state_name(state));
}

// ---- capacity

double RuleChecker::used_cpus(const std::string& team) const {
  double cpus = 0;
  for (const auto& machine : machines_.all()) {
    if (!machine->worker) continue;
    for (const auto& task : machine->worker->tasks()) {
      const wire::JobSpec& spec = jobs_.at(task.id.job).spec;
      if (task.state != TaskState::exited && spec.team == team) cpus += spec.cpus;
    }
  }
  return cpus;
}

// Returns whether nothing but capacity and quotas can keep the job's tasks from starting.
bool RuleChecker::waits_only_for_capacity(const SimulatedJob& job) const {
  if (!job.accepted || job.done_reported_at >= 0 || jobs_.is_cancelled_by_users(job.spec.id))
    return false;
  return std::all_of(job.spec.dependencies.begin(), job.spec.dependencies.end(),
                     [&](const std::string& id) { return jobs_.all_completed(id); });
}

bool RuleChecker::has_capacity_for(const std::string& id) const {
  const SimulatedJob& job = jobs_.at(id);
  if (!waits_only_for_capacity(job)) return false;
  if (used_cpus(job.spec.team) + job.spec.cpus > options_.team_limit + kCpuTolerance) return false;
  std::map<std::string, int> by_zone;  // numbers of the job's own tasks
  for (const auto& machine : machines_.all())
    if (machine->worker)
      for (const auto& task : machine->worker->tasks())
        by_zone[machine->zone] += task.state != TaskState::exited && task.id.job == id;
  return std::any_of(machines_.all().begin(), machines_.all().end(), [&](const auto& machine) {
    if (!machine->worker) return false;
    const auto& settings = machine->worker->settings();
    double cpus = settings.cpus;
    for (const auto& task : machine->worker->tasks()) {
      if (task.state == TaskState::exited) continue;
      const wire::JobSpec& other = jobs_.at(task.id.job).spec;
      if (other.team != job.spec.team) return false;
      cpus -= other.cpus;
    }
    const bool runs_in_other_zone = std::any_of(
        by_zone.begin(), by_zone.end(),
        [&](const auto& zone) { return zone.first != settings.zone && zone.second > 0; });
    return cpus + kCpuTolerance >= job.spec.cpus &&
           place_allowed(job.spec, settings, by_zone[settings.zone], runs_in_other_zone);
  });
}

std::string RuleChecker::describe_machines() const {
  std::string out;
  for (const auto& machine : machines_.all()) {
    if (!machine->worker) continue;
    double used = 0;
    std::string tasks;
    for (const auto& task : machine->worker->tasks()) {
      if (task.state == TaskState::exited) continue;
      const wire::JobSpec& spec = jobs_.at(task.id.job).spec;
      used += task.work.cpus;
      tasks += " " + task_name(task.id) + " (" + spec.team + (spec.service ? ", service)" : ")");
    }
    out += (out.empty() ? "" : "; ") + machine->zone + " " +
           std::to_string(static_cast<int>(used)) + "/" +
           std::to_string(static_cast<int>(options_.machine_cpus)) + tasks;
  }
  return out;
}

// A worker's task in any state but exited uses capacity and counts against its team's quota.
RuleChecker::Usage RuleChecker::usage(const std::function<bool(int)>& is_reachable) const {
  Usage usage;
  for (int n = 0; n < machines_.size(); ++n) {
    const SimulatedMachine& machine = machines_[n];
    if (!machine.worker) continue;
    FreeCapacity free{&machine, machine.worker->settings().cpus, kMachineMemoryGb};
    for (const auto& task : machine.worker->tasks()) {
      if (task.state == TaskState::exited) continue;
      const wire::JobSpec& spec = jobs_.at(task.id.job).spec;
      free.cpus -= spec.cpus;
      free.memory_gb -= spec.mem_gb;
      usage.cpus_by_team[spec.team] += spec.cpus;
      ++usage.by_zone[task.id.job][machine.zone];
      usage.placed.insert(task_name(task.id));
    }
    if (is_reachable(n)) usage.free_capacities.push_back(free);
  }
  return usage;
}

std::vector<std::string> RuleChecker::waiting_tasks(const SimulatedJob& job,
                                                    const Usage& usage) const {
  std::vector<std::string> waiting;
  for (std::uint32_t i = 0; i < job.spec.tasks; ++i) {
    const wire::TaskId task{job.spec.id, i};
    if (!jobs_.is_completed(task) && !usage.placed.contains(task_name(task)))
      waiting.push_back(task_name(task));
  }
  return waiting;
}

// Returns the machines with free capacity for one of the job's tasks. For a gang there are none
// unless all of its tasks can be placed together.
std::vector<const SimulatedMachine*> RuleChecker::machines_for(const SimulatedJob& job,
                                                               std::size_t started_together,
                                                               const Usage& usage) const {
  const wire::JobSpec& spec = job.spec;
  const auto placed = usage.by_zone.find(spec.id);
  const std::map<std::string, int> by_zone =
      placed == usage.by_zone.end() ? std::map<std::string, int>{} : placed->second;
  std::vector<const SimulatedMachine*> fitting;
  std::map<std::string, std::size_t> fitting_tasks;  // numbers by zone
  for (const FreeCapacity& free : usage.free_capacities) {
    const auto& settings = free.machine->worker->settings();
    const auto in_zone = by_zone.find(settings.zone);
    const int tasks_in_zone = in_zone == by_zone.end() ? 0 : in_zone->second;
    if (free.cpus + kCpuTolerance < spec.cpus || free.memory_gb + kCpuTolerance < spec.mem_gb)
      continue;
    if (!place_allowed(spec, settings, tasks_in_zone, !by_zone.empty() && !tasks_in_zone)) continue;
    fitting.push_back(free.machine);
    fitting_tasks[settings.zone] += static_cast<std::size_t>(free.cpus / spec.cpus + kCpuTolerance);
  }
  if (!spec.gang) return fitting;
  const std::size_t zone_most = spec.anti_affinity ? zone_limit(spec) : spec.tasks;
  std::size_t largest_zone = 0, all_zones = 0;
  for (const auto& [zone, count] : fitting_tasks) {
    largest_zone = std::max(largest_zone, std::min(count, zone_most));
    all_zones += std::min(count, zone_most);
  }
  if ((spec.same_zone ? largest_zone : all_zones) < started_together) return {};
  return fitting;
}

// Checks the rule neglected: no task waits for 90 s while one and the same machine has free
// capacity for it throughout.
void RuleChecker::check_waiting(const std::function<bool(int)>& is_reachable) {
  const double now = simulation_.now();
  if (faults_ended_at_ < 0 || now < waiting_checked_at_ + kWaitingCheckGapS) return;
  waiting_checked_at_ = now;
  Usage on_machines = usage(is_reachable);
  std::map<TaskOnMachine, double> could_run_since;
  for (const auto& [id, job] : jobs_.all()) {
    if (!waits_only_for_capacity(job)) continue;
    const std::vector<std::string> waiting = waiting_tasks(job, on_machines);
    if (waiting.empty()) continue;
    const std::size_t started_together =
        job.spec.gang ? waiting.size() : 1;  // all tasks of a gang start together
    const double cpus = job.spec.cpus * static_cast<double>(started_together);
    if (on_machines.cpus_by_team[job.spec.team] + cpus > options_.team_limit + kCpuTolerance)
      continue;
    for (const SimulatedMachine* machine : machines_for(job, started_together, on_machines))
      for (const auto& task : waiting) record_waiting(task, *machine, could_run_since);
  }
  could_run_since_ = std::move(could_run_since);
}

void RuleChecker::record_waiting(const std::string& task, const SimulatedMachine& machine,
                                 std::map<TaskOnMachine, double>& could_run_since) {
  const TaskOnMachine key(task, machine.name);
  const auto seen = could_run_since_.find(key);
  const double since = seen == could_run_since_.end() ? simulation_.now() : seen->second;
  could_run_since[key] = since;
  if (simulation_.now() - since >= kNeglectedS && neglected_.insert(task).second)
    report("neglected: " + task + " has waited for 90 s with free capacity on " + machine.name);
}

}  // namespace shunttrail::simulation
