#include "simulation/job_records.h"

#include <algorithm>
#include <utility>

namespace shunttrail::simulation {

namespace {
constexpr double kServiceRunS = 1e9;         // longer than any history
constexpr double kCompletedTaskRunS = 0.01;  // run of a task whose stored result already exists
}  // namespace

void JobRecords::add(wire::JobSpec spec, double run_s) {
  const std::string id = spec.id;
  jobs_[id] = {std::move(spec), run_s};
}

SimulatedJob* JobRecords::find(const std::string& id) {
  const auto job = jobs_.find(id);
  return job == jobs_.end() ? nullptr : &job->second;
}

bool JobRecords::all_completed(const std::string& id) const {
  for (std::uint32_t i = 0; i < at(id).spec.tasks; ++i)
    if (!is_completed({id, i})) return false;
  return true;
}

bool JobRecords::is_cancelled_by_users(const std::string& id) const {
  const SimulatedJob& job = at(id);
  return job.cancel_requested ||
         std::any_of(
             job.spec.dependencies.begin(), job.spec.dependencies.end(),
             [&](const std::string& dependency) { return is_cancelled_by_users(dependency); });
}

bool JobRecords::are_dependencies_accepted(const std::string& id) const {
  const std::vector<std::string>& dependencies = at(id).spec.dependencies;
  return !dependencies.empty() &&
         std::all_of(dependencies.begin(), dependencies.end(), [this](const std::string& other) {
           const auto job = jobs_.find(other);
           return job != jobs_.end() && job->second.accepted && !job->second.spec.service;
         });
}

bool JobRecords::can_never_run(const std::string& id) const {
  const wire::JobSpec& job = at(id).spec;
  const bool run_together = (job.service || job.gang) && job.tasks > 1;
  const bool is_in_one_zone = job.zone || job.same_zone;
  return run_together && job.anti_affinity && is_in_one_zone;
}

std::optional<emulators::WorkerEmulator::Work> JobRecords::work_of(const wire::TaskId& task) const {
  const auto found = jobs_.find(task.job);
  if (found == jobs_.end()) return std::nullopt;
  const SimulatedJob& job = found->second;
  double run_s = job.run_s * (1 + task.index % 3);
  if (is_completed(task)) run_s = kCompletedTaskRunS;
  if (job.spec.service) run_s = kServiceRunS;
  return emulators::WorkerEmulator::Work{job.spec.cpus, job.spec.image_gb, run_s,
                                         job.spec.checkpoint_s, job.spec.save_s};
}

}  // namespace shunttrail::simulation
