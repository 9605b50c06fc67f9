// What the parts of a shard's scheduler share: settings, the shard's jobs, counters, and whether
// there is something to schedule.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "config/settings.h"
#include "jobs/job.h"
#include "scheduler/machine_catalogue.h"

namespace shunttrail::scheduler {

/// Events since the scheduler was opened.
struct Counters {
  std::uint64_t heartbeats = 0;
  std::uint64_t stale_heartbeats = 0;  // overtaken by newer ones
  std::uint64_t starts = 0;            // start commands sent
  std::uint64_t direct = 0;            // of those, sent directly
  std::uint64_t dones = 0;             // tasks found done
  std::uint64_t errors = 0;            // tasks that failed
  std::uint64_t lost = 0;              // placements that ended without a report
  std::uint64_t rents = 0;             // machines rented
  std::uint64_t transferred = 0;       // machines that went to another shard
  std::uint64_t preempted = 0;         // placements stopped for the sake of others
  std::uint64_t refused = 0;           // machines that the cloud did not rent out
  std::uint64_t returns = 0;           // machines returned since they were idle
  std::uint64_t replaced = 0;          // machines given up on
  std::uint64_t consolidated = 0;      // machines drained of their replicas
  std::uint64_t delegated = 0;         // tasks delegated to other shards
  std::uint64_t commits = 0;           // transactions begun
  std::uint64_t commit_failures = 0;
};

/// One for each shard's scheduler, which owns it.
struct ShardContext {
  const config::Settings& settings;
  const config::Tuning& tuning;
  const MachineCatalogue& catalogue;
  const int shard;
  /// By id: the shard's jobs that are not over.
  std::map<std::string, jobs::JobPtr> jobs{};
  /// Size in GB by the images' dense index.
  std::vector<double> image_gb{};
  Counters counters{};
  /// A placement of a foreign job was released since PlacementStore last looked for such.
  bool foreign_released = false;
  /// Something became possible since the last scheduling pass.
  bool scheduling_due = true;

  /// A task without a placement is to enter the chain again.
  void requeue(const jobs::JobPtr& job, std::uint32_t task) {
    if (job->ended || job->done(task) || task >= job->spec.tasks) return;
    if (job->placements[task] == 0 && !job->is_withheld(task)) job->pending.insert(task);
    scheduling_due = true;
  }
};

}  // namespace shunttrail::scheduler
