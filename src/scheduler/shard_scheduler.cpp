#include "scheduler/shard_scheduler.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace shunttrail::scheduler {

using jobs::Job;
using jobs::JobPtr;
using jobs::Resources;
using wire::TaskState;

namespace {
constexpr double kWorkerWaits = 4;  // for the answer to a report
constexpr double kLookAgain = 1;    // at work that has no place, though nothing has happened
}  // namespace

ShardScheduler::ShardScheduler(const config::Settings& s, const config::Tuning& t,
                               const MachineCatalogue& c, int shard, std::uint64_t token,
                               double now, std::uint64_t seed)
    : context_{s, t, c, shard},
      opened_under_(token),
      opened_at_(now),
      machines_(context_),
      token_policy_(machines_, token),
      placements_(context_, machines_, token_policy_, now),
      heartbeat_processor_(context_, machines_, placements_, token_policy_),
      worker_commands_(context_, machines_, placements_, token_policy_),
      placement_store_(context_, machines_, placements_, token_policy_),
      quota_(context_, placements_),
      queues_(context_, machines_, quota_),
      chain_walk_(context_, machines_, queues_, seed),
      queue_service_(context_, machines_, placements_, queues_, quota_),
      preemption_(machines_, placements_, queues_, quota_),
      admission_(context_, machines_, queues_, quota_, chain_walk_, queue_service_, preemption_),
      reservations_(context_, machines_, placements_, queues_, quota_, queue_service_, preemption_),
      backfill_(context_, machines_, placements_, queues_, quota_, queue_service_),
      consolidation_(context_, machines_, placements_),
      failure_detector_(context_, machines_),
      urgent_headroom_(context_, machines_),
      last_heartbeat_at_(now) {}

// ---- jobs

void ShardScheduler::job_added(const wire::JobRecord& r, int team,
                               const std::map<std::uint32_t, state::Intervals>& done, double now,
                               double wall_now) {
  if (context_.jobs.contains(r.spec.id) || team < 0) return;
  auto cls =
      classes_.try_emplace(r.spec.job_class, static_cast<int>(classes_.size())).first->second;
  auto j = std::make_shared<Job>(r, team, cls, static_cast<int>(context_.settings.zones.size()),
                                 now, wall_now);
  j->image = images_.try_emplace(r.spec.image, static_cast<int>(images_.size())).first->second;
  context_.image_gb.resize(images_.size());
  context_.image_gb[static_cast<std::size_t>(j->image)] = r.spec.image_gb;
  for (const auto& [c, list] : done) j->load_done(c, list);
  context_.jobs[r.spec.id] = j;
  context_.scheduling_due = true;
}

void ShardScheduler::job_gone(const std::string& id, double now) {
  auto it = context_.jobs.find(id);
  if (it == context_.jobs.end()) return;
  JobPtr j = it->second;
  j->over = true;
  j->pending.clear();
  context_.jobs.erase(it);
  for (auto& [n, m] : machines_.all()) {
    queues_.drop_job(*m, j);
    placements_.drop_planned(*m, j, now);
    placements_.stop_directly(*m, j);
    machines_.note_idle(*m, now);
  }
  context_.scheduling_due = true;
}

void ShardScheduler::set_effective_priority(const std::string& id, wire::Priority priority,
                                            double due) {
  auto it = context_.jobs.find(id);
  if (it == context_.jobs.end()) return;
  const JobPtr j = it->second;
  j->due = due;
  if (j->priority == priority) return;
  j->priority = priority;
  // What waits on a list of its old band enters the chain again, in the new one.
  for (auto& [n, m] : machines_.all()) {
    if (!j->queued) break;
    queues_.requeue_job(*m, j);
  }
  context_.scheduling_due = true;
}

// ---- machines

void ShardScheduler::machine_known(const wire::MachineRecord& r, double now) {
  // It has come from a shard whose token was higher: its worker would drop our answers.
  if (machines_.known(r, now) && r.token > token()) token_policy_.saw_higher_token();
}
void ShardScheduler::set_machine_address(const std::string& name, const std::string& addr) {
  if (Machine* m = machines_.find(name)) m->addr = addr;
}

