#include "scheduler/placements.h"

#include <algorithm>

namespace shunttrail::scheduler {

using jobs::Job;
using jobs::JobPtr;

namespace {
/// Added to a lease, in seconds, before a machine's silence proves that its tasks have stopped.
constexpr double kLeaseMarginS = 2;
}  // namespace

Placements::Placements(ShardContext& context, Machines& machines, const TokenPolicy& token_policy,
                       double now)
    : context_(context),
      machines_(machines),
      token_policy_(token_policy),
      last_attempt_(first_attempt(token_policy.token())),
      opened_at_(now),
      used_(context.settings.teams.size()) {}

void Placements::token_advanced() { last_attempt_ = first_attempt(token_policy_.token()); }

Placement* Placements::find(const PersistedPlacement& persisted) {
  Machine* machine = machines_.at(persisted.machine);
  if (!machine) return nullptr;
  for (Placement& placement : machine->tasks.placements)
    if (placement.attempt == persisted.attempt && placement.task == persisted.task &&
        placement.job == persisted.job)
      return &placement;
  return nullptr;
}

// ---- resources of placements

void Placements::reserve_capacity(Machine& machine, const Placement& placement) {
  Job& job = *placement.job;
  machine.tasks.used += job.need;
  if (job.team >= 0) used_[static_cast<std::size_t>(job.team)] += job.need;
  if (placement.task < job.placements.size()) ++job.placements[placement.task];
  if (machine.zone >= 0) ++job.in_zone[static_cast<std::size_t>(machine.zone)];
  ++job.placed;
  job.pending.erase(placement.task);
}

void Placements::release_without_requeue(Machine& machine, Placement& placement, double now) {
  if (placement.released) return;
  Job& job = *placement.job;
  placement.released = true;
  machine.tasks.used -= job.need;
  if (job.team >= 0) used_[static_cast<std::size_t>(job.team)] -= job.need;
  if (placement.task < job.placements.size()) --job.placements[placement.task];
  if (machine.zone >= 0) --job.in_zone[static_cast<std::size_t>(machine.zone)];
  if (--job.placed == 0) {
    job.gang_attempt = 0;
    job.gang_members.clear();
  }
  machine.note_idle(now);
  context_.scheduling_due = true;
  context_.foreign_released |= job.is_foreign;
}

void Placements::release(Machine& machine, Placement& placement, double now) {
  if (placement.released) return;
  release_without_requeue(machine, placement, now);
  context_.requeue(placement.job, placement.task);
}

void Placements::release_lost(Machine& machine, Placement& placement, double now) {
  if (!placement.released) ++context_.counters.lost;
  release(machine, placement, now);
}

// ---- new placements

void Placements::place(Machine& machine, QueuedTask task) {
  Job& job = *task.job;
  Placement placement;
  placement.job = task.job;
  placement.task = task.task;
  // The tasks of a gang share one attempt number, by which they find one another.
  placement.attempt = job.spec.gang && job.gang_attempt ? job.gang_attempt : ++last_attempt_;
  if (job.spec.gang) {
    job.gang_attempt = placement.attempt;
    job.gang_members.insert(placement.task);
  }
  placement.queued_task = std::move(task);
  reserve_capacity(machine, placement);
  machine.tasks.placements.push_back(std::move(placement));
}

void Placements::recover_placement(Machine& machine, const PersistedPlacement& persisted,
                                   double now) {
  Placement placement;
  placement.job = persisted.job;
  placement.task = persisted.task;
  placement.attempt = persisted.attempt;
  placement.phase = Phase::committed;
  placement.recovered = true;
  placement.queued_task.job = placement.job;
  placement.queued_task.task = placement.task;
  placement.queued_task.since = now;
  reserve_capacity(machine, placement);
  Job& job = *placement.job;
  if (job.spec.gang) {
    job.gang_attempt = placement.attempt;
    for (std::uint32_t task = 0; task < job.spec.tasks; ++task) job.gang_members.insert(task);
  }
  machine.tasks.needs_resync = true;
  note_direct_due(machine);
  machine.tasks.placements.push_back(std::move(placement));
}

// ---- stopping and dropping

void Placements::stop(Machine& machine, Placement& placement) {
  placement.preempted = true;
  note_direct_due(machine);
  ++context_.counters.preempted;
}

void Placements::request_direct_stop(Machine& machine, const JobPtr& job) {
  const auto& placements = machine.tasks.placements;
  if (std::any_of(placements.begin(), placements.end(), [&](const Placement& placement) {
        return placement.job == job && placement.seen && !placement.released;
      }))
    note_direct_due(machine);
}

void Placements::drop_if(Machine& machine, double now,
                         const std::function<bool(const Placement&)>& is_dropped) {
  for (Placement& placement : machine.tasks.placements)
    if (is_dropped(placement)) release_without_requeue(machine, placement, now);
  std::erase_if(machine.tasks.placements, is_dropped);
}

void Placements::drop_planned(Machine& machine, const JobPtr& job, double now) {
  drop_if(machine, now, [&](const Placement& placement) {
    return placement.job == job && placement.phase == Phase::planned;
  });
}

void Placements::drop_withheld(Machine& machine, const JobPtr& job, double now) {
  drop_if(machine, now, [&](const Placement& placement) {
    return placement.job == job && placement.phase == Phase::planned &&
           job->is_withheld(placement.task);
  });
}

void Placements::commit_failed(Machine& machine, Placement& placement, double now) {
  placement.phase = Phase::planned;
  if (!placement.job->ended && !placement.job->is_withheld(placement.task)) return;
  release_without_requeue(machine, placement, now);
  std::erase_if(machine.tasks.placements, [](const Placement& other) {
    return other.phase == Phase::planned && other.released;
  });
}

void Placements::note_direct_due(Machine& machine) {
  if (machine.tasks.direct_due) return;
  machine.tasks.direct_due = true;
  direct_due_.push_back(machine.number);
}

// ---- deleted and silent machines

void Placements::machine_deleted(Machine& machine, double now) {
  for (Placement& placement : machine.tasks.placements) release_lost(machine, placement, now);
}

// The tasks have stopped once neither a response of this leader nor one of an earlier leader can
// have kept the machine's lease valid until now.
void Placements::lease_expired(Machine& machine, double now) {
  const auto& settings = context_.settings;
  const double own_leases_end = machine.last_response_at + settings.lease_s + kLeaseMarginS;
  const double earlier_leases_end =
      machine.tasks.token_seen ? 0.0 : opened_at_ + settings.fencing_wait_s();
  if (now <= std::max(own_leases_end, earlier_leases_end)) return;
  const auto is_committing = [](const Placement& placement) {
    return placement.phase == Phase::committing;
  };
  for (Placement& placement : machine.tasks.placements)
    if (!is_committing(placement)) release_lost(machine, placement, now);
  std::erase_if(machine.tasks.placements,
                [&](const Placement& placement) { return !is_committing(placement); });
}

}  // namespace shunttrail::scheduler
