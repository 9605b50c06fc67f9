#include "controller/command_log.h"

#include <spdlog/spdlog.h>

namespace shunttrail::controller {
namespace {

const char* name_of(wire::Command::Op op) {
  switch (op) {
    case wire::Command::Op::start:
      return "start";
    case wire::Command::Op::stop:
      return "stop";
    case wire::Command::Op::acknowledge:
      return "acknowledge";
  }
  return "unknown command";
}

const char* name_of(CommandPath path) {
  return path == CommandPath::direct ? "directly" : "in the response to a heartbeat";
}

}  // namespace

void log_commands(const scheduler::ShardScheduler& scheduler, const std::string& machine,
                  CommandPath path, std::uint64_t token,
                  const std::vector<wire::Command>& commands) {
  if (!spdlog::should_log(spdlog::level::debug)) return;
  for (const wire::Command& command : commands)
    spdlog::debug("shard {}: {} {}/{} attempt {}, to machine {} {} under token {}: {}",
                  scheduler.shard(), name_of(command.op), command.task.job, command.task.index,
                  command.attempt, machine, name_of(path), token,
                  scheduler.reason_for(machine, command));
}

void log_unexpected_attempts(scheduler::ShardScheduler& scheduler) {
  for (const scheduler::UnexpectedAttempt& unexpected : scheduler.take_unexpected())
    spdlog::error(
        "shard {}: machine {} lists attempt {} of task {}/{}, which has no placement there under "
        "token {}: it is stopped",
        scheduler.shard(), unexpected.machine, unexpected.status.attempt,
        unexpected.status.task.job, unexpected.status.task.index, scheduler.token());
}

}  // namespace shunttrail::controller
