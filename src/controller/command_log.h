/// Log lines about the commands that a leader sends to workers, and about attempts that should not
/// exist.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "scheduler/shard_scheduler.h"
#include "wire/types.h"

namespace shunttrail::controller {

/// The message in which commands travel to a worker.
enum class CommandPath : std::uint8_t { heartbeat_response, direct };

/// Logs each command, its token and why it is sent, at the level `debug`.
void log_commands(const scheduler::ShardScheduler& scheduler, const std::string& machine,
                  CommandPath path, std::uint64_t token,
                  const std::vector<wire::Command>& commands);

/// Logs the attempts that a worker has listed as running although they have no placement
/// (ShardScheduler::take_unexpected), at the level `error`.
void log_unexpected_attempts(scheduler::ShardScheduler& scheduler);

}  // namespace shunttrail::controller
