// The walk of one task through the chain of machines: collects each tier's candidates and lets the
// learners decide (DESIGN points 1-5). Performs no I/O: random numbers come from a seed.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "chain/walk.h"
#include "scheduler/machines.h"
#include "scheduler/rentals.h"
#include "scheduler/shard_context.h"
#include "scheduler/task_queues.h"

namespace shunttrail::scheduler {

/// Chooses the machine whose queue a task joins. Owns the learners, one for each tier.
class ChainWalk {
 public:
  /// Which machines of a tier are candidates.
  enum class Scope {
    machines_with_free_capacity,  // free capacity for the task, none ahead of it
    all_machines,                 // also full machines, pending rents and a new rent
  };
  /// Whether the caller already knows that no machine has free capacity for the task.
  enum class KnownCapacity {
    unknown,
    none,  // no machine has it: the search for one is skipped
  };
  struct Result {
    chain::Outcome outcome;
    /// True if the machines were searched and none has free capacity for the task.
    bool found_no_room = false;
  };

  ChainWalk(ShardContext& context, const Machines& machines, const Rentals& rentals,
            const TaskQueues& queues, std::uint64_t seed)
      : context_(context), machines_(machines), rentals_(rentals), queues_(queues), rng_(seed) {}

  /// Walks the chain. While some machine has free capacity for the task, the task neither waits nor
  /// causes a rent: the strategy space is bounded (paper 3.3). Arms that lead only to waiting or
  /// renting are barred, and the learners decide among the others.
  [[nodiscard]] Result walk(const QueuedTask& task, KnownCapacity capacity, double now);

  /// Returns the tiers that the task may use, cheapest first, each with its candidates in the
  /// chain's order.
  [[nodiscard]] std::vector<chain::Tier> tiers(const QueuedTask& task, Scope scope, double now);

 private:
  /// Parameters of the search through one tier's machines for one task.
  struct TierScan {
    const jobs::Job& job;
    int priority_band;
    Scope scope;
    double now;
    // Capacity of an empty machine of the tier.
    jobs::Resources machine_capacity;
    chain::Bandit* learner = nullptr;
    std::uint8_t size = 0;           // chain::size_bucket
    std::vector<bool> zone_allowed;  // by zone
  };

  TierScan make_scan(const QueuedTask& task, int tier, Scope scope, double now);
  chain::Tier scan_tier(int id, const TierScan& scan) const;
  bool can_join_rent(const Machine& machine, const TierScan& scan) const;
  std::optional<chain::Candidate> candidate(const Machine& machine, const TierScan& scan,
                                            chain::CandidateKinds* seen) const;
  void add_last_candidates(chain::Tier& tier, const TierScan& scan) const;

  ShardContext& context_;
  const Machines& machines_;
  const Rentals& rentals_;
  const TaskQueues& queues_;
  chain::Rng rng_;
  // Learners by tier. The machines of a tier share one learner: a machine lives for minutes, and
  // with a learner of its own it would spend them trying each arm in each context.
  std::map<int, chain::Bandit> learners_;
};

}  // namespace shunttrail::scheduler
