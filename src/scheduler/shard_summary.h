// A shard's figures for the log and for operators, as JSON.
#pragma once
#include <string>

#include "scheduler/delegation_planner.h"
#include "scheduler/machines.h"
#include "scheduler/shard_context.h"

namespace shunttrail::scheduler {

/// Counts the shard's machines, placements and jobs, and returns the figures as a JSON object. Its
/// names are listed in docs/architecture.md.
[[nodiscard]] std::string shard_summary(const ShardContext& context, const Machines& machines,
                                        const UndelegatedTasks& waiting,
                                        const TokenPolicy& token_policy);

}  // namespace shunttrail::scheduler
