#include "jobs/job.h"

#include <algorithm>
#include <cmath>

namespace shunttrail::jobs {

Resources Resources::of(double cpus, double gpus, double mem_gb) {
  static constexpr double kMost =
      1e18;  // what is not limited; sums of it and real amounts still fit
  auto whole = [](double d) {
    return static_cast<std::int64_t>(std::llround(std::min(d * 1e6, kMost)));
  };
  return {whole(cpus), whole(gpus), whole(mem_gb)};
}

Job::Job(const wire::JobRecord& r, int t, int c, int zones, double now, double wall_now)
    : spec(r.spec),
      team(t),
      job_class(c),
      need(Resources::of(r.spec.cpus, r.spec.gpus, r.spec.mem_gb)),
      since(now - std::max(0.0, wall_now - std::max(r.submitted_at, r.ready_at))),
      priority(r.spec.priority),
      due(r.spec.deadline_s ? now - (wall_now - r.submitted_at) + *r.spec.deadline_s
                            : std::numeric_limits<double>::infinity()),
      placements(r.spec.tasks, 0),
      in_zone(zones, 0),
      done_(r.spec.tasks, false),
      persisted_(r.spec.tasks, false) {
  for (std::uint32_t i = 0; i < spec.tasks; ++i) pending.insert(pending.end(), i);
}

void Job::load_done(std::uint32_t c, const state::Intervals& list) {
  for (auto [a, b] : list)
    for (std::uint64_t i = a; i <= b; ++i) {
      std::uint64_t task = std::uint64_t{c} * kTasksPerChunk + i;
      if (task >= spec.tasks) break;
      persisted_[task] = true;
      mark_done(static_cast<std::uint32_t>(task));
    }
  if (!dirty(c)) dirty_chunks.erase(c);
}
bool Job::mark_done(std::uint32_t task) {
  if (task >= spec.tasks || done_[task]) return false;
  done_[task] = true;
  ++done_count_;
  pending.erase(task);
  dirty_chunks.insert(task / kTasksPerChunk);
  return true;
}
std::vector<bool> Job::chunk(std::uint32_t c) const {
  std::size_t from = std::min<std::size_t>(std::size_t{c} * kTasksPerChunk, done_.size());
  std::size_t to = std::min<std::size_t>(from + kTasksPerChunk, done_.size());
  return {done_.begin() + static_cast<long>(from), done_.begin() + static_cast<long>(to)};
}
void Job::set_persisted(std::uint32_t c, const std::vector<bool>& bits) {
  for (std::size_t i = 0; i < bits.size(); ++i)
    if (bits[i]) persisted_[std::size_t{c} * kTasksPerChunk + i] = true;
  if (!dirty(c)) dirty_chunks.erase(c);
}
bool Job::dirty(std::uint32_t c) const {
  std::size_t from = std::size_t{c} * kTasksPerChunk;
  for (std::size_t i = from; i < std::min<std::size_t>(from + kTasksPerChunk, done_.size()); ++i)
    if (done_[i] != persisted_[i]) return true;
  return false;
}

double Job::latest_start() const {
  constexpr double kPatience = 120;
  return std::min(due - spec.estimate_s, since + kPatience);
}

bool Job::zone_ok(int zone) const {
  if (spec.same_zone)
    for (std::size_t z = 0; z < in_zone.size(); ++z)
      if (static_cast<int>(z) != zone && in_zone[z]) return false;
  if (spec.anti_affinity && in_zone[zone] + 1 > (spec.tasks + 1) / 2) return false;
  return true;
}

}  // namespace shunttrail::jobs
