// A live job as its shard's owner sees it. Free of I/O.
#pragma once
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "state/state_cache.h"
#include "wire/types.h"

namespace shunttrail::jobs {

// Amounts are kept whole, in millionths: sums of decimals must not drift past a limit.
struct Resources {
  std::int64_t cpus = 0, gpus = 0, mem = 0;
  // An infinite one stands for no limit, and is more than any sum.
  static Resources of(double cpus, double gpus, double mem_gb);
  Resources& operator+=(const Resources& o) {
    cpus += o.cpus, gpus += o.gpus, mem += o.mem;
    return *this;
  }
  Resources& operator-=(const Resources& o) {
    cpus -= o.cpus, gpus -= o.gpus, mem -= o.mem;
    return *this;
  }
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  bool fits(const Resources& room) const {
    return cpus <= room.cpus && gpus <= room.gpus && mem <= room.mem;
  }
};

// Tasks of one chunk of a job's finished set; a chunk's worst case, 128 intervals of 8 bytes, stays
// below 4 KiB. The largest job, of 100,000 tasks, has 391 chunks.
inline constexpr std::uint32_t kTasksPerChunk = 256;

class Job {
 public:
  Job(const wire::JobRecord& r, int team, int cls, int zones, double now, double wall_now);

  const wire::JobSpec spec;
  const int team;
  const int job_class;
  const Resources need;
  const double since;  // steady time of its submission, or of when it was ready
  // Its own, or that of a job that needs it.
  wire::Priority priority;
  // Steady time by which it should be done, for its own sake or theirs: its own deadline counts
  // from its submission, however long it waited.
  double due;
  bool over = false;  // cancelled or final: none of its tasks may start
  int image = -1;     // dense index of its image
  // It fits into its team's guarantee together with the team's earlier unfinished jobs.
  bool within_guarantee = false;
  // Order of service: urgent work, then what is guaranteed, then the rest by priority.
  int priority_band() const {
    if (priority <= wire::Priority::high) return static_cast<int>(priority);
    return within_guarantee ? kGuaranteed : static_cast<int>(priority) + 1;
  }
  static constexpr int kGuaranteed = static_cast<int>(wire::Priority::high) + 1;
  // Steady time by which its tasks should start: what has no deadline, or a far one, is not passed
  // over for longer than a patience.
  double latest_start() const;

  void load_done(std::uint32_t chunk, const state::Intervals& list);  // as persisted
  bool mark_done(std::uint32_t task);                                 // false if known already
  bool done(std::uint32_t task) const { return task < done_.size() && done_[task]; }
  bool persisted(std::uint32_t task) const { return task < persisted_.size() && persisted_[task]; }
  std::uint32_t done_count() const { return done_count_; }
  bool complete() const { return !spec.service && done_count_ == spec.tasks; }
  std::vector<bool> chunk(std::uint32_t c) const;
  void set_persisted(std::uint32_t c, const std::vector<bool>& bits);
  bool dirty(std::uint32_t c) const;
  std::set<std::uint32_t> dirty_chunks;
  double dirty_since = 0;                  // of the oldest result that is not persisted
  std::map<std::uint32_t, int> done_page;  // where each chunk was written last
  std::uint32_t queued = 0;                // of its tasks, on machines' waiting lists

  // Placements that may exist, by task and by zone. A task has one at the most in each placement
  // page of its shard, and many only where as many placement pages that hold earlier ones have not
  // been written since: 16 bits hold more than a shard has placement pages (fleet/placement
  // pages.cpp).
  std::vector<std::uint16_t> placements;
  std::vector<std::uint32_t> in_zone;
  std::uint32_t placed = 0;
  // Tasks with no placement and not in the chain.
  std::set<std::uint32_t> pending;

  // A gang's tasks find one another by a common attempt. A round ends when none of its placements
  // is left; until then a task that was in it cannot join it again.
  std::uint64_t round = 0;
  std::set<std::uint32_t> in_round;

  // Failures: a job that fails everywhere waits longer and longer.
  std::set<std::string> failed_on;
  double not_before = 0, backoff_s = 0;

  // May one more of its tasks be placed in this zone, given its other tasks at this moment?
  bool zone_ok(int zone) const;

 private:
  std::vector<bool> done_, persisted_;
  std::uint32_t done_count_ = 0;
};
using JobPtr = std::shared_ptr<Job>;

}  // namespace shunttrail::jobs
