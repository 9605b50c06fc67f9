/// @file
/// What stored state says about delegated tasks: which of a job's tasks another shard may run, now
/// or later, and what they take of their team's limit (docs/delegation.md). Free of I/O.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "config/settings.h"
#include "jobs/job.h"
#include "state/state_cache.h"

namespace shunttrail::jobs {

/// Whether the active level has delegations, and every node that is alive knows them.
[[nodiscard]] bool delegation_enabled(const state::StateCache& cache);

/// Whether the places of some of the job's tasks decide where the others may run. Unless they are a
/// gang, which is delegated as a whole, its tasks are delegated into one zone.
[[nodiscard]] bool has_zone_rules(const wire::JobSpec& spec);

/// The closing of the job's delegation, and everything that was committed before it, has been
/// read: the tasks that stand in the other shard's pages are all that may run there.
[[nodiscard]] bool is_closing_read(const state::StateCache& cache, const state::JobEntry& job);

/// By task: the shard that the job is delegated to may run it, now or later, so its own shard must
/// not. The job has to have a delegation.
[[nodiscard]] std::vector<bool> tasks_held_by_delegate(const state::StateCache& cache,
                                                       const state::JobEntry& job);

/// By task: the shard must not start it. `team_shard`: the shard of the job's team.
[[nodiscard]] std::vector<bool> withheld_tasks(const state::StateCache& cache,
                                               const state::JobEntry& job, int shard,
                                               int team_shard);

/// By team of this shard: what its tasks take, or may come to take, on machines of other shards.
[[nodiscard]] std::vector<Resources> delegated_use(const state::StateCache& cache,
                                                   const config::Settings& settings, int shard);

}  // namespace shunttrail::jobs