void ShardScheduler::remove_machine(int number, double now) {
  Machine* m = machines_.at(number);
  if (!m) return;
  placements_.machine_gone(*m, now);
  queues_.requeue_all(*m);
  machines_.erase(number);
}
void ShardScheduler::machine_gone(const std::string& name, double now) {
  if (Machine* m = machines_.find(name)) remove_machine(m->number, now);
}
void ShardScheduler::machine_moved(const std::string& name, double now) {
  Machine* m = machines_.find(name);
  if (!m) return;
  if (m->transfer_to >= 0) ++context_.counters.transferred;
  remove_machine(m->number, now);
}

std::vector<ScaleOutRequest> ShardScheduler::scale_out_requests(double now) {
  std::vector<Machine*> barred;
  auto out = machines_.scale_out_requests(now, barred);
  for (Machine* m : barred) queues_.requeue_all(*m);
  return out;
}
void ShardScheduler::rented(const ScaleOutRequest& w, const std::vector<std::string>& names,
                            double now) {
  for (int n : machines_.rented(w, names, now)) remove_machine(n, now);
}
void ShardScheduler::rent_refused(const ScaleOutRequest& w, std::size_t from, bool no_capacity,
                                  double now) {
  for (int n : machines_.refused(w, from, no_capacity, now)) remove_machine(n, now);
}
void ShardScheduler::transfer(const MachineTransfer& transfer) {
  for (Machine* m : machines_.transfer(transfer)) queues_.requeue_all(*m);
}

void ShardScheduler::give_up_machine(Machine& m) {
  if (machines_.give_up(m)) ++context_.counters.replaced;
}
void ShardScheduler::probe_done(const std::string& name, bool answered, double now) {
  Machine* m = machines_.find(name);
  if (!m || !failure_detector_.probe_done(*m, answered, now)) return;
  give_up_machine(*m);
  queues_.requeue_all(*m);
}
void ShardScheduler::machine_failed(const std::string& name, bool unlisted, double now) {
  Machine* m = machines_.find(name);
  if (!m || m->lost) return;
  // Lists lag: a machine that is missing from one is lost only if it is silent as well, for longer
  // than a list can be old. Whether this owner has ever heard it does not matter: one that was
  // taken just before a takeover would hold its tasks until the fence is over.
  const auto& s = context_.settings;
  if (unlisted && now - m->last_heartbeat < std::max(2 * s.heartbeat_s, 3 * s.list_lag_s + 2))
    return;
  give_up_machine(*m);
  queues_.requeue_all(*m);
}

// ---- reports

ShardScheduler::HeartbeatResult ShardScheduler::take_heartbeat(const wire::Heartbeat& r, double now,
                                                               bool to_direct) {
  Machine* m = machines_.find(r.machine);
  if (!m) return HeartbeatResult::unknown;
  if (!HeartbeatProcessor::is_newer(*m, r)) {
    ++context_.counters.stale_heartbeats;
    // A copy that comes late is answered to nobody: it renews no lease, and must not put off the
    // proof by silence. What was overtaken on its way is waited for no longer than a worker waits.
    if (r.incarnation != m->tasks.incarnation || now - m->newest_task_at > kWorkerWaits)
      return HeartbeatResult::unknown;
    m->last_answer = now;
    return HeartbeatResult::older;
  }
  ++context_.counters.heartbeats;
  last_heartbeat_at_ = now;
  m->newest_task_at = now;
  const bool new_session = r.incarnation != m->tasks.incarnation;
  // Answered within a lease, and the lease is over all the same.
  const bool in_vain = new_session && m->tasks.incarnation != 0 &&
                       now - m->last_answer < context_.settings.lease_s / 2;
  m->start_lost = false;
  if (machines_.heartbeat_received(*m, r, new_session, now)) queues_.requeue_all(*m);
  heartbeat_processor_.heartbeat_received(
      *m, r, to_direct ? HeartbeatSource::direct_response : HeartbeatSource::worker, now);
  if (!to_direct)
    failure_detector_.heartbeat_received(
        *m, in_vain || r.token < m->answered_token || m->start_lost, now);
  for (const auto& [j, task] : heartbeat_processor_.take_finished()) queues_.drop_task(j, task);
  admission_.serve_machine(*m, now);
  return HeartbeatResult::fresh;
}

