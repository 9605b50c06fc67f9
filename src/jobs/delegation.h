/// @file
/// Derives from the stored state which tasks of a delegated job another shard may run, now or
/// later, and how much of their team's limit these tasks use (docs/delegation.md). Free of I/O.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "config/settings.h"
#include "jobs/job.h"
#include "state/state_cache.h"

namespace shunttrail::jobs {

/// Returns whether the active schema version includes delegation and every registered node's build
/// supports it.
[[nodiscard]] bool delegation_enabled(const state::StateCache& cache);

/// Returns whether the zones of the job's placed tasks restrict the zones of its other tasks. All
/// delegated tasks of such a job go to one zone, unless it is a gang, which is delegated as a
/// whole.
[[nodiscard]] bool has_zone_rules(const wire::JobSpec& spec);

/// Returns whether this cache has read the closing of the job's delegation and every commit before
/// it. From then on, only tasks with a placement in the other shard's pages can run there.
[[nodiscard]] bool is_closing_read(const state::StateCache& cache, const state::JobEntry& job);

/// Returns a flag for each task: true if the shard that the job is delegated to may run the task,
/// now or later, so that the job's own shard must not. The job must have a delegation.
[[nodiscard]] std::vector<bool> tasks_held_by_delegate(const state::StateCache& cache,
                                                       const state::JobEntry& job);

/// Returns a flag for each task: true if `shard` must not start the task. `team_shard` is the shard
/// that manages the job's team. An empty result means that no task is withheld.
[[nodiscard]] std::vector<bool> withheld_tasks(const state::StateCache& cache,
                                               const state::JobEntry& job, int shard,
                                               int team_shard);

/// Returns, for each team of this shard, the resources that its tasks use or may come to use on
/// machines of other shards.
[[nodiscard]] std::vector<Resources> delegated_use(const state::StateCache& cache,
                                                   const config::Settings& settings, int shard);

}  // namespace shunttrail::jobs
