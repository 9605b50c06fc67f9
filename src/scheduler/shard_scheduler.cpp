#include "scheduler/shard_scheduler.h"

#include <algorithm>

#include "scheduler/shard_summary.h"

namespace shunttrail::scheduler {

using jobs::Job;
using jobs::JobPtr;
using jobs::Resources;

namespace {
/// Time, in seconds, for which a worker waits for the response to its heartbeat.
constexpr double kWorkerResponseTimeoutS = 4;
/// Interval, in seconds, after which tasks without a machine are considered again, even if no event
/// has occurred.
constexpr double kReconsiderIntervalS = 1;
/// A rented machine is returned if it sends no heartbeat within this time, in seconds, nor within
/// kBootTimeoutBoots times its boot time.
constexpr double kMinBootTimeoutS = 60;
constexpr double kBootTimeoutBoots = 4;
/// Added, in seconds, to the time by which the cloud's list of machines may be out of date.
constexpr double kListLagMarginS = 2;
}  // namespace

ShardScheduler::ShardScheduler(const config::Settings& settings, const config::Tuning& tuning,
                               const MachineCatalogue& catalogue, int shard, std::uint64_t token,
                               double now, std::uint64_t seed)
    : context_{settings, tuning, catalogue, shard},
      opened_under_(token),
      opened_at_(now),
      machines_(context_),
      rentals_(context_, machines_),
      transfers_(context_, machines_),
      token_policy_(machines_, token),
      placements_(context_, machines_, token_policy_, now),
      heartbeat_processor_(context_, machines_, placements_, token_policy_),
      worker_commands_(context_, machines_, placements_, token_policy_),
      placement_store_(context_, machines_, placements_, token_policy_),
      quota_(context_, placements_),
      queues_(context_, machines_, quota_),
      chain_walk_(context_, machines_, rentals_, queues_, seed),
      queue_service_(context_, machines_, placements_, queues_, quota_),
      preemption_(machines_, placements_, queues_, quota_),
      admission_(context_, machines_, rentals_, queues_, quota_, chain_walk_, queue_service_,
                 preemption_),
      reservations_(context_, machines_, placements_, queues_, quota_, queue_service_, preemption_),
      backfill_(context_, machines_, placements_, queues_, quota_, queue_service_),
      consolidation_(context_, machines_, placements_),
      failure_detector_(context_, machines_),
      urgent_headroom_(context_, machines_),
      delegated_work_(context_, machines_, placements_, queues_, quota_),
      delegation_planner_(context_, machines_, queues_, quota_, delegated_work_),
      last_heartbeat_at_(now) {}

// ---- jobs

void ShardScheduler::job_added(const wire::JobRecord& record, int team,
                               const std::map<std::uint32_t, state::Intervals>& done, double now,
                               double wall_now) {
  const wire::JobSpec& spec = record.spec;
  if (context_.jobs.contains(spec.id) || team < 0) return;
  const auto index_of = [](std::unordered_map<std::string, int>& indices, const std::string& name) {
    return indices.try_emplace(name, static_cast<int>(indices.size())).first->second;
  };
  const int job_class = index_of(classes_, spec.job_class);
  const int zones = static_cast<int>(context_.settings.zones.size());
  const auto job = std::make_shared<Job>(record, team, job_class, zones, now, wall_now);
  job->image = index_of(images_, spec.image);
  context_.image_gb.resize(images_.size());
  context_.image_gb[static_cast<std::size_t>(job->image)] = spec.image_gb;
  for (const auto& [chunk, intervals] : done) job->load_done(chunk, intervals);
  job->is_foreign = record.delegation && record.delegation->is_readable &&
                    record.delegation->shard == context_.shard;
  if (record.delegation) delegated_work_.withhold_until_sync(job);
  context_.jobs[spec.id] = job;
  context_.scheduling_due = true;
}

void ShardScheduler::job_ended(const std::string& id, double now) {
  const auto entry = context_.jobs.find(id);
  if (entry == context_.jobs.end()) return;
  const JobPtr job = entry->second;
  job->ended = true;
  job->pending.clear();
  context_.jobs.erase(entry);
  for (const auto& [number, machine] : machines_.all()) {
    queues_.drop_job(*machine, job);
    placements_.drop_planned(*machine, job, now);
    placements_.request_direct_stop(*machine, job);
    machine->note_idle(now);
  }
  context_.scheduling_due = true;
}

void ShardScheduler::set_effective_priority(const std::string& id, wire::Priority priority,
                                            double due) {
  const auto entry = context_.jobs.find(id);
  if (entry == context_.jobs.end()) return;
  const JobPtr job = entry->second;
  job->due = due;
  if (job->priority == priority) return;
  job->priority = priority;
  // Tasks that wait in a queue in the old priority band enter the chain again in the new one.
  for (const auto& [number, machine] : machines_.all()) {
    if (!job->queued) break;
    queues_.requeue_job(*machine, job);
  }
  context_.scheduling_due = true;
}

// ---- machines

void ShardScheduler::machine_known(const wire::MachineRecord& record, double now) {
  const bool added = machines_.add_recorded(record, now);
  // The machine comes from a shard whose token was higher. Its worker would reject responses under
  // the current token.
  if (added && record.token > token()) token_policy_.saw_higher_token();
}

void ShardScheduler::set_machine_address(const std::string& name, const std::string& addr) {
  if (Machine* machine = machines_.find(name)) machine->addr = addr;
}

void ShardScheduler::remove_machine(int number, double now) {
  Machine* machine = machines_.at(number);
  if (!machine) return;
  placements_.machine_deleted(*machine, now);
  queues_.requeue_all(*machine);
  machines_.erase(number);
}

void ShardScheduler::machine_deleted(const std::string& name, double now) {
  if (const Machine* machine = machines_.find(name)) remove_machine(machine->number, now);
}

void ShardScheduler::machine_moved(const std::string& name, double now) {
  const Machine* machine = machines_.find(name);
  if (!machine) return;
  if (machine->transfer_to >= 0) ++context_.counters.transferred;
  remove_machine(machine->number, now);
}

std::vector<ScaleOutRequest> ShardScheduler::scale_out_requests(double now) {
  std::vector<Machine*> unavailable;
  auto requests = rentals_.scale_out_requests(now, unavailable);
  for (Machine* machine : unavailable) queues_.requeue_all(*machine);
  return requests;
}

void ShardScheduler::rented(const ScaleOutRequest& request, const std::vector<std::string>& names,
                            double now) {
  for (const int number : rentals_.rented(request, names, now)) remove_machine(number, now);
}

void ShardScheduler::rent_refused(const ScaleOutRequest& request, std::size_t from,
                                  bool no_capacity, double now) {
  for (const int number : rentals_.refused(request, from, no_capacity, now))
    remove_machine(number, now);
}

void ShardScheduler::transfer(const MachineTransfer& transfer) {
  for (Machine* machine : transfers_.transfer(transfer)) queues_.requeue_all(*machine);
}

void ShardScheduler::give_up_machine(Machine& machine) {
  if (machine.give_up()) ++context_.counters.replaced;
}

void ShardScheduler::probe_done(const std::string& machine_name, bool answered, double now) {
  Machine* machine = machines_.find(machine_name);
  if (!machine || !failure_detector_.probe_done(*machine, answered, now)) return;
  give_up_machine(*machine);
  queues_.requeue_all(*machine);
}

bool ShardScheduler::machine_failed(const std::string& name, bool unlisted, double now) {
  Machine* machine = machines_.find(name);
  if (!machine || machine->lost) return false;
  // The cloud's list may be out of date. A machine that it does not contain is lost only if it has
  // also been silent for longer than a list can be out of date. It need not have sent a heartbeat
  // to this leader: otherwise the tasks of a machine that was taken away just before a takeover
  // would wait until the leases of the earlier leader have expired.
  const config::Settings& settings = context_.settings;
  const double max_silence_s =
      std::max(2 * settings.heartbeat_s, 3 * settings.list_lag_s + kListLagMarginS);
  if (unlisted && now - machine->last_heartbeat < max_silence_s) return false;
  give_up_machine(*machine);
  queues_.requeue_all(*machine);
  return true;
}

// ---- workers

// The response to a late copy of a heartbeat reaches no worker. It renews no lease, so it must not
// postpone the time from which silence proves that the tasks have stopped. For a heartbeat that was
// merely overtaken, the worker still waits, but no longer than its timeout.
ShardScheduler::HeartbeatResult ShardScheduler::take_older_heartbeat(
    Machine& machine, const wire::Heartbeat& heartbeat, double now) {
  ++context_.counters.stale_heartbeats;
  if (heartbeat.incarnation != machine.tasks.incarnation ||
      now - machine.newest_status_at > kWorkerResponseTimeoutS)
    return HeartbeatResult::unknown;
  machine.last_response_at = now;
  return HeartbeatResult::older;
}

ShardScheduler::HeartbeatResult ShardScheduler::take_heartbeat(const wire::Heartbeat& heartbeat,
                                                               double now,
                                                               bool is_direct_response) {
  Machine* machine = machines_.find(heartbeat.machine);
  if (!machine) return HeartbeatResult::unknown;
  if (!HeartbeatProcessor::is_newer(*machine, heartbeat))
    return take_older_heartbeat(*machine, heartbeat, now);
  ++context_.counters.heartbeats;
  last_heartbeat_at_ = now;
  machine->newest_status_at = now;
  const bool is_new_incarnation = heartbeat.incarnation != machine->tasks.incarnation;
  // The worker's lease has expired although a response was sent recently enough to renew it, so
  // that response was lost.
  const bool lease_lost = is_new_incarnation && machine->tasks.incarnation != 0 &&
                          now - machine->last_response_at < context_.settings.lease_s / 2;
  machine->start_lost = false;
  if (machines_.heartbeat_received(*machine, heartbeat, is_new_incarnation, now))
    queues_.requeue_all(*machine);
  const auto source =
      is_direct_response ? HeartbeatSource::direct_response : HeartbeatSource::worker;
  heartbeat_processor_.heartbeat_received(*machine, heartbeat, source, now);
  if (source == HeartbeatSource::worker) {
    const bool response_lost =
        lease_lost || heartbeat.token < machine->last_response_token || machine->start_lost;
    failure_detector_.heartbeat_received(*machine, response_lost, now);
  }
  for (const FinishedTask& finished : heartbeat_processor_.take_finished())
    queues_.drop_task(finished.job, finished.task);
  admission_.serve_machine(*machine, now);
  return HeartbeatResult::fresh;
}

std::vector<wire::Command> ShardScheduler::commands_for(const std::string& machine_name, bool fresh,
                                                        double now) {
  Machine* machine = machines_.find(machine_name);
  if (!machine) return {};
  machine->last_response_at = now;
  std::vector<wire::Command> commands = worker_commands_.commands_for(*machine, fresh, now);
  machine->last_response_token = token_policy_.command_token(*machine);
  return commands;
}

std::vector<wire::Command> ShardScheduler::stop_commands(const std::string& machine_name) {
  Machine* machine = machines_.find(machine_name);
  return machine ? worker_commands_.stop_commands(*machine) : std::vector<wire::Command>{};
}

std::uint64_t ShardScheduler::command_token(const std::string& machine_name) const {
  const Machine* machine = machines_.find(machine_name);
  return machine ? token_policy_.command_token(*machine) : token();
}

bool ShardScheduler::has_unacknowledged_start(const std::string& machine_name) const {
  const Machine* machine = machines_.find(machine_name);
  return machine && worker_commands_.has_unacknowledged_start(*machine);
}

bool ShardScheduler::awaits_commit(const std::string& machine_name) {
  const Machine* machine = machines_.find(machine_name);
  return machine && WorkerCommands::awaits_commit(*machine);
}

void ShardScheduler::advance_token(std::uint64_t token, double now) {
  token_policy_.advance(token, now);
  placements_.token_advanced();
}

// Delegations are written by separate transactions. If the outcome of a transaction is unknown, the
// tag on one of its keys decides. The key of a job is deleted when the job ends, so a late read of
// it must not decide about starts (TransactionPipeline::resolve).
std::optional<wire::Transaction> ShardScheduler::next_transaction(
    const state::StateCache& cache, const state::TransactionLimits& limits, const std::string& tag,
    double now) {
  if (transaction_in_flight()) return std::nullopt;
  sync_delegations(cache, now);
  auto delegations = delegation_planner_.next_transaction(cache, limits, tag, token(), now);
  if (delegations) return delegations;
  return placement_store_.next_transaction(cache, limits, tag, now);
}

void ShardScheduler::transaction_failed(double now) {
  delegation_planner_.transaction_done();
  placement_store_.transaction_failed(now);
}

void ShardScheduler::transaction_applied(double now) {
  delegation_planner_.transaction_done();
  for (const std::string& id : placement_store_.transaction_applied(now)) job_ended(id, now);
}

// ---- time

void ShardScheduler::run_scheduling_pass(double now) {
  context_.scheduling_due = false;
  last_pass_at_ = now;
  admission_.admit_pending(now);
}

void ShardScheduler::tick(double now) {
  // The pauses after a refusal by the cloud, and those of machines and jobs, end without any event.
  // A shard without machines receives no heartbeat that would cause a scheduling pass, so without
  // this its tasks would wait for ever.
  if (now - last_pass_at_ >= kReconsiderIntervalS)
    context_.scheduling_due |=
        std::any_of(context_.jobs.begin(), context_.jobs.end(),
                    [](const auto& entry) { return !entry.second->pending.empty(); });
  if (now - last_requeue_at_ >= kReconsiderIntervalS) {
    last_requeue_at_ = now;
    admission_.requeue_blocked(now);
    reservations_.run(now);
    backfill_.run(now);
  }
  check_machines(now);
  urgent_headroom_.update(now);
  if (queues_.is_empty()) consolidation_.run(now);
}

void ShardScheduler::check_machines(double now) {
  const bool others_heard = now - last_heartbeat_at_ < 2 * context_.settings.heartbeat_s;
  std::vector<int> withdrawn;  // machines on order for which no task waits any more
  for (const auto& [number, machine] : machines_.all()) {
    if (machine->state == Machine::ordered) {
      if (machine->queue.tasks.empty() && !machine->rent_requested) withdrawn.push_back(number);
      continue;
    }
    if (machine->tasks.needs_resync) placements_.note_direct_due(*machine);
    if (machine->type >= 0) check_machine(*machine, others_heard, now);
  }
  for (const int number : withdrawn) remove_machine(number, now);
}

void ShardScheduler::check_machine(Machine& machine, bool others_heard, double now) {
  if (machine.state == Machine::booting && machine.tasks.placements.empty()) {
    check_booting(machine, now);
    return;
  }
  check_silence(machine, others_heard, now);
  if (machine.leaving && !machine.queue.tasks.empty()) queues_.requeue_all(machine);
  machine.note_idle(now);
  machines_.return_idle(machine, now);
}

void ShardScheduler::check_booting(Machine& machine, double now) {
  const auto& type = context_.catalogue.types[static_cast<std::size_t>(machine.type)];
  const double timeout_s = std::max(kMinBootTimeoutS, kBootTimeoutBoots * type.spec.boot_s);
  if (now - machine.rented_at <= timeout_s || machine.leaving) return;
  machine.leaving = true;
  ++context_.counters.replaced;
  queues_.requeue_all(machine);
}

void ShardScheduler::check_silence(Machine& machine, bool others_heard, double now) {
  const config::Settings& settings = context_.settings;
  const double silent_s = now - std::max(machine.last_heartbeat, opened_at_);
  const double max_silence_s = settings.lease_s + 2 * settings.heartbeat_s;
  if (silent_s > max_silence_s) {
    placements_.lease_expired(machine, now);
    // If other machines send heartbeats, it is this machine that is lost, and not this node that is
    // cut off. The machine is returned to the cloud.
    if (others_heard || silent_s > 3 * max_silence_s) give_up_machine(machine);
    queues_.requeue_all(machine);
  } else if (machine.draining && others_heard && silent_s > 2 * settings.heartbeat_s) {
    // The machine has gone silent after notice that the cloud would take it away. Its deletion
    // proves that its tasks no longer run.
    machine.give_up();
  }
}

// ---- other shards, and operators

std::vector<RoomOffer> ShardScheduler::room_offers(double now) const {
  return scheduler::room_offers(context_, machines_, queues_, now);
}

void ShardScheduler::sync_delegations(const state::StateCache& cache, double now) {
  for (const std::string& id : delegated_work_.sync(cache, now)) job_ended(id, now);
}

shard::Load ShardScheduler::load(double now) const {
  shard::Load load;
  if (context_.catalogue.empty()) return load;
  const Resources first_type = context_.catalogue.types[0].capacity;
  load.capacity = transfers_.capacity() + transfers_.transferring();
  const auto& teams = context_.settings.teams;
  std::vector<double> machines_by_team(teams.size(), 0);  // of the first type
  std::vector<double> cpus_by_team(teams.size(), 0);
  for (const auto& [id, job] : context_.jobs) {
    if (job->is_foreign || (job->not_before > now && !job->placed)) continue;
    const double remaining_tasks = job->spec.tasks - (job->spec.service ? 0 : job->done_count());
    const auto team = static_cast<std::size_t>(job->team);
    machines_by_team[team] += remaining_tasks * share_of(job->need, first_type);
    cpus_by_team[team] += remaining_tasks * job->spec.cpus;
  }
  for (std::size_t team = 0; team < teams.size(); ++team) {
    if (cpus_by_team[team] <= 0) continue;
    load.demand +=
        machines_by_team[team] * std::min(1.0, teams[team].cpus_max / cpus_by_team[team]);
    load.entitled += machines_by_team[team] * std::min(1.0, teams[team].cpus / cpus_by_team[team]);
  }
  return load;
}

std::string ShardScheduler::summary() const {
  return shard_summary(context_, machines_, delegation_planner_.undelegated_tasks(), token());
}

}  // namespace shunttrail::scheduler
