/// Feasibility: whether a job can ever run in this cluster.
#pragma once
#include "config/settings.h"
#include "scheduler/shard_scheduler.h"
#include "wire/types.h"

namespace shunttrail::controller {

enum class JobFeasibility {
  feasible,
  /// The job can never run: it exceeds its team's limits or those of every machine type.
  infeasible,
  unknown,  ///< The machine types have not been read yet.
};

/// Compares the job's resource requests with its team's limits and with the machine types in the
/// zones.
[[nodiscard]] JobFeasibility check_feasibility(const wire::JobSpec& job,
                                               const config::Settings& settings,
                                               const scheduler::MachineCatalogue& catalogue);

}  // namespace shunttrail::controller
