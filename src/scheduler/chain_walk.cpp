#include "scheduler/chain_walk.h"

#include <algorithm>

namespace shunttrail::scheduler {

using jobs::Resources;

namespace {

bool is_cold(const chain::Candidate& candidate) { return !candidate.context.warm; }

// If some machine with free capacity has the image, bars those that would have to fetch it. An
// urgent task on a cold machine waits a second or two for its image, a difference that is hardly
// visible in the cost of a whole run, from which the learners learn.
void bar_cold_candidates(std::vector<chain::Tier>& tiers) {
  const bool all_cold = std::all_of(tiers.begin(), tiers.end(), [](const chain::Tier& tier) {
    return std::all_of(tier.candidates.begin(), tier.candidates.end(), is_cold);
  });
  if (all_cold) return;
  for (chain::Tier& tier : tiers) std::erase_if(tier.candidates, is_cold);
  std::erase_if(tiers, [](const chain::Tier& tier) { return tier.candidates.empty(); });
}

}  // namespace

ChainWalk::Result ChainWalk::walk(const QueuedTask& task, KnownCapacity capacity, double now) {
  Result result;
  std::vector<chain::Tier> reachable;
  // Machines with free capacity are tried first: if there are any, no others are candidates.
  if (capacity == KnownCapacity::unknown) {
    reachable = tiers(task, Scope::machines_with_free_capacity, now);
    result.found_no_room = reachable.empty();
    bar_cold_candidates(reachable);
  }
  if (reachable.empty()) reachable = tiers(task, Scope::all_machines, now);
  result.outcome = chain::walk(reachable, rng_);
  return result;
}

std::vector<chain::Tier> ChainWalk::tiers(const QueuedTask& task, Scope scope, double now) {
  std::vector<chain::Tier> reachable;
  for (const int id : context_.catalogue.tier_order) {
    if (!machines_.type_ok(*task.job, id / 2, id % 2)) continue;
    chain::Tier tier = scan_tier(id, make_scan(task, id, scope, now));
    if (!tier.candidates.empty() || tier.end.kind != chain::TierEnd::none)
      reachable.push_back(std::move(tier));
  }
  return reachable;
}

ChainWalk::TierScan ChainWalk::make_scan(const QueuedTask& task, int tier, Scope scope,
                                         double now) {
  const jobs::Job& job = *task.job;
  const Resources& capacity = context_.catalogue.types[static_cast<std::size_t>(tier / 2)].capacity;
  TierScan scan{job, task.priority_band, scope, now, capacity, nullptr, 0, {}};
  scan.learner = &learners_.try_emplace(tier, context_.tuning.ring).first->second;
  scan.size = chain::size_bucket(share_of(job.need, capacity));
  for (std::size_t zone = 0; zone < context_.settings.zones.size(); ++zone)
    scan.zone_allowed.push_back(machines_.allows_zone(job, static_cast<int>(zone)));
  return scan;
}

chain::Tier ChainWalk::scan_tier(int id, const TierScan& scan) const {
  const bool may_wait = scan.scope == Scope::all_machines;
  chain::Tier tier;
  tier.id = id;
  chain::CandidateKinds seen;
  for (const auto& [number, machine] : machines_.all()) {
    if (machine->tier() != id) continue;
    if (machine->state == Machine::up) {
      if (auto found = candidate(*machine, scan, &seen)) tier.candidates.push_back(*found);
    } else if (may_wait && tier.end.kind == chain::TierEnd::none && can_join_rent(*machine, scan)) {
      tier.end = {chain::TierEnd::join, number};
    }
  }
  if (may_wait && tier.end.kind == chain::TierEnd::none &&
      rentals_.pick_zone(scan.job, id, scan.now) >= 0)
    tier.end = {chain::TierEnd::rent, 0};
  if (tier.end.kind == chain::TierEnd::none && !tier.candidates.empty())
    add_last_candidates(tier, scan);
  return tier;
}

// Returns true if the task fits on the machine that is being rented, next to the tasks that already
// wait for it.
bool ChainWalk::can_join_rent(const Machine& machine, const TierScan& scan) const {
  if (!machines_.usable(machine, scan.job, scan.now)) return false;
  Resources taken = machine.tasks.used;
  for (const QueuedTask& task : machine.queue.tasks) taken += task.job->need;
  return scan.job.need.fits(scan.machine_capacity - taken);
}

// Returns a machine that is up as a candidate. Returns nullopt if the task cannot run there, or if
// a candidate of the same kind is in `seen`.
std::optional<chain::Candidate> ChainWalk::candidate(const Machine& machine, const TierScan& scan,
                                                     chain::CandidateKinds* seen) const {
  if (queues_.is_reserved(machine)) return std::nullopt;
  const bool needs_free_capacity = scan.scope == Scope::machines_with_free_capacity;
  const bool has_room = scan.job.need.fits(machines_.free_capacity(machine, scan.priority_band));
  if (needs_free_capacity && !has_room) return std::nullopt;
  // Accept is split by priority band (paper 3.1, query scheduling): a task joins the part of the
  // queue for its band, and only tasks of its own and more urgent bands count as ahead of it.
  std::size_t ahead = 0;
  for (int band = 0; band <= scan.priority_band; ++band)
    ahead += machine.queue.tasks_by_band[static_cast<std::size_t>(band)];
  if (needs_free_capacity && ahead) return std::nullopt;
  chain::Candidate found;
  found.context.waiting = chain::waiting_bucket(has_room, ahead);
  found.may_accept = static_cast<int>(ahead) <= context_.tuning.waiting_bar;
  found.empty = machine.is_empty();
  // Search the image cache last: among hundreds of machines, most are of a kind that is already
  // present.
  if (seen && seen->has_warm_and_cold(found)) return std::nullopt;
  if (machine.leaving || machine.draining || machine.avoid_until > scan.now || machine.zone < 0 ||
      !scan.zone_allowed[static_cast<std::size_t>(machine.zone)])
    return std::nullopt;
  found.context.warm = Machines::warm(machine, scan.job.image);
  if (seen && !seen->add(found)) return std::nullopt;
  found.machine = machine.number;
  found.learner = scan.learner;
  found.context.job_class = static_cast<std::uint16_t>(scan.job.job_class);
  found.context.size = scan.size;
  return found;
}

// Adds the last machine of a tier without an end, and the last machine with the image. The walk
// treats the last machine differently, since it may not Pass, so it cannot be represented by
// another one of its kind. The last warm machine is added because the cold ones may be barred,
// which makes it the last.
void ChainWalk::add_last_candidates(chain::Tier& tier, const TierScan& scan) const {
  bool need_warm = scan.scope == Scope::machines_with_free_capacity &&
                   !std::all_of(tier.candidates.begin(), tier.candidates.end(), is_cold);
  bool need_last = true;
  const auto& all = machines_.all();
  for (auto it = all.rbegin(); it != all.rend() && (need_last || need_warm); ++it) {
    const Machine& machine = *it->second;
    if (machine.tier() != tier.id || machine.state != Machine::up) continue;
    auto found = candidate(machine, scan, nullptr);
    if (!found || !(need_last || found->context.warm)) continue;
    need_last = false;
    need_warm &= !found->context.warm;
    const auto position = std::lower_bound(
        tier.candidates.begin(), tier.candidates.end(), found->machine,
        [](const chain::Candidate& other, int number) { return other.machine < number; });
    if (position == tier.candidates.end() || position->machine != found->machine)
      tier.candidates.insert(position, *found);
  }
}

}  // namespace shunttrail::scheduler
