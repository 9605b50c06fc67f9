#include "scheduler/team_quota.h"

#include <algorithm>

#include "scheduler/reservation_limits.h"

namespace shunttrail::scheduler {

using jobs::Job;
using jobs::JobPtr;
using jobs::Resources;

namespace {
/// Shortest time, in seconds, between two updates of the guarantees while the number of jobs does
/// not change.
constexpr double kGuaranteeUpdateIntervalS = 0.3;
}  // namespace

TeamQuota::TeamQuota(ShardContext& context, const Placements& placements)
    : context_(context),
      placements_(placements),
      queued_(context.settings.teams.size()),
      reservations_(context.settings.teams.size()),
      delegated_(context.settings.teams.size()),
      delegating_(context.settings.teams.size()) {}

void TeamQuota::task_queued(const Job& job) {
  queued_[static_cast<std::size_t>(job.team)] += job.need;
}
void TeamQuota::task_dequeued(const Job& job) {
  queued_[static_cast<std::size_t>(job.team)] -= job.need;
}

void TeamQuota::add_delegating(const Job& job) {
  delegating_[static_cast<std::size_t>(job.team)] += job.need;
}
void TeamQuota::clear_delegating() {
  std::fill(delegating_.begin(), delegating_.end(), Resources{});
}

// Returns the resources that a team of this shard uses, on machines of any shard.
Resources TeamQuota::used(int team) const {
  const auto index = static_cast<std::size_t>(team);
  return placements_.used(team) + delegated_[index] + delegating_[index];
}

// Foreign jobs are always allowed: the leader of their own shard has counted their delegated tasks.
bool TeamQuota::allows(const Job& job, Counted counted, std::size_t tasks) const {
  if (job.is_foreign) return true;
  const auto team = static_cast<std::size_t>(job.team);
  const auto& settings = context_.settings.teams[team];
  const Resources limit = Resources::of(settings.cpus_max, settings.gpus_max, 0);
  const auto count = static_cast<std::int64_t>(tasks);
  Resources sum = used(job.team) + Resources{job.need.cpus * count, job.need.gpus * count, 0};
  if (counted == Counted::placed_and_queued) sum += queued_[team];
  const JobPtr& reserved = reservations_[team].job;
  if (reserved && reserved.get() != &job) sum += reserved->need;
  return sum.cpus <= limit.cpus && sum.gpus <= limit.gpus;
}

bool TeamQuota::beyond_guarantee(int team) const {
  if (team < 0) return false;
  const auto& settings = context_.settings.teams[static_cast<std::size_t>(team)];
  return used(team).cpus > Resources::of(settings.cpus, 0, 0).cpus;
}

void TeamQuota::reserve(const JobPtr& job, double now) {
  Reservation& reservation = reservations_[static_cast<std::size_t>(job->team)];
  if (reservation.job) return;
  if (now - reservation.reserved_at <= kReservationDurationS + kReservationPauseS) return;
  reservation = {job, now};
}

void TeamQuota::expire_reservations(double now) {
  for (Reservation& reservation : reservations_) {
    const JobPtr& job = reservation.job;
    if (!job) continue;
    const bool expired = now - reservation.reserved_at > kReservationDurationS;
    if (job->ended || job->placed || expired) reservation.job = nullptr;
  }
}

void TeamQuota::update_guarantees(double now) {
  const bool recent = now - guarantees_updated_at_ <= kGuaranteeUpdateIntervalS;
  if (context_.jobs.size() == last_job_count_ && recent) return;
  last_job_count_ = context_.jobs.size();
  guarantees_updated_at_ = now;
  mark_guaranteed_jobs();
}

// Applies a team's guarantee to its jobs in order of age: it covers a job that fits together with
// the team's earlier unfinished jobs.
void TeamQuota::mark_guaranteed_jobs() {
  std::vector<std::vector<Job*>> jobs_by_team(context_.settings.teams.size());
  for (auto& [id, job] : context_.jobs)
    if (!job->is_foreign) jobs_by_team[static_cast<std::size_t>(job->team)].push_back(job.get());
  for (std::size_t team = 0; team < jobs_by_team.size(); ++team) {
    std::vector<Job*>& jobs = jobs_by_team[team];
    std::sort(jobs.begin(), jobs.end(),
              [](const Job* a, const Job* b) { return a->since < b->since; });
    const auto& settings = context_.settings.teams[team];
    const Resources guarantee = Resources::of(settings.cpus, settings.gpus, 0);
    Resources sum;
    for (Job* job : jobs) {
      const std::int64_t unfinished = job->spec.tasks - (job->spec.service ? 0 : job->done_count());
      sum += {job->need.cpus * unfinished, job->need.gpus * unfinished, 0};
      job->within_guarantee = sum.cpus <= guarantee.cpus && sum.gpus <= guarantee.gpus;
    }
  }
}

}  // namespace shunttrail::scheduler
