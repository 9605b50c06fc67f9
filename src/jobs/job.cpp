#include "jobs/job.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace shunttrail::jobs {
namespace {

constexpr double kUnitsPerAmount = 1e6;
/// The amount that means no limit; sums of it and of real amounts do not overflow.
constexpr double kUnlimitedUnits = 1e18;
/// The longest time in seconds that a job's tasks should wait.
constexpr double kMaxWaitS = 120;

std::int64_t units(double amount) {
  return static_cast<std::int64_t>(
      std::llround(std::min(amount * kUnitsPerAmount, kUnlimitedUnits)));
}

/// Returns the due time that a job's own deadline sets.
double own_due(const wire::JobRecord& record, double now, double wall_now) {
  if (!record.spec.deadline_s) return std::numeric_limits<double>::infinity();
  return now - (wall_now - record.submitted_at) + *record.spec.deadline_s;
}

/// Returns the first task of a chunk.
std::size_t first_task(std::uint32_t chunk) { return std::size_t{chunk} * kTasksPerChunk; }

}  // namespace

Resources Resources::of(double cpus, double gpus, double mem_gb) {
  return {units(cpus), units(gpus), units(mem_gb)};
}

std::vector<bool> done_tasks(const std::map<std::uint32_t, state::Intervals>& done,
                             std::uint32_t tasks) {
  std::vector<bool> out(tasks, false);
  for (const auto& [chunk, intervals] : done)
    for (const auto& [first, last] : intervals)
      for (std::uint64_t i = first; i <= last; ++i) {
        const std::uint64_t task = first_task(chunk) + i;
        if (task < tasks) out[task] = true;
      }
  return out;
}

Job::Job(const wire::JobRecord& record, int team_index, int class_index, int zones, double now,
         double wall_now)
    : spec(record.spec),
      team(team_index),
      job_class(class_index),
      need(Resources::of(record.spec.cpus, record.spec.gpus, record.spec.mem_gb)),
      since(now - std::max(0.0, wall_now - std::max(record.submitted_at, record.ready_at))),
      priority(record.spec.priority),
      due(own_due(record, now, wall_now)),
      placements(record.spec.tasks, 0),
      in_zone(zones, 0),
      done_(record.spec.tasks, false),
      persisted_(record.spec.tasks, false) {
  for (std::uint32_t task = 0; task < spec.tasks; ++task) pending.insert(pending.end(), task);
}

void Job::load_done(std::uint32_t chunk, const state::Intervals& intervals) {
  for (const auto& [first, last] : intervals)
    for (std::uint64_t i = first; i <= last; ++i) {
      const std::uint64_t task = first_task(chunk) + i;
      if (task >= spec.tasks) break;
      persisted_[task] = true;
      mark_done(static_cast<std::uint32_t>(task));
    }
  if (!dirty(chunk)) dirty_chunks.erase(chunk);
}

bool Job::mark_done(std::uint32_t task) {
  if (task >= spec.tasks || done_[task]) return false;
  done_[task] = true;
  ++done_count_;
  pending.erase(task);
  dirty_chunks.insert(task / kTasksPerChunk);
  return true;
}

bool Job::finish(std::uint32_t task, double now) {
  if (dirty_chunks.empty()) dirty_since = now;
  return mark_done(task);
}

void Job::withhold(std::vector<bool> tasks) {
  const std::vector<bool> before = std::exchange(withheld_, std::move(tasks));
  for (std::uint32_t task = 0; task < spec.tasks; ++task) {
    const bool was_withheld = task < before.size() && before[task];
    if (is_withheld(task))
      pending.erase(task);
    else if (was_withheld && !done(task) && placements[task] == 0)
      pending.insert(task);
  }
}

std::vector<bool> Job::chunk(std::uint32_t chunk) const {
  const std::size_t begin = std::min(first_task(chunk), done_.size());
  const std::size_t end = std::min(begin + kTasksPerChunk, done_.size());
  return {done_.begin() + static_cast<long>(begin), done_.begin() + static_cast<long>(end)};
}

void Job::set_persisted(std::uint32_t chunk, const std::vector<bool>& is_done) {
  for (std::size_t i = 0; i < is_done.size(); ++i)
    if (is_done[i]) persisted_[first_task(chunk) + i] = true;
  if (!dirty(chunk)) dirty_chunks.erase(chunk);
}

bool Job::dirty(std::uint32_t chunk) const {
  const std::size_t begin = first_task(chunk);
  const std::size_t end = std::min(begin + kTasksPerChunk, done_.size());
  for (std::size_t task = begin; task < end; ++task)
    if (done_[task] != persisted_[task]) return true;
  return false;
}

double Job::latest_start() const { return std::min(due - spec.estimate_s, since + kMaxWaitS); }

std::uint32_t Job::tasks_allowed_in_zone(int zone) const {
  if (only_zone) return *only_zone == zone ? spec.tasks : 0;
  if (spec.same_zone)
    for (std::size_t other = 0; other < in_zone.size(); ++other)
      if (static_cast<int>(other) != zone && placed_in(other)) return 0;
  if (!spec.anti_affinity) return spec.tasks;
  // At most half of the job's tasks, rounded up, run in one zone.
  const std::uint32_t most = (spec.tasks + 1) / 2;
  return most - std::min(most, placed_in(static_cast<std::size_t>(zone)));
}

}  // namespace shunttrail::jobs
