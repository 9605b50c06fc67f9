#include "scheduler/urgent_headroom.h"

#include <algorithm>
#include <tuple>

namespace shunttrail::scheduler {

using jobs::Job;
using jobs::JobPtr;
using jobs::Resources;

namespace {
/// Shortest time, in seconds, between two updates.
constexpr double kUpdateIntervalS = 1;
/// Age, in seconds, up to which an urgent job counts as recent.
constexpr double kRecentJobS = 180;
/// Maximum share of the shard's vcpus that is kept free.
constexpr double kMaxHeadroomShare = 0.02;
/// Maximum number of tasks for which one machine keeps capacity free.
constexpr int kMaxTasksPerMachine = 4;
}  // namespace

JobPtr UrgentHeadroom::largest_urgent_job(double now) const {
  const auto total_cpus = [](const JobPtr& job) { return job->need.cpus * job->spec.tasks; };
  JobPtr largest;
  for (const auto& [id, job] : context_.jobs) {
    if (job->priority_band() >= Job::kGuaranteed || now - job->since >= kRecentJobS) continue;
    if (!largest || total_cpus(job) > total_cpus(largest)) largest = job;
  }
  return largest;
}

std::int64_t UrgentHeadroom::release_all(double now) {
  std::int64_t cpus = 0;
  for (const auto& [number, machine] : machines_.all()) {
    machine->reserved = {};
    if (!machine->accepts_work(now) || !machine->in_inventory) continue;
    if (machine->type < 0 || machine->zone < 0) continue;
    cpus += context_.catalogue.types[static_cast<std::size_t>(machine->type)].capacity.cpus;
  }
  return cpus;
}

// Returns the suitable machines by zone. In each zone, machines that have free capacity for a task
// of the job come first, then those with the most images.
UrgentHeadroom::MachinesByZone UrgentHeadroom::suitable_machines(const Job& job, double now) const {
  MachinesByZone by_zone(context_.settings.zones.size());
  for (const auto& [number, machine] : machines_.all()) {
    if (!machine->accepts_work(now) || !machine->in_inventory) continue;
    if (machine->type < 0 || machine->zone < 0) continue;
    if (machines_.type_ok(job, machine->type, machine->spot))
      by_zone[static_cast<std::size_t>(machine->zone)].push_back(machine.get());
  }
  const auto rank = [&](const Machine* machine) {
    return std::tuple(job.need.fits(machines_.free_capacity(*machine)), machine->images.size());
  };
  for (std::vector<Machine*>& zone : by_zone)
    std::stable_sort(zone.begin(), zone.end(),
                     [&](const Machine* a, const Machine* b) { return rank(a) > rank(b); });
  return by_zone;
}

// Returns the capacity for up to kMaxTasksPerMachine tasks of the job, limited to half of the
// machine and to `remaining_cpus`.
Resources UrgentHeadroom::headroom(const Machine& machine, const Job& job,
                                   std::int64_t remaining_cpus) const {
  const Resources& capacity =
      context_.catalogue.types[static_cast<std::size_t>(machine.type)].capacity;
  Resources headroom;
  for (int task = 0; task < kMaxTasksPerMachine; ++task) {
    const Resources larger = headroom + job.need;
    if (larger.cpus > remaining_cpus || !(larger + larger).fits(capacity)) break;
    headroom = larger;
  }
  return headroom;
}

void UrgentHeadroom::update(double now) {
  if (now < updated_at_ + kUpdateIntervalS) return;
  updated_at_ = now;
  const std::int64_t shard_cpus = release_all(now);
  const JobPtr job = largest_urgent_job(now);
  if (!job || job->need.cpus <= 0) return;
  std::int64_t remaining_cpus = std::min<std::int64_t>(
      job->need.cpus * job->spec.tasks,
      static_cast<std::int64_t>(kMaxHeadroomShare * static_cast<double>(shard_cpus)));
  const MachinesByZone by_zone = suitable_machines(*job, now);
  // Fill the zones in turn, since the tasks of a job are spread across them.
  bool any_machine_left = true;
  for (std::size_t i = 0; any_machine_left && remaining_cpus >= job->need.cpus; ++i) {
    any_machine_left = false;
    for (const std::vector<Machine*>& zone : by_zone) {
      if (i >= zone.size() || remaining_cpus < job->need.cpus) continue;
      any_machine_left = true;
      zone[i]->reserved = headroom(*zone[i], *job, remaining_cpus);
      remaining_cpus -= zone[i]->reserved.cpus;
    }
  }
}

}  // namespace shunttrail::scheduler
