// Urgent headroom: keeps a little of the shard's room free, on machines that urgent jobs may use,
// so that one can start at once while everything else is full. Free of I/O.
#pragma once
#include <cstdint>
#include <vector>

#include "scheduler/machines.h"
#include "scheduler/shard_context.h"

namespace shunttrail::scheduler {

/// Chooses the machines that keep room, and how much (Machine::reserved).
class UrgentHeadroom {
 public:
  UrgentHeadroom(ShardContext& context, Machines& machines)
      : context_(context), machines_(machines) {}

  /// Chooses anew, if the last choice is some time ago.
  void update(double now);

 private:
  using MachinesByZone = std::vector<std::vector<Machine*>>;

  /// The largest urgent job of late: room is kept for another one like it. Null: none is kept.
  jobs::JobPtr largest_urgent_job(double now) const;
  /// Frees all kept room. Returns the vcpus (Resources::cpus) of the machines that accept work.
  std::int64_t release_all(double now);
  MachinesByZone suitable_machines(const jobs::Job& job, double now) const;
  jobs::Resources headroom(const Machine& machine, const jobs::Job& job,
                           std::int64_t remaining_cpus) const;

  ShardContext& context_;
  Machines& machines_;
  double updated_at_ = -1e9;  // steady time, seconds
};

}  // namespace shunttrail::scheduler
