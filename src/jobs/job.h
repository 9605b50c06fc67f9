/// @file
/// A job that is not over, as the leader of its shard sees it. Free of I/O. Times are seconds of
/// the steady clock unless they say otherwise.
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

/// Amounts of resources, kept as whole millionths: sums of decimals must not drift past a limit.
struct Resources {
  std::int64_t cpus = 0;
  std::int64_t gpus = 0;
  std::int64_t mem = 0;  ///< of a GB
  /// Converts amounts. An infinite one stands for no limit, and is more than any sum.
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
  /// Whether no amount is more than in `room`.
  [[nodiscard]] bool fits(const Resources& room) const {
    return cpus <= room.cpus && gpus <= room.gpus && mem <= room.mem;
  }
};

/// The tasks that are done are stored by chunks of this many tasks. The longest form of a chunk,
/// 128 intervals of 8 bytes, stays below 4 KiB. The largest job, of 100,000 tasks, has 391 chunks.
inline constexpr std::uint32_t kTasksPerChunk = 256;

/// Finished tasks by chunk, as StateCache::done tells them, as one flag for each of a job's tasks.
[[nodiscard]] std::vector<bool> done_tasks(const std::map<std::uint32_t, state::Intervals>& done,
                                           std::uint32_t tasks);

/// The job.
class Job {
 public:
  /// `zones`: their number in the settings; `wall_now`: the time of day in seconds.
  Job(const wire::JobRecord& record, int team_index, int class_index, int zones, double now,
      double wall_now);

  const wire::JobSpec spec;
  const int team;        ///< index in the settings
  const int job_class;   ///< dense index of its class
  const Resources need;  ///< of each task
  const double since;    ///< when it was submitted, or ready if that was later
  /// Its own priority, or that of a job that depends on it if that is higher.
  wire::Priority priority;
  /// By when it should be done, for its own sake or for that of jobs that depend on it. Its own
  /// deadline counts from its submission, however long it waited. Infinite: no deadline.
  double due;
  bool ended = false;  ///< cancelled or done: none of its tasks may start
  int image = -1;      ///< dense index of its image; -1: not assigned yet
  /// It fits into its team's guarantee together with the team's earlier unfinished jobs.
  bool within_guarantee = false;
  /// Its team belongs to another shard, whose leader has delegated tasks of it to this shard.
  bool is_foreign = false;

  /// The order of service, the first one lowest: urgent jobs, then those within a guarantee, then
  /// the rest by priority. A foreign job goes behind the shard's own urgent and guaranteed ones.
  [[nodiscard]] int priority_band() const {
    if (is_foreign) return static_cast<int>(std::max(priority, wire::Priority::standard)) + 1;
    if (priority <= wire::Priority::high) return static_cast<int>(priority);
    return within_guarantee ? kGuaranteed : static_cast<int>(priority) + 1;
  }
  /// The band of jobs within a guarantee.
  static constexpr int kGuaranteed = static_cast<int>(wire::Priority::high) + 1;
  /// By when its tasks should start. A job without a deadline, or with a far one, has a limit too,
  /// so that it is not passed over for ever.
  [[nodiscard]] double latest_start() const;

  /// Marks tasks of a chunk as done and stored; intervals are relative to the chunk.
  void load_done(std::uint32_t chunk, const state::Intervals& intervals);
  /// Marks a task as done; false: it was already, or there is no such task.
  bool mark_done(std::uint32_t task);
  /// The same for a result that the shard has yet to store.
  bool finish(std::uint32_t task, double now);
  [[nodiscard]] bool done(std::uint32_t task) const { return task < done_.size() && done_[task]; }
  /// Whether the state service holds that the task is done.
  [[nodiscard]] bool persisted(std::uint32_t task) const {
    return task < persisted_.size() && persisted_[task];
  }
  [[nodiscard]] std::uint32_t done_count() const { return done_count_; }
  /// Whether all tasks are done; a service never is.
  [[nodiscard]] bool complete() const { return !spec.service && done_count_ == spec.tasks; }
  /// Which tasks of a chunk are done.
  [[nodiscard]] std::vector<bool> chunk(std::uint32_t chunk) const;
  /// The state service holds that these tasks of a chunk are done.
  void set_persisted(std::uint32_t chunk, const std::vector<bool>& is_done);
  /// Whether tasks of a chunk are done that the state service does not hold.
  [[nodiscard]] bool dirty(std::uint32_t chunk) const;
  std::set<std::uint32_t> dirty_chunks;
  double dirty_since = 0;                  ///< of the oldest result that is not stored
  std::map<std::uint32_t, int> done_page;  ///< the placement page that holds each chunk
  std::uint32_t queued = 0;                ///< number of its tasks in machines' queues

  /// By task: how many placements may exist. There is at most one in each placement page of the
  /// shard, and many only where as many pages that hold earlier ones have not been written since:
  /// 16 bits hold more than a shard has pages (scheduler/placement_store.cpp).
  std::vector<std::uint16_t> placements;
  std::vector<std::uint32_t> in_zone;  ///< by zone: how many placements may exist
  std::uint32_t placed = 0;            ///< number of placements
  /// By zone: how many tasks may be placed by another shard; empty: none.
  std::vector<std::uint32_t> delegated_in_zone;
  /// Of a foreign job: the only zone in which this shard may place its tasks. Its team's shard
  /// counts them against what the job allows. Absent: any that the job allows.
  std::optional<int> only_zone;
  /// Tasks that have no placement, are in no queue and are not withheld.
  std::set<std::uint32_t> pending;
  /// Replaces the set of tasks that may not start in this shard, since another shard may run them;
  /// by task, empty: none. None of them may be in a queue. Tasks that were withheld and are not any
  /// more become pending.
  void withhold(std::vector<bool> tasks);
  [[nodiscard]] bool is_withheld(std::uint32_t task) const {
    return task < withheld_.size() && withheld_[task];
  }

  /// The tasks of a gang find one another by a common attempt, the round. It ends when none of its
  /// placements is left; until then a task that was in it cannot join it again.
  std::uint64_t gang_attempt = 0;
  /// Tasks that were in the round.
  std::set<std::uint32_t> gang_members;

  /// Machines on which its tasks failed. A job that fails everywhere waits longer and longer.
  std::set<std::string> failed_on;
  double not_before = 0;  ///< none of its tasks starts earlier
  double backoff_s = 0;   ///< the last wait

  /// Whether one more of its tasks may be placed in this zone beside the placements that may exist.
  [[nodiscard]] bool allows_zone(int zone) const { return tasks_allowed_in_zone(zone) > 0; }
  /// How many more.
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
