// State that the parts of a shard's scheduler share: settings, the shard's jobs, counters, and
// whether a scheduling pass is due.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "config/settings.h"
#include "jobs/job.h"
#include "scheduler/machine_catalogue.h"

namespace shunttrail::scheduler {

/// Numbers of events since the scheduler was created.
struct Counters {
  std::uint64_t heartbeats = 0;        // heartbeats newer than all before them
  std::uint64_t stale_heartbeats = 0;  // heartbeats that arrived after a newer one
  std::uint64_t starts = 0;            // start commands sent
  std::uint64_t direct = 0;            // start commands sent as direct commands
  std::uint64_t dones = 0;             // tasks that completed
  std::uint64_t errors = 0;            // tasks that failed
  std::uint64_t lost = 0;              // placements that ended without a report
  std::uint64_t unexpected = 0;        // attempts listed as running without a placement
  std::uint64_t token_advances = 0;    // tokens obtained after the first
  std::uint64_t rents = 0;             // machines rented
  std::uint64_t transferred = 0;       // machines transferred to another shard
  std::uint64_t preempted = 0;         // placements preempted
  std::uint64_t refused = 0;           // machines that the cloud refused to rent out
  std::uint64_t returns = 0;           // machines returned after they had been idle
  std::uint64_t replaced = 0;          // machines given up on
  std::uint64_t consolidated = 0;      // machines emptied by moving their replicas
  std::uint64_t delegated = 0;         // tasks delegated to other shards
  std::uint64_t commits = 0;           // transactions begun
  std::uint64_t commit_failures = 0;
};

/// The shared state of one shard's scheduler, which owns it.
struct ShardContext {
  const config::Settings& settings;
  const config::Tuning& tuning;
  const MachineCatalogue& catalogue;
  const int shard;
  /// The shard's jobs that have not ended, by id.
  std::map<std::string, jobs::JobPtr> jobs{};
  /// Sizes of the images in GB, by the image's dense index.
  std::vector<double> image_gb{};
  Counters counters{};
  /// A placement of a foreign job was released since PlacementStore last checked its pages for
  /// released ones.
  bool foreign_released = false;
  /// Since the last scheduling pass an event has occurred that may allow a task to be placed.
  bool scheduling_due = true;

  /// Makes a task pending again, so that it enters the chain, unless it is done, withheld or still
  /// has a placement, or its job has ended.
  void requeue(const jobs::JobPtr& job, std::uint32_t task) {
    if (job->ended || job->done(task) || task >= job->spec.tasks) return;
    if (job->placements[task] == 0 && !job->is_withheld(task)) job->pending.insert(task);
    scheduling_due = true;
  }
};

}  // namespace shunttrail::scheduler
