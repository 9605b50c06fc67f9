#include "scheduler/machine.h"

#include <algorithm>

namespace shunttrail::scheduler {

namespace {
/// Number of jobs whose tasks must have failed on a machine for the machine to count as faulty.
constexpr std::size_t kFailedJobsBeforeFaulty = 2;
/// Pause, in seconds, after a failed task before the machine gets another one.
constexpr double kFaultPauseS = 5;
}  // namespace

bool Machine::has_replicas() const {
  return std::any_of(tasks.placements.begin(), tasks.placements.end(),
                     [](const Placement& placement) {
                       return placement.job->spec.service && !placement.released;
                     });
}

bool Machine::has_work() const {
  return !std::all_of(
      tasks.placements.begin(), tasks.placements.end(),
      [](const Placement& placement) { return placement.awaits_acknowledgement(); });
}

void Machine::note_idle(double now) {
  const bool is_idle = state == up && is_empty();
  if (is_idle && !was_idle) idle_since = now;
  was_idle = is_idle;
}

void Machine::task_failed(const std::string& job, double now) {
  ++faults;
  failed_jobs.insert(job);
  avoid_until = now + kFaultPauseS;
  // A faulty machine is returned to the cloud, and another one is rented if tasks need it.
  if (is_faulty()) leaving = true;
}

void Machine::task_succeeded() {
  faults = 0;
  failed_jobs.clear();
}

bool Machine::is_faulty() const { return failed_jobs.size() >= kFailedJobsBeforeFaulty; }

bool Machine::give_up() {
  if (lost) return false;
  leaving = lost = true;
  return true;
}

double share_of(const jobs::Resources& need, const jobs::Resources& capacity) {
  const auto share = [](std::int64_t part, std::int64_t whole) {
    return static_cast<double>(part) / static_cast<double>(whole);
  };
  const double cpus = capacity.cpus > 0 ? share(need.cpus, capacity.cpus) : 0;
  return capacity.mem > 0 ? std::max(cpus, share(need.mem, capacity.mem)) : cpus;
}

}  // namespace shunttrail::scheduler
