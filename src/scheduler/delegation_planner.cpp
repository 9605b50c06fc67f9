#include "scheduler/delegation_planner.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "jobs/delegation.h"
#include "schema/schema.h"
#include "wire/record_codec.h"

namespace shunttrail::scheduler {

using jobs::Job;
using jobs::JobPtr;

namespace {
/// Shortest time between two runs, in seconds.
constexpr double kRunIntervalS = 1;
/// Time, in seconds, that a job must have waited before its tasks are delegated: earlier, its own
/// shard may still have capacity for them. Two attempts must fit into the 90 s that a task may wait
/// next to free capacity.
constexpr double kMinWaitS = 20;
constexpr double kUrgentMinWaitS = 8;
/// Time, in seconds, after which a delegation is closed if some of its tasks have no placement in
/// the other shard.
constexpr double kMaxUnplacedS = 12;
/// Time, in seconds, for which a job is not delegated again after its delegation has been removed.
constexpr double kRedelegationPauseS = 5;
/// Maximum numbers of jobs examined in one run, and of jobs written in one transaction.
constexpr std::size_t kMaxJobsPerRun = 64;
constexpr std::size_t kMaxJobsPerTransaction = 4;
/// Maximum numbers of tasks delegated at once: for an ordinary job, and for a gang, which is
/// delegated only as a whole.
constexpr std::size_t kMaxTasksPerDelegation = 32;
constexpr std::size_t kMaxTasksPerGang = 128;
/// Number of bytes that a record with an open delegation leaves free below the limit. Closing marks
/// the delegation, and names the transaction, whose tag may be longer.
constexpr std::size_t kClosingReserveBytes = 48;
/// Number of preconditions in each transaction in addition to those on jobs: the leader's key and
/// the schema version.
constexpr std::size_t kSharedPreconditions = 2;

bool is_open(const std::optional<wire::Delegation>& delegation) {
  return delegation && !delegation->is_closed;
}

bool is_urgent(const Job& job) { return job.priority_band() < Job::kGuaranteed; }

wire::Intervals intervals_of(std::vector<std::uint32_t> tasks) {
  std::sort(tasks.begin(), tasks.end());
  wire::Intervals intervals;
  for (const std::uint32_t task : tasks) {
    if (!intervals.empty() && intervals.back().second + 1 == task)
      intervals.back().second = task;
    else
      intervals.emplace_back(task, task);
  }
  return intervals;
}

/// Progress of an open delegation: number of tasks that are not done, and number of those without a
/// placement in its shard.
struct Progress {
  std::size_t unfinished = 0;
  std::size_t unplaced = 0;
};

Progress progress(const state::StateCache& cache, const state::JobEntry& entry) {
  const wire::JobSpec& spec = entry.record.spec;
  const wire::Delegation& delegation = *entry.record.delegation;
  const std::vector<bool> placed = cache.placed(spec.id, delegation.shard, spec.tasks);
  const std::vector<bool> done = jobs::done_tasks(cache.done(spec.id), spec.tasks);
  Progress counts;
  for (const auto& [first, last] : delegation.tasks)
    for (std::uint32_t task = first; task <= last && task < spec.tasks; ++task) {
      if (done[task]) continue;
      ++counts.unfinished;
      counts.unplaced += !placed[task];
    }
  return counts;
}
}  // namespace

// ---- transactions

std::optional<wire::Transaction> DelegationPlanner::next_transaction(
    const state::StateCache& cache, const state::TransactionLimits& limits, const std::string& tag,
    std::uint64_t token, double now) {
  if (in_flight_ || now < next_run_at_) return std::nullopt;
  next_run_at_ = now + kRunIntervalS;
  Draft draft{cache, limits, tag, now};
  end_delegations(draft);
  open_delegations(draft);
  if (draft.transaction.ops.empty()) return std::nullopt;
  draft.transaction.preconditions.emplace_back(state::leader_key(context_.shard), token);
  draft.transaction.preconditions.push_back(schema::FeatureGate(cache.schema()).precondition());
  in_flight_ = true;
  return std::move(draft.transaction);
}

void DelegationPlanner::transaction_done() {
  in_flight_ = false;
  delegated_work_.outcome_known();
}

// Adds the job's record with this delegation to the transaction. Returns false if the transaction
// is full or already writes the job, or if the record would be too long.
bool DelegationPlanner::write_record(Draft& draft, const state::JobEntry& entry,
                                     std::optional<wire::Delegation> delegation) {
  wire::Transaction& transaction = draft.transaction;
  if (transaction.ops.size() >= std::min(kMaxJobsPerTransaction, draft.limits.ops)) return false;
  if (transaction.preconditions.size() + kSharedPreconditions >= draft.limits.preconditions)
    return false;
  // A transaction writes a key only once: of two changes with the same revision, a cache applies
  // only the first.
  const std::string key = state::job_key(entry.record.spec.id);
  const auto& ops = transaction.ops;
  if (std::any_of(ops.begin(), ops.end(), [&](const auto& op) { return op.key == key; }))
    return false;
  wire::JobRecord record = entry.record;
  record.delegation = std::move(delegation);
  record.tag = draft.tag;
  const std::size_t reserve = is_open(record.delegation) ? kClosingReserveBytes : 0;
  const std::size_t max_bytes = draft.limits.value_bytes - reserve;
  std::string value = wire::encode_record_within(record, max_bytes);
  if (value.size() > max_bytes) return false;
  wire::Transaction part;
  part.preconditions.emplace_back(key, draft.cache.mod_revision(key));
  part.ops.push_back({key, std::move(value), 0});
  return state::append_within(draft.limits, std::move(part), transaction);
}

// ---- closing and removing

void DelegationPlanner::end_delegations(Draft& draft) {
  for (const std::string& id : draft.cache.delegated()) {
    const auto job = context_.jobs.find(id);
    if (job == context_.jobs.end() || job->second->is_foreign) continue;
    const state::JobEntry& entry = *draft.cache.job(id);
    if (entry.record.delegation->is_readable) end_delegation(draft, entry);
  }
  std::erase_if(unplaced_since_,
                [&](const auto& job) { return !draft.cache.delegated().contains(job.first); });
  std::erase_if(ended_at_,
                [&](const auto& job) { return draft.now - job.second > kRedelegationPauseS; });
}

void DelegationPlanner::end_delegation(Draft& draft, const state::JobEntry& entry) {
  if (!entry.record.delegation->is_closed) {
    if (!must_close(draft.cache, entry, draft.now)) return;
    wire::Delegation closed = *entry.record.delegation;
    closed.is_closed = true;
    write_record(draft, entry, std::move(closed));
    return;
  }
  if (!may_remove(draft.cache, entry, context_.shard)) return;
  if (write_record(draft, entry, std::nullopt)) ended_at_[entry.record.spec.id] = draft.now;
}

bool DelegationPlanner::must_close(const state::StateCache& cache, const state::JobEntry& entry,
                                   double now) {
  const Progress left = progress(cache, entry);
  if (left.unfinished == 0 || !jobs::delegation_enabled(cache)) return true;
  const std::string& id = entry.record.spec.id;
  if (left.unplaced == 0) {
    unplaced_since_.erase(id);
    return false;
  }
  return now - unplaced_since_.try_emplace(id, now).first->second > kMaxUnplacedS;
}

// Returns true if nothing can run in the other shard any more and this shard has stored all of its
// results: the other shard drops them when the delegation is removed.
bool DelegationPlanner::may_remove(const state::StateCache& cache, const state::JobEntry& entry,
                                   int shard) {
  if (!jobs::is_closing_read(cache, entry)) return false;
  const wire::JobSpec& spec = entry.record.spec;
  const int other = entry.record.delegation->shard;
  const std::vector<bool> placed = cache.placed(spec.id, other, spec.tasks);
  if (std::find(placed.begin(), placed.end(), true) != placed.end()) return false;
  const std::vector<bool> done_there = jobs::done_tasks(cache.done(spec.id, other), spec.tasks);
  const std::vector<bool> done_here = jobs::done_tasks(cache.done(spec.id, shard), spec.tasks);
  for (std::size_t task = 0; task < done_there.size(); ++task)
    if (done_there[task] && !done_here[task]) return false;
  return true;
}

// ---- opening

bool DelegationPlanner::has_waited(const Job& job, double now) {
  return now - job.since > (is_urgent(job) ? kUrgentMinWaitS : kMinWaitS);
}

// Returns the waiting jobs in order of service, at most kMaxJobsPerRun.
std::vector<JobPtr> DelegationPlanner::waiting_jobs(double now) const {
  std::vector<JobPtr> jobs;
  for (const auto& [id, job] : context_.jobs) {
    const bool waits = job->queued || !job->pending.empty();
    if (waits && !job->is_foreign && !job->ended && job->not_before <= now) jobs.push_back(job);
  }
  const auto rank = [](const JobPtr& job) {
    return std::tuple(job->priority_band(), job->latest_start());
  };
  std::sort(jobs.begin(), jobs.end(),
            [&](const JobPtr& a, const JobPtr& b) { return rank(a) < rank(b); });
  if (jobs.size() > kMaxJobsPerRun) jobs.resize(kMaxJobsPerRun);
  return jobs;
}

// Returns queued tasks by job. Omits tasks that wait for a machine that is not up yet, which will
// have enough capacity, and for a reserved machine.
DelegationPlanner::QueuedByJob DelegationPlanner::queued_by_job() const {
  QueuedByJob queued;
  for (const auto& [order, number] : queues_.tasks()) {
    Machine* machine = machines_.at(number);
    if (!machine || machine->state != Machine::up || queues_.is_reserved(*machine)) continue;
    const auto position = TaskQueues::find(*machine, order);
    if (position == machine->queue.tasks.end()) continue;
    queued[position->job.get()].push_back({position->task, machine, order});
  }
  return queued;
}

std::vector<DelegationPlanner::WaitingTask> DelegationPlanner::waiting_tasks(
    const Job& job, const QueuedByJob& queued) const {
  std::vector<WaitingTask> tasks;
  for (const std::uint32_t task : job.pending) tasks.push_back({task, nullptr, {}});
  if (const auto found = queued.find(&job); found != queued.end())
    tasks.insert(tasks.end(), found->second.begin(), found->second.end());
  return tasks;
}

// Returns true if a machine of this shard has free capacity for a task of the job that no task
// waits for.
bool DelegationPlanner::fits_here(const Job& job, double now) const {
  const auto& all = machines_.all();
  return std::any_of(all.begin(), all.end(), [&](const auto& entry) {
    const Machine& machine = *entry.second;
    if (!machine.accepts_work(now) || !machine.in_inventory) return false;
    if (!machine.queue.tasks.empty()) return false;
    return job.need.fits(machines_.free_capacity(machine, job.priority_band())) &&
           machines_.usable(machine, job, now);
  });
}

void DelegationPlanner::open_delegations(Draft& draft) {
  undelegated_ = {};
  if (offers_.empty()) return;
  Offers offers(context_.settings, context_.catalogue, offers_);
  const bool is_enabled = jobs::delegation_enabled(draft.cache);
  const QueuedByJob queued = queued_by_job();
  std::set<int> used_shards;
  for (const JobPtr& job : waiting_jobs(draft.now)) {
    const std::vector<WaitingTask> waiting = waiting_tasks(*job, queued);
    if (waiting.empty()) continue;
    const std::size_t wanted = std::min(waiting.size(), kMaxTasksPerGang);
    // An open delegation is extended if its shard has capacity. A job with a delegation never gets
    // a second one in another shard.
    OfferFit fit = offers.best_fit(*job, wanted, open_shard(draft.cache, *job));
    if (fit.tasks == 0) fit = offers.best_fit(*job, wanted);
    if (fit.tasks == 0 || fits_here(*job, draft.now)) continue;
    undelegated_.longest_s = std::max(undelegated_.longest_s, draft.now - job->since);
    std::uint64_t* blocker =
        blocking_counter(draft.cache, *job, waiting.size(), fit, is_enabled, draft.now);
    if (blocker) {
      *blocker += fit.tasks;
      continue;
    }
    if (!open_delegation(draft, job, waiting, fit)) continue;
    offers.take(*job, fit);
    used_shards.insert(fit.shard);
  }
  // The next offers of these shards will reflect the tasks delegated here.
  std::erase_if(offers_, [&](const RoomOffer& offer) { return used_shards.contains(offer.shard); });
}

// Returns the shard to which the job has an open delegation, if any.
std::optional<int> DelegationPlanner::open_shard(const state::StateCache& cache, const Job& job) {
  const state::JobEntry* entry = cache.job(job.spec.id);
  if (!entry || !entry->record.delegation) return std::nullopt;
  const wire::Delegation& delegation = *entry->record.delegation;
  if (!delegation.is_readable || delegation.is_closed) return std::nullopt;
  return delegation.shard;
}

// Returns true if there is no delegation yet, or if the tasks can join the existing one.
bool DelegationPlanner::may_extend(const std::optional<wire::Delegation>& delegation,
                                   const Job& job, const OfferFit& fit) const {
  if (!delegation) return true;
  if (!delegation->is_readable || delegation->is_closed || delegation->shard != fit.shard)
    return false;
  if (job.spec.gang || delegation->zone.has_value() != fit.zone.has_value()) return false;
  return !fit.zone ||
         *delegation->zone == context_.settings.zones[static_cast<std::size_t>(*fit.zone)];
}

// Returns the counter of the reason that prevents tasks which fit an offer from being delegated;
// null if nothing does.
std::uint64_t* DelegationPlanner::blocking_counter(const state::StateCache& cache, const Job& job,
                                                   std::size_t waiting, const OfferFit& fit,
                                                   bool is_enabled, double now) {
  const std::string& id = job.spec.id;
  const state::JobEntry* entry = cache.job(id);
  if (!is_enabled || !entry) return &undelegated_.disabled;
  if (ended_at_.contains(id) || !may_extend(entry->record.delegation, job, fit))
    return &undelegated_.in_progress;
  if (!quota_.allows(job, TeamQuota::Counted::placed)) return &undelegated_.quota;
  if (job.spec.gang) {
    const std::size_t unfinished = job.spec.tasks - job.done_count();
    const bool is_whole = job.placed == 0 && waiting == unfinished && fit.tasks == unfinished;
    if (!is_whole) return &undelegated_.gang;
    if (!quota_.allows(job, TeamQuota::Counted::placed, unfinished)) return &undelegated_.quota;
  }
  return has_waited(job, now) ? nullptr : &undelegated_.not_yet;
}

bool DelegationPlanner::open_delegation(Draft& draft, const JobPtr& job,
                                        const std::vector<WaitingTask>& waiting,
                                        const OfferFit& fit) {
  const std::size_t max_count = job->spec.gang ? fit.tasks : kMaxTasksPerDelegation;
  std::size_t count = std::min(fit.tasks, max_count);
  while (count > 0 && !quota_.allows(*job, TeamQuota::Counted::placed, count)) --count;
  if (count == 0) return false;
  std::vector<std::uint32_t> tasks;
  for (std::size_t i = 0; i < count; ++i) tasks.push_back(waiting[i].task);
  const state::JobEntry& entry = *draft.cache.job(job->spec.id);
  // A gang is delegated as a whole and follows its own zone rules in the other shard.
  const std::optional<int> zone = job->spec.gang ? std::nullopt : fit.zone;
  std::vector<std::uint32_t> delegated = tasks;
  if (entry.record.delegation)
    for (const auto& [first, last] : entry.record.delegation->tasks)
      for (std::uint32_t task = first; task <= last; ++task) delegated.push_back(task);
  wire::Delegation delegation{fit.shard, false, intervals_of(std::move(delegated))};
  if (zone) delegation.zone = context_.settings.zones[static_cast<std::size_t>(*zone)];
  if (!write_record(draft, entry, std::move(delegation))) return false;
  for (std::size_t i = 0; i < count; ++i) remove_from_queue(waiting[i], draft.now);
  delegated_work_.withhold_until_committed(job, tasks, zone);
  context_.counters.delegated += count;
  return true;
}

void DelegationPlanner::remove_from_queue(const WaitingTask& waiting, double now) {
  if (!waiting.machine) return;
  (void)queues_.dequeue(*waiting.machine, TaskQueues::find(*waiting.machine, waiting.order));
  waiting.machine->note_idle(now);
}

}  // namespace shunttrail::scheduler