std::vector<wire::Command> ShardScheduler::commands_for(const std::string& name, bool fresh,
                                                        double now) {
  Machine* m = machines_.find(name);
  if (!m) return {};
  m->last_answer = now;
  m->answered_token = token();
  return worker_commands_.commands_for(*m, fresh, now);
}
std::vector<wire::Command> ShardScheduler::stop_commands(const std::string& name) const {
  const Machine* m = machines_.find(name);
  return m ? worker_commands_.stop_commands(*m) : std::vector<wire::Command>{};
}
bool ShardScheduler::has_unacknowledged_start(const std::string& name) const {
  const Machine* m = machines_.find(name);
  return m && worker_commands_.has_unacknowledged_start(*m);
}
bool ShardScheduler::awaits_commit(const std::string& name) {
  const Machine* m = machines_.find(name);
  return m && WorkerCommands::awaits_commit(*m);
}

void ShardScheduler::advance_token(std::uint64_t token, double now) {
  token_policy_.advance(token, now);
  placements_.token_advanced();
}

void ShardScheduler::transaction_applied(double now) {
  for (const auto& id : placement_store_.transaction_applied(now)) job_gone(id, now);
}

// ---- time

void ShardScheduler::run_scheduling_pass(double now) {
  context_.scheduling_due = false;
  last_pass_at_ = now;
  admission_.admit_pending(now);
}

void ShardScheduler::tick(double now) {
  // Pauses end with time alone: the cloud's after a refusal, a machine's, a job's. A shard without
  // machines hears nothing that would stir it, and its work stood still for good.
  if (now - last_pass_at_ >= kLookAgain)
    context_.scheduling_due |=
        std::any_of(context_.jobs.begin(), context_.jobs.end(),
                    [](const auto& j) { return !j.second->pending.empty(); });
  if (now - last_requeue_at_ >= kLookAgain) {
    last_requeue_at_ = now;
    admission_.requeue_blocked(now);
    reservations_.run(now);
    backfill_.run(now);
  }
  const bool hear = now - last_heartbeat_at_ < 2 * context_.settings.heartbeat_s;
  std::vector<int> withdrawn;
  for (auto& [n, m] : machines_.all()) {
    if (m->state == Machine::ordered) {
      if (m->queue.tasks.empty() && !m->announced) withdrawn.push_back(n);
      continue;
    }
    if (m->tasks.needs_resync) placements_.note_direct_due(*m);
    if (m->type >= 0) update_machine(*m, hear, now);
  }
  for (int n : withdrawn) remove_machine(n, now);
  urgent_headroom_.update(now);
  if (queues_.is_empty()) consolidation_.run(now);
}

void ShardScheduler::update_machine(Machine& m, bool hear, double now) {
  const double quiet = context_.settings.lease_s + 2 * context_.settings.heartbeat_s;
  if (m.state == Machine::booting && m.tasks.placements.empty()) {
    const double boot = context_.catalogue.types[m.type].spec.boot_s;
    if (now - m.rented_at > std::max(60.0, 4 * boot) && !m.leaving) {
      m.leaving = true;
      ++context_.counters.replaced;
      queues_.requeue_all(m);
    }
    return;
  }
  const double since = std::max(m.last_heartbeat, opened_at_);
  if (now - since > quiet) {
    placements_.lease_expired(m, now);
    // If others are heard, this one is lost, not we. It is given back.
    if (hear || now - since > 3 * quiet) give_up_machine(m);
    queues_.requeue_all(m);
  } else if (m.draining && hear && now - since > 2 * context_.settings.heartbeat_s) {
    // It was about to be taken and has gone silent. Deleting it proves its tasks gone.
    machines_.give_up(m);
  }
  if (m.leaving && !m.queue.tasks.empty()) queues_.requeue_all(m);
  machines_.note_idle(m, now);
  machines_.return_idle(m, now);
}

