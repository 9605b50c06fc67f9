// What the parts of a desk share: settings, the shard's jobs, counters, and the note that there is
// something to do.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "config/settings.h"
#include "scheduler/machine_catalogue.h"
#include "jobs/job.h"

namespace shunt::fleet {

struct Counters {
  std::uint64_t reports = 0, stale_reports = 0, starts = 0, direct = 0, dones = 0, errors = 0,
                lost = 0, rents = 0, given = 0, preempted = 0, refused = 0, returns = 0,
                replaced = 0, emptied = 0, commits = 0, commit_failures = 0;
};

struct Common {
  const config::Settings& settings;
  const config::Tuning& tuning;
  const Catalogue& catalogue;
  const int shard;
  std::map<std::string, jobs::JobPtr> jobs{};
  std::vector<double> image_gb{};  // by the images' dense index
  Counters count{};
  bool stirred = true;

  // A task without a placement is to enter the chain again.
  void requeue(const jobs::JobPtr& j, std::uint32_t task) {
    if (j->gone || j->done(task) || task >= j->spec.tasks) return;
    if (j->places[task] == 0) j->pending.insert(task);
    stirred = true;
  }
};

}  // namespace shunt::fleet
