// What the parts of a scheduler share: settings, the shard's jobs, counters, and the note that
// there is something to do.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "config/settings.h"
#include "jobs/job.h"
#include "scheduler/machine_catalogue.h"

namespace shunttrail::scheduler {

struct Counters {
  std::uint64_t heartbeats = 0, stale_heartbeats = 0, starts = 0, direct = 0, dones = 0, errors = 0,
                lost = 0, rents = 0, transferred = 0, preempted = 0, refused = 0, returns = 0,
                replaced = 0, consolidated = 0, commits = 0, commit_failures = 0;
};

struct ShardContext {
  const config::Settings& settings;
  const config::Tuning& tuning;
  const MachineCatalogue& catalogue;
  const int shard;
  std::map<std::string, jobs::JobPtr> jobs{};
  std::vector<double> image_gb{};  // by the images' dense index
  Counters counters{};
  bool scheduling_due = true;

  // A task without a placement is to enter the chain again.
  void requeue(const jobs::JobPtr& j, std::uint32_t task) {
    if (j->over || j->done(task) || task >= j->spec.tasks) return;
    if (j->placements[task] == 0) j->pending.insert(task);
    scheduling_due = true;
  }
};

}  // namespace shunttrail::scheduler
