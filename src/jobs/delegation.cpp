#include "jobs/delegation.h"

#include <algorithm>
#include <map>

#include "schema/schema.h"

namespace shunttrail::jobs {

namespace {

std::vector<bool> flags_of(const wire::Intervals& intervals, std::uint32_t tasks) {
  std::vector<bool> out(tasks, false);
  for (const auto& [first, last] : intervals)
    for (std::uint64_t task = first; task <= last && task < tasks; ++task) out[task] = true;
  return out;
}

void clear_tasks(std::vector<bool>& tasks, const std::vector<bool>& others) {
  for (std::size_t task = 0; task < tasks.size(); ++task)
    if (others[task]) tasks[task] = false;
}

void add_tasks(std::vector<bool>& tasks, const std::vector<bool>& more) {
  for (std::size_t task = 0; task < tasks.size(); ++task)
    if (more[task]) tasks[task] = true;
}

/// Sums, by team, the resources of tasks that are or may be placed by other shards.
class DelegatedUse {
 public:
  DelegatedUse(const state::StateCache& cache, const config::Settings& settings, int shard)
      : cache_(cache), settings_(settings), shard_(shard), use_(settings.teams.size()) {}

  void add_job(const state::JobEntry& job) {
    const wire::JobSpec& spec = job.record.spec;
    const std::vector<bool> held = tasks_held_by_delegate(cache_, job);
    const auto count = std::count(held.begin(), held.end(), true);
    const int team = settings_.team_index(spec.team);
    if (!is_own(team) || count == 0) return;
    add_tasks(team, Resources::of(spec.cpus, spec.gpus, spec.mem_gb), count);
  }

  /// Adds the placements of a page. Placements of tasks of ended jobs stay in their page until the
  /// attempt is proven to have ended.
  void add_page(const wire::PlacementPageRecord& page) {
    for (const wire::JobPlacements& job : page.jobs) {
      const bool is_counted =
          cache_.delegated().contains(job.job) || cache_.ended_delegated().contains(job.job);
      if (is_counted || !is_own(job.team)) continue;
      add_tasks(job.team, Resources::of(job.cpus, job.gpus, job.mem_gb),
                static_cast<long>(job.placements.size()));
    }
  }

  [[nodiscard]] std::vector<Resources> take() { return std::move(use_); }

 private:
  [[nodiscard]] bool is_own(int team) const {
    return team >= 0 && settings_.team_shard[static_cast<std::size_t>(team)] == shard_;
  }
  void add_tasks(int team, const Resources& need, std::int64_t count) {
    use_[static_cast<std::size_t>(team)] +=
        Resources{need.cpus * count, need.gpus * count, need.mem * count};
  }

  const state::StateCache& cache_;
  const config::Settings& settings_;
  const int shard_;
  std::vector<Resources> use_;
};

}  // namespace

bool delegation_enabled(const state::StateCache& cache) {
  const schema::StoredView& view = cache.schema();
  const int version = schema::version_of(schema::Feature::delegation);
  if (!schema::FeatureGate(view).on(schema::Feature::delegation)) return false;
  return std::all_of(view.members.begin(), view.members.end(),
                     [&](const schema::StoredView::Member& member) {
                       return member.mod_revision == 0 || member.build.highest >= version;
                     });
}

bool has_zone_rules(const wire::JobSpec& spec) { return spec.same_zone || spec.anti_affinity; }

bool is_closing_read(const state::StateCache& cache, const state::JobEntry& job) {
  return job.record.delegation->is_closed && cache.revision() >= job.mod_revision;
}

std::vector<bool> tasks_held_by_delegate(const state::StateCache& cache,
                                         const state::JobEntry& job) {
  const wire::JobSpec& spec = job.record.spec;
  const wire::Delegation& delegation = *job.record.delegation;
  if (!delegation.is_readable) return std::vector<bool>(spec.tasks, true);
  std::vector<bool> placed = cache.placed(spec.id, delegation.shard, spec.tasks);
  const bool is_any_placed = std::find(placed.begin(), placed.end(), true) != placed.end();
  if (is_closing_read(cache, job) && !(is_any_placed && spec.gang)) return placed;
  std::vector<bool> held = flags_of(delegation.tasks, spec.tasks);
  clear_tasks(held, done_tasks(cache.done(spec.id), spec.tasks));
  // A done task may still have a placement in a page: a later attempt of it may still be running.
  add_tasks(held, placed);
  return held;
}

std::vector<bool> withheld_tasks(const state::StateCache& cache, const state::JobEntry& job,
                                 int shard, int team_shard) {
  const wire::JobSpec& spec = job.record.spec;
  const std::optional<wire::Delegation>& delegation = job.record.delegation;
  if (shard == team_shard)
    return delegation ? tasks_held_by_delegate(cache, job) : std::vector<bool>{};
  const bool may_start =
      delegation && delegation->is_readable && !delegation->is_closed && delegation->shard == shard;
  if (!may_start) return std::vector<bool>(spec.tasks, true);
  std::vector<bool> withheld = flags_of(delegation->tasks, spec.tasks);
  withheld.flip();
  return withheld;
}

std::vector<Resources> delegated_use(const state::StateCache& cache,
                                     const config::Settings& settings, int shard) {
  DelegatedUse use(cache, settings, shard);
  for (const std::string& id : cache.delegated()) use.add_job(*cache.job(id));
  for (const auto& [id, job] : cache.ended_delegated()) use.add_job(job);
  for (const auto& [delegate_shard, number] : cache.foreign_pages(shard))
    use.add_page(cache.placement_pages(delegate_shard).at(number));
  return use.take();
}

}  // namespace shunttrail::jobs
