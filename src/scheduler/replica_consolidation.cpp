#include "scheduler/replica_consolidation.h"

#include <algorithm>

namespace shunttrail::scheduler {

using jobs::Job;
using jobs::Resources;
using wire::TaskState;

namespace {
/// Shortest time between two runs, in seconds.
constexpr double kRunIntervalS = 1;
/// Shortest average time, in seconds, between two moves of one replica. A move costs a replica less
/// than 0.5 s, so moves take about 0.1% of its time.
constexpr double kMoveIntervalS = 300;
/// Maximum number of moves, across the whole shard, that may be made at once after a period without
/// moves. A machine with more replicas than that is never drained.
constexpr double kMaxMoveBudget = 30;
/// Maximum number of run intervals for which the budget grows between two runs.
constexpr double kMaxIntervalsCounted = 10;
/// Time, in seconds, that a replica must have run before it is moved.
constexpr double kSettleTimeS = 40;
/// Maximum share of its vcpus that a machine may use to be drained.
constexpr double kMaxUsedShare = 0.5;
}  // namespace

bool ReplicaConsolidation::is_settled(const Placement& placement, double now) {
  if (!placement.job->spec.service || placement.job->ended) return false;
  if (placement.released || placement.preempted || !placement.seen) return false;
  return placement.state == TaskState::running && now - placement.started >= kSettleTimeS;
}

// Returns the number of replicas to move before the machine can be returned.
std::ptrdiff_t ReplicaConsolidation::replicas_on(const Machine& machine) {
  const std::vector<Placement>& placements = machine.tasks.placements;
  return std::count_if(placements.begin(), placements.end(), [](const Placement& placement) {
    return !placement.awaits_acknowledgement();
  });
}

double ReplicaConsolidation::saving(const Machine& machine, double now) const {
  const std::vector<Placement>& placements = machine.tasks.placements;
  if (!machine.accepts_work(now) || !machine.in_inventory || machine.type < 0) return 0;
  if (!machine.has_work() || !machine.queue.tasks.empty()) return 0;
  const auto& type = context_.catalogue.types[static_cast<std::size_t>(machine.type)];
  const auto capacity = static_cast<double>(type.capacity.cpus);
  if (static_cast<double>(machine.tasks.used.cpus) > kMaxUsedShare * capacity) return 0;
  if (!std::all_of(placements.begin(), placements.end(), [&](const Placement& placement) {
        return placement.awaits_acknowledgement() || is_settled(placement, now);
      }))
    return 0;
  return context_.catalogue.rate(machine.tier()) / static_cast<double>(replicas_on(machine));
}

// Returns true if a replica may move to `to`. Moves go only to fuller or cheaper machines, so that
// no replica returns to its former machine.
bool ReplicaConsolidation::is_better(const Machine& to, const Machine& from) const {
  return to.tasks.used.cpus > from.tasks.used.cpus ||
         context_.catalogue.rate(to.tier()) < context_.catalogue.rate(from.tier());
}

// Returns true if one more replica of the job fits on `to`, and counts it there in `moves`.
bool ReplicaConsolidation::plan_move(const Machine& to, const Machine& from, const Job& job,
                                     PlannedMoves& moves, double now) const {
  if (&to == &from || !to.accepts_work(now) || !to.in_inventory) return false;
  if (!to.has_work() || !to.queue.tasks.empty()) return false;
  if (!machines_.type_ok(job, to.type, to.spot) || !Machines::warm(to, job.image)) return false;
  if (!is_better(to, from)) return false;
  Resources& taken = moves.used_capacity[to.number];
  if (!job.need.fits(machines_.free_capacity(to) - taken)) return false;
  int& moved_to_zone = moves.replicas_by_zone[{&job, to.zone}];
  if (to.zone != from.zone && (moved_to_zone || !machines_.allows_zone(job, to.zone))) return false;
  ++moved_to_zone;
  taken += job.need;
  return true;
}

bool ReplicaConsolidation::plan_all_moves(const Machine& machine, PlannedMoves& moves,
                                          double now) const {
  const auto& all = machines_.all();
  return std::all_of(machine.tasks.placements.begin(), machine.tasks.placements.end(),
                     [&](const Placement& placement) {
                       if (placement.awaits_acknowledgement()) return true;
                       return std::any_of(all.begin(), all.end(), [&](const auto& entry) {
                         return plan_move(*entry.second, machine, *placement.job, moves, now);
                       });
                     });
}

void ReplicaConsolidation::refill_budget(double now) {
  const double passed_s = std::min(now - last_run_at_, kMaxIntervalsCounted * kRunIntervalS);
  last_run_at_ = now;
  double replicas = 0;
  for (const auto& [number, machine] : machines_.all())
    for (const Placement& placement : machine->tasks.placements)
      if (placement.job->spec.service && !placement.released) ++replicas;
  move_budget_ = std::min(move_budget_ + passed_s * replicas / kMoveIntervalS, kMaxMoveBudget);
}

std::vector<ReplicaConsolidation::DrainCandidate> ReplicaConsolidation::drain_candidates(
    double now) const {
  std::vector<DrainCandidate> found;
  for (const auto& [number, machine] : machines_.all())
    if (const double saved = saving(*machine, now); saved > 0)
      found.push_back({saved, machine.get()});
  std::stable_sort(found.begin(), found.end(),
                   [](const auto& a, const auto& b) { return a.saving > b.saving; });
  return found;
}

void ReplicaConsolidation::drain(Machine& machine) {
  machine.leaving = true;
  for (Placement& placement : machine.tasks.placements)
    if (!placement.released) placements_.stop(machine, placement);
  ++context_.counters.consolidated;
}

void ReplicaConsolidation::run(double now) {
  if (now < last_run_at_ + kRunIntervalS) return;
  refill_budget(now);
  PlannedMoves planned;
  for (const DrainCandidate& candidate : drain_candidates(now)) {
    Machine& machine = *candidate.machine;
    const auto moves = static_cast<double>(replicas_on(machine));
    if (moves > move_budget_) continue;
    const auto arriving = planned.used_capacity.find(machine.number);
    if (arriving != planned.used_capacity.end() && arriving->second.cpus > 0) continue;
    PlannedMoves with_candidate = planned;
    if (!plan_all_moves(machine, with_candidate, now)) continue;
    planned = std::move(with_candidate);
    move_budget_ -= moves;
    drain(machine);
  }
}

}  // namespace shunttrail::scheduler
