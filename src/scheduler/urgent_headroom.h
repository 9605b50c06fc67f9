// Urgent headroom: keeps a little of the shard's capacity free on machines that urgent jobs may
// use, so that an urgent job can start at once while the rest of the shard is full. Performs no
// I/O.
#pragma once
#include <cstdint>
#include <vector>

#include "scheduler/machines.h"
#include "scheduler/shard_context.h"

namespace shunttrail::scheduler {

/// Chooses the machines that keep capacity free, and how much (Machine::reserved).
class UrgentHeadroom {
 public:
  UrgentHeadroom(ShardContext& context, Machines& machines)
      : context_(context), machines_(machines) {}

  /// Chooses again if the last choice is old enough.
  void update(double now);

 private:
  using MachinesByZone = std::vector<std::vector<Machine*>>;

  /// Returns the largest urgent job that arrived recently; capacity for another job like it is kept
  /// free. Returns null if there is none.
  jobs::JobPtr largest_urgent_job(double now) const;
  /// Releases all reserved capacity. Returns the total vcpus (Resources::cpus) of the machines that
  /// accept work.
  std::int64_t release_all(double now);
  MachinesByZone suitable_machines(const jobs::Job& job, double now) const;
  jobs::Resources headroom(const Machine& machine, const jobs::Job& job,
                           std::int64_t remaining_cpus) const;

  ShardContext& context_;
  Machines& machines_;
  double updated_at_ = -1e9;  // steady time, seconds
};

}  // namespace shunttrail::scheduler
