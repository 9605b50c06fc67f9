#include "scheduler/shard_summary.h"

#include <nlohmann/json.hpp>

namespace shunttrail::scheduler {

using nlohmann::json;
using wire::TaskState;

namespace {
constexpr double kMicroCpusPerCpu = 1e6;

struct MachineCounts {
  std::size_t ordered = 0, booting = 0, up = 0, idle = 0;
  double capacity = 0, used = 0;  // vcpus of machines that are up
};

struct TaskCounts {
  std::size_t placed = 0, queued = 0, pending = 0;
  std::size_t unfenced = 0;  // attempts that are over and await a higher token
  // The placements by how far they have got.
  std::size_t planned = 0, unsent = 0, unseen = 0, fetching = 0, running = 0, over = 0;
};

void count(const Machine& machine, const MachineCatalogue& catalogue, MachineCounts& counts) {
  if (machine.state == Machine::ordered)
    ++counts.ordered;
  else if (machine.state == Machine::booting)
    ++counts.booting;
  else
    ++counts.up;
  if (machine.was_idle) ++counts.idle;
  if (machine.state != Machine::up || machine.type < 0) return;
  const auto& type = catalogue.types[static_cast<std::size_t>(machine.type)];
  counts.capacity += static_cast<double>(type.capacity.cpus) / kMicroCpusPerCpu;
  counts.used += static_cast<double>(machine.tasks.used.cpus) / kMicroCpusPerCpu;
}

void count(const Placement& placement, TaskCounts& counts) {
  ++counts.placed;
  if (placement.released)
    ++counts.over;
  else if (placement.phase != Phase::committed)
    ++counts.planned;
  else if (placement.seen)
    ++(placement.state == TaskState::fetching ? counts.fetching : counts.running);
  else
    ++(placement.sent ? counts.unseen : counts.unsent);
}

json machines_json(const MachineCounts& counts) {
  return {{"ordered", counts.ordered}, {"booting", counts.booting},   {"up", counts.up},
          {"idle", counts.idle},       {"capacity", counts.capacity}, {"used", counts.used}};
}

json tasks_json(const TaskCounts& counts) {
  return {{"placed", counts.placed},  {"planned", counts.planned},   {"unsent", counts.unsent},
          {"unseen", counts.unseen},  {"fetching", counts.fetching}, {"running", counts.running},
          {"over", counts.over},      {"unfenced", counts.unfenced}, {"waiting", counts.queued},
          {"pending", counts.pending}};
}

json counters_json(const Counters& counters) {
  return {{"starts", counters.starts},
          {"direct", counters.direct},
          {"dones", counters.dones},
          {"errors", counters.errors},
          {"lost", counters.lost},
          {"unexpected_attempts", counters.unexpected},
          {"token_advances", counters.token_advances},
          {"rents", counters.rents},
          {"given", counters.transferred},
          {"preempted", counters.preempted},
          {"refused", counters.refused},
          {"returns", counters.returns},
          {"replaced", counters.replaced},
          {"emptied", counters.consolidated},
          {"delegated", counters.delegated},
          {"commits", counters.commits},
          {"commit_failures", counters.commit_failures}};
}

// Returns the number of tasks of other shards' teams that this shard runs or has yet to place.
std::size_t foreign_tasks(const ShardContext& context) {
  std::size_t tasks = 0;
  for (const auto& [id, job] : context.jobs)
    if (job->is_foreign) tasks += job->placed + job->queued + job->pending.size();
  return tasks;
}

json waiting_json(const UndelegatedTasks& waiting) {
  return {{"beside_not_yet", waiting.not_yet},         {"beside_quota", waiting.quota},
          {"beside_in_progress", waiting.in_progress}, {"beside_gang", waiting.gang},
          {"beside_disabled", waiting.disabled},       {"beside_longest_s", waiting.longest_s}};
}
}  // namespace

std::string shard_summary(const ShardContext& context, const Machines& machines,
                          const UndelegatedTasks& waiting, const TokenPolicy& token_policy) {
  MachineCounts machine_counts;
  TaskCounts task_counts;
  for (const auto& [number, machine] : machines.all()) {
    count(*machine, context.catalogue, machine_counts);
    for (const Placement& placement : machine->tasks.placements) count(placement, task_counts);
    task_counts.unfenced += token_policy.unfenced_attempts(*machine);
    task_counts.queued += machine->queue.tasks.size();
  }
  for (const auto& [id, job] : context.jobs) task_counts.pending += job->pending.size();
  json summary{{"shard", context.shard},
               {"token", token_policy.token()},
               {"jobs", context.jobs.size()},
               {"k", machines.idle_waits()},
               {"foreign", foreign_tasks(context)}};
  summary.update(waiting_json(waiting));
  summary.update(machines_json(machine_counts));
  summary.update(tasks_json(task_counts));
  summary.update(counters_json(context.counters));
  return summary.dump();
}

}  // namespace shunttrail::scheduler
