/// Whether a job can ever run in this cluster.
#pragma once
#include "config/settings.h"
#include "scheduler/shard_scheduler.h"
#include "wire/types.h"

namespace shunttrail::controller {

enum class JobFeasibility {
  feasible,
  infeasible,  ///< No state of the cluster lets it run: beyond its team's or all machines' limits.
  unknown,     ///< The machine types have not been read yet.
};

/// Compares what the job asks for with its team's limits and with the machine types of the zones.
[[nodiscard]] JobFeasibility check_feasibility(const wire::JobSpec& job,
                                               const config::Settings& settings,
                                               const scheduler::MachineCatalogue& catalogue);

}  // namespace shunttrail::controller
