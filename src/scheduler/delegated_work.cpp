#include "scheduler/delegated_work.h"

#include <algorithm>
#include <utility>

#include "jobs/delegation.h"

namespace shunttrail::scheduler {

using jobs::JobPtr;

// Returns true if the last sync still applies. A closed delegation whose earlier changes have not
// all been read yet can change its effect without a change of its own, whenever the cache advances.
bool DelegatedWork::is_current(const state::StateCache& cache) const {
  if (must_sync_ || cache.delegation_changes() != synced_changes_) return false;
  return !has_unread_closing_ || cache.revision() == synced_revision_;
}

std::vector<std::string> DelegatedWork::sync(const state::StateCache& cache, double now) {
  if (is_current(cache)) return {};
  synced_changes_ = cache.delegation_changes();
  synced_revision_ = cache.revision();
  has_unread_closing_ = false;
  for (const std::string& id : cache.delegated()) sync_job(cache, *cache.job(id), now);
  std::erase_if(jobs_with_withheld_, [&](const std::string& id) {
    if (jobs_in_commit_.contains(id) || cache.delegated().contains(id)) return false;
    const auto job = context_.jobs.find(id);
    if (job == context_.jobs.end() || job->second->is_foreign) return true;
    job->second->delegated_in_zone.clear();
    withhold(job->second, {}, now);
    return true;
  });
  quota_.set_delegated(jobs::delegated_use(cache, context_.settings, context_.shard));
  if (jobs_in_commit_.empty()) quota_.clear_delegating();
  must_sync_ = false;
  context_.scheduling_due = true;
  return ended_foreign_jobs(cache);
}

void DelegatedWork::sync_job(const state::StateCache& cache, const state::JobEntry& entry,
                             double now) {
  const wire::JobSpec& spec = entry.record.spec;
  const auto known = context_.jobs.find(spec.id);
  if (known == context_.jobs.end() || jobs_in_commit_.contains(spec.id)) return;
  const JobPtr& job = known->second;
  const bool is_closed = entry.record.delegation->is_closed;
  has_unread_closing_ |= is_closed && !jobs::is_closing_read(cache, entry);
  if (!job->is_foreign) take_results(cache, entry, job, now);
  const int team_shard = context_.settings.team_shard[static_cast<std::size_t>(job->team)];
  jobs_with_withheld_.insert(spec.id);
  std::vector<bool> withheld = jobs::withheld_tasks(cache, entry, context_.shard, team_shard);
  set_zones(job, *entry.record.delegation, withheld);
  withhold(job, std::move(withheld), now);
}

// If the delegation names a zone, all delegated tasks run there: the foreign shard may use only
// this zone, and the team's shard counts them in it.
void DelegatedWork::set_zones(const JobPtr& job, const wire::Delegation& delegation,
                              const std::vector<bool>& withheld) const {
  job->delegated_in_zone.assign(context_.settings.zones.size(), 0);
  job->only_zone.reset();
  if (!delegation.zone) return;
  const int zone = context_.settings.zone_index(*delegation.zone);
  if (job->is_foreign)
    job->only_zone = zone;
  else if (zone >= 0)
    job->delegated_in_zone[static_cast<std::size_t>(zone)] =
        static_cast<std::uint32_t>(std::count(withheld.begin(), withheld.end(), true));
}

// Records results that the other shard has stored. The other shard drops its copy once the
// delegation is removed.
void DelegatedWork::take_results(const state::StateCache& cache, const state::JobEntry& entry,
                                 const JobPtr& job, double now) {
  const wire::Delegation& delegation = *entry.record.delegation;
  if (!delegation.is_readable) return;
  const std::vector<bool> done =
      jobs::done_tasks(cache.done(job->spec.id, delegation.shard), job->spec.tasks);
  for (std::uint32_t task = 0; task < job->spec.tasks; ++task)
    if (done[task] && job->finish(task, now)) queues_.drop_task(job, task);
}

void DelegatedWork::withhold(const JobPtr& job, std::vector<bool> tasks, double now) {
  job->withhold(std::move(tasks));
  for (const auto& [number, machine] : machines_.all()) {
    if (job->queued) queues_.drop_withheld(*machine, job);
    placements_.drop_withheld(*machine, job, now);
  }
}

std::vector<std::string> DelegatedWork::ended_foreign_jobs(const state::StateCache& cache) const {
  std::vector<std::string> ended;
  for (const auto& [id, job] : context_.jobs) {
    if (!job->is_foreign) continue;
    const state::JobEntry* entry = cache.job(id);
    if (!entry) continue;  // reported by job_gone
    const auto& delegation = entry->record.delegation;
    if (!delegation || (delegation->is_readable && delegation->shard != context_.shard))
      ended.push_back(id);
  }
  return ended;
}

void DelegatedWork::withhold_until_sync(const JobPtr& job) {
  job->withhold(std::vector<bool>(job->spec.tasks, true));
  jobs_with_withheld_.insert(job->spec.id);
  must_sync_ = true;
}

void DelegatedWork::withhold_until_committed(const JobPtr& job,
                                             const std::vector<std::uint32_t>& tasks,
                                             std::optional<int> zone) {
  std::vector<bool> held(job->spec.tasks, false);
  for (std::uint32_t task = 0; task < job->spec.tasks; ++task) held[task] = job->is_withheld(task);
  for (const std::uint32_t task : tasks) {
    held[task] = true;
    quota_.add_delegating(*job);
  }
  job->withhold(std::move(held));
  job->delegated_in_zone.resize(context_.settings.zones.size(), 0);
  if (zone)
    job->delegated_in_zone[static_cast<std::size_t>(*zone)] +=
        static_cast<std::uint32_t>(tasks.size());
  jobs_with_withheld_.insert(job->spec.id);
  jobs_in_commit_.insert(job->spec.id);
}

void DelegatedWork::outcome_known() {
  if (jobs_in_commit_.empty()) return;
  jobs_in_commit_.clear();
  must_sync_ = true;
}

}  // namespace shunttrail::scheduler
