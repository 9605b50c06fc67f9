#include "controller/job_feasibility.h"

#include <cstddef>
#include <set>

namespace shunttrail::controller {
namespace {

/// Tolerance for rounding errors in sums of decimal fractions that are compared with a limit.
constexpr double kRoundingTolerance = 1e-9;

bool exceeds(double demand, double limit) { return demand > limit + kRoundingTolerance; }

// Returns how many of the job's tasks have to run at the same time.
std::uint32_t simultaneous_tasks(const wire::JobSpec& job) {
  return job.service || job.gang ? job.tasks : 1;
}

bool fits_type(const wire::JobSpec& job, const jobs::Resources& need,
               const scheduler::MachineCatalogue& catalogue, std::size_t type) {
  const auto& machine = catalogue.types[type].spec;
  const int on_demand_tier = 2 * static_cast<int>(type);
  // The unrounded values are compared as well: Resources rounds to millionths, and the worker would
  // refuse a task that exceeds the machine by less than that.
  return catalogue.accepts(on_demand_tier, job, need) && !exceeds(job.cpus, machine.cpus) &&
         !exceeds(job.gpus, machine.gpus) && !exceeds(job.mem_gb, machine.mem_gb);
}

// Returns the zones that have a machine type on which one of the job's tasks fits.
std::set<std::size_t> feasible_zones(const wire::JobSpec& job, const config::Settings& settings,
                                     const scheduler::MachineCatalogue& catalogue) {
  const auto need = jobs::Resources::of(job.cpus, job.gpus, job.mem_gb);
  const int only_zone = job.zone ? settings.zone_index(*job.zone) : -1;
  std::set<std::size_t> zones;
  for (std::size_t type = 0; type < catalogue.types.size(); ++type) {
    if (!fits_type(job, need, catalogue, type)) continue;
    const auto& is_in_zone = catalogue.types[type].in_zone;
    for (std::size_t zone = 0; zone < is_in_zone.size(); ++zone)
      if (is_in_zone[zone] && (!job.zone || static_cast<int>(zone) == only_zone))
        zones.insert(zone);
  }
  return zones;
}

}  // namespace

JobFeasibility check_feasibility(const wire::JobSpec& job, const config::Settings& settings,
                                 const scheduler::MachineCatalogue& catalogue) {
  const int team_index = settings.team_index(job.team);
  if (team_index < 0) return JobFeasibility::infeasible;
  if (catalogue.empty()) return JobFeasibility::unknown;
  const auto& team = settings.teams[team_index];
  const std::uint32_t tasks = simultaneous_tasks(job);
  if (exceeds(job.cpus * tasks, team.cpus_max) || exceeds(job.gpus * tasks, team.gpus_max))
    return JobFeasibility::infeasible;
  const std::set<std::size_t> zones = feasible_zones(job, settings, catalogue);
  if (zones.empty()) return JobFeasibility::infeasible;
  // At most half of the tasks that run at the same time may be in one zone, so two zones are
  // needed.
  if (job.anti_affinity && tasks > 1 && (job.same_zone || zones.size() < 2))
    return JobFeasibility::infeasible;
  return JobFeasibility::feasible;
}

}  // namespace shunttrail::controller