shard::Load ShardScheduler::load(double now) const {
  shard::Load out;
  if (context_.catalogue.empty()) return out;
  const Resources one = context_.catalogue.types[0].room;
  out.capacity = machines_.capacity() + machines_.transferring();
  const auto& teams = context_.settings.teams;
  std::vector<double> machines(teams.size(), 0), cpus(teams.size(), 0);
  for (const auto& [id, j] : context_.jobs) {
    if (j->not_before > now && !j->placed) continue;
    double left = j->spec.tasks - (j->spec.service ? 0 : j->done_count());
    machines[j->team] += left * share_of(j->need, one);
    cpus[j->team] += left * j->spec.cpus;
  }
  for (std::size_t t = 0; t < machines.size(); ++t) {
    if (cpus[t] <= 0) continue;
    out.demand += machines[t] * std::min(1.0, teams[t].cpus_max / cpus[t]);
    out.entitled += machines[t] * std::min(1.0, teams[t].cpus / cpus[t]);
  }
  return out;
}

std::string ShardScheduler::summary() const {
  std::size_t ordered = 0, booting = 0, up = 0, placed = 0, waiting = 0, pending = 0;
  for (const auto& [n, m] : machines_.all()) {
    (m->state == Machine::ordered ? ordered : m->state == Machine::booting ? booting : up)++;
    placed += m->tasks.placements.size();
    waiting += m->queue.tasks.size();
  }
  // How far the placements are on their way.
  std::size_t planned = 0, unsent = 0, unseen = 0, fetching = 0, running = 0, over = 0;
  for (const auto& [n, m] : machines_.all())
    for (const Placement& p : m->tasks.placements)
      (p.released                                 ? over
       : p.phase != Phase::committed              ? planned
       : p.seen && p.state == TaskState::fetching ? fetching
       : p.seen                                   ? running
       : p.sent                                   ? unseen
                                                  : unsent)++;
  std::size_t idle = 0;
  for (const auto& [n, m] : machines_.all()) idle += m->was_idle;
  double capacity = 0, used = 0;  // vcpus of machines that are up
  for (const auto& [n, m] : machines_.all())
    if (m->state == Machine::up && m->type >= 0) {
      capacity += static_cast<double>(context_.catalogue.types[m->type].room.cpus) / 1e6;
      used += static_cast<double>(m->tasks.used.cpus) / 1e6;
    }
  for (const auto& [id, j] : context_.jobs) pending += j->pending.size();
  return nlohmann::json{{"shard", context_.shard},
                        {"token", token()},
                        {"jobs", context_.jobs.size()},
                        {"ordered", ordered},
                        {"booting", booting},
                        {"up", up},
                        {"placed", placed},
                        {"planned", planned},
                        {"unsent", unsent},
                        {"unseen", unseen},
                        {"fetching", fetching},
                        {"running", running},
                        {"over", over},
                        {"waiting", waiting},
                        {"pending", pending},
                        {"capacity", capacity},
                        {"used", used},
                        {"idle", idle},
                        {"k", machines_.waits()},
                        {"starts", context_.counters.starts},
                        {"direct", context_.counters.direct},
                        {"dones", context_.counters.dones},
                        {"errors", context_.counters.errors},
                        {"lost", context_.counters.lost},
                        {"rents", context_.counters.rents},
                        {"given", context_.counters.transferred},
                        {"preempted", context_.counters.preempted},
                        {"refused", context_.counters.refused},
                        {"returns", context_.counters.returns},
                        {"replaced", context_.counters.replaced},
                        {"emptied", context_.counters.consolidated},
                        {"commits", context_.counters.commits},
                        {"commit_failures", context_.counters.commit_failures}}
      .dump();
}

}  // namespace shunttrail::scheduler
