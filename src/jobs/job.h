/// @file
/// An unfinished job, as the leader of its shard sees it. Free of I/O. Times are seconds of the
/// steady clock unless stated otherwise.
#pragma once
#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "state/state_cache.h"
#include "wire/types.h"

namespace shunttrail::jobs {

/// Amounts of resources in integer millionths, since sums of floating-point numbers drift past
/// limits.
struct Resources {
  std::int64_t cpus = 0;
  std::int64_t gpus = 0;
  std::int64_t mem = 0;  ///< in millionths of a GB
  /// Converts amounts. An infinite amount means no limit, and is greater than any sum of real
  /// amounts.
  [[nodiscard]] static Resources of(double cpus, double gpus, double mem_gb);
  Resources& operator+=(const Resources& other) {
    cpus += other.cpus;
    gpus += other.gpus;
    mem += other.mem;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpus -= other.cpus;
    gpus -= other.gpus;
    mem -= other.mem;
    return *this;
  }
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  /// Returns whether each amount is at most the corresponding amount in `available`.
  [[nodiscard]] bool fits(const Resources& available) const {
    return cpus <= available.cpus && gpus <= available.gpus && mem <= available.mem;
  }
};

/// The set of done tasks is stored in chunks of this many tasks. The longest encoding of a chunk,
/// 128 intervals of 8 bytes, stays below 4 KiB. The largest job, of 100,000 tasks, has 391 chunks.
inline constexpr std::uint32_t kTasksPerChunk = 256;

/// Converts finished tasks by chunk, in the form of StateCache::done, to one flag for each task.
[[nodiscard]] std::vector<bool> done_tasks(const std::map<std::uint32_t, state::Intervals>& done,
                                           std::uint32_t tasks);

/// A job and the state of its tasks.
class Job {
 public:
  /// `zones` is the number of zones in the settings; `wall_now` is the time of day in seconds.
  Job(const wire::JobRecord& record, int team_index, int class_index, int zones, double now,
      double wall_now);

  const wire::JobSpec spec;
  const int team;        ///< index of the team in the settings
  const int job_class;   ///< dense index of the job's class
  const Resources need;  ///< the resources of each task
  const double since;    ///< when the job was submitted, or became ready if that was later
  /// The job's own priority, or that of a dependent job if it is higher.
  wire::Priority priority;
  /// When the job should be done for its own deadline and those of its dependent jobs. Its own
  /// deadline counts from its submission, including the time it waited. Infinite: no deadline.
  double due;
  bool ended = false;  ///< the job was cancelled or is done: none of its tasks may start
  int image = -1;      ///< dense index of the job's image; -1: not assigned yet
  /// The job fits into its team's guarantee together with the team's earlier unfinished jobs.
  bool within_guarantee = false;
  /// The job's team belongs to another shard, whose leader has delegated tasks of the job to this
  /// one.
  bool is_foreign = false;

  /// Returns the job's rank in the scheduling order; the lowest value is scheduled first: urgent
  /// jobs, then jobs within a guarantee, then the rest by priority. A foreign job ranks behind the
  /// shard's own urgent and guaranteed jobs.
  [[nodiscard]] int priority_band() const {
    if (is_foreign) return static_cast<int>(std::max(priority, wire::Priority::standard)) + 1;
    if (priority <= wire::Priority::high) return static_cast<int>(priority);
    return within_guarantee ? kGuaranteed : static_cast<int>(priority) + 1;
  }
  /// The priority band of jobs within a guarantee.
  static constexpr int kGuaranteed = static_cast<int>(wire::Priority::high) + 1;
  /// Returns when the job's tasks should start. A job without a deadline, or with a distant one,
  /// also has such a time, so that it cannot starve.
  [[nodiscard]] double latest_start() const;

  /// Marks tasks of a chunk as done and persisted. The intervals are relative to the chunk's start.
  void load_done(std::uint32_t chunk, const state::Intervals& intervals);
  /// Marks a task as done. Returns false if it already was done or does not exist.
  bool mark_done(std::uint32_t task);
  /// Marks a task as done by a result that is not stored yet. Returns the same as mark_done().
  bool finish(std::uint32_t task, double now);
  [[nodiscard]] bool done(std::uint32_t task) const { return task < done_.size() && done_[task]; }
  /// Returns whether the state service records the task as done.
  [[nodiscard]] bool persisted(std::uint32_t task) const {
    return task < persisted_.size() && persisted_[task];
  }
  [[nodiscard]] std::uint32_t done_count() const { return done_count_; }
  /// Returns whether all tasks are done; always false for a service.
  [[nodiscard]] bool complete() const { return !spec.service && done_count_ == spec.tasks; }
  /// Returns a flag for each task of a chunk: true if the task is done.
  [[nodiscard]] std::vector<bool> chunk(std::uint32_t chunk) const;
  /// Records that the state service holds these tasks of a chunk as done.
  void set_persisted(std::uint32_t chunk, const std::vector<bool>& is_done);
  /// Returns whether a chunk has done tasks that the state service does not record yet.
  [[nodiscard]] bool dirty(std::uint32_t chunk) const;
  std::set<std::uint32_t> dirty_chunks;
  double dirty_since = 0;                  ///< when the oldest result that is not stored arrived
  std::map<std::uint32_t, int> done_page;  ///< by chunk: the placement page that holds it
  std::uint32_t queued = 0;                ///< number of the job's tasks in machines' queues

  /// By task: how many placements may exist. A placement page holds at most one placement of a
  /// task, so a task has more than one only while several pages with earlier placements have not
  /// been rewritten. 16 bits exceed a shard's number of pages (scheduler/placement_store.cpp).
  std::vector<std::uint16_t> placements;
  std::vector<std::uint32_t> in_zone;  ///< by zone: how many placements may exist
  std::uint32_t placed = 0;            ///< number of placements that may exist, of all tasks
  /// By zone: how many tasks another shard may place there; empty if none.
  std::vector<std::uint32_t> delegated_in_zone;
  /// For a foreign job: the only zone in which this shard may place its tasks. The shard of the
  /// job's team counts them against the job's zone limits. Absent: any zone that the job allows.
  std::optional<int> only_zone;
  /// Tasks without a placement that are neither in a queue nor withheld.
  std::set<std::uint32_t> pending;
  /// Replaces the set of withheld tasks: those that this shard must not start because another shard
  /// may run them. `tasks` has a flag for each task, or is empty if none is withheld. No withheld
  /// task may be in a queue. Tasks that are no longer withheld become pending.
  void withhold(std::vector<bool> tasks);
  [[nodiscard]] bool is_withheld(std::uint32_t task) const {
    return task < withheld_.size() && withheld_[task];
  }

  /// The attempt number that all tasks of a gang share, by which they find one another. 0: none.
  /// The attempt ends when it has no placement left; until then, a task that was in it cannot
  /// rejoin it.
  std::uint64_t gang_attempt = 0;
  /// Tasks that have been part of the gang's current attempt.
  std::set<std::uint32_t> gang_members;

  /// Machines on which tasks of the job failed. A job that fails on every machine backs off further
  /// after each failure.
  std::set<std::string> failed_on;
  double not_before = 0;  ///< no task of the job starts before this time
  double backoff_s = 0;   ///< the last backoff

  /// Returns whether one more task may be placed in this zone beside the placements that may exist.
  [[nodiscard]] bool allows_zone(int zone) const { return tasks_allowed_in_zone(zone) > 0; }
  /// Returns how many more tasks of the job may be placed in this zone.
  [[nodiscard]] std::uint32_t tasks_allowed_in_zone(int zone) const;

 private:
  std::vector<bool> done_;       ///< by task
  std::vector<bool> persisted_;  ///< by task
  std::vector<bool> withheld_;   ///< by task; empty: none
  [[nodiscard]] std::uint32_t placed_in(std::size_t zone) const {
    return in_zone[zone] + (zone < delegated_in_zone.size() ? delegated_in_zone[zone] : 0);
  }
  std::uint32_t done_count_ = 0;
};
using JobPtr = std::shared_ptr<Job>;

}  // namespace shunttrail::jobs
