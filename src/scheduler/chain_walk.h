// The walk of one task through the chain of machines: builds each tier's candidates and lets the
// learners decide (DESIGN points 1-5). Free of I/O: the random numbers come from a seed.
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

/// Chooses the machine whose queue a task joins. Owns the learners, one a tier.
class ChainWalk {
 public:
  /// Which machines of a tier are candidates.
  enum class Scope {
    machines_with_free_capacity,  // only those with room for the task and nothing ahead of it
    all_machines,                 // also full ones, pending rents and a new rent
  };
  /// What is known of the shard before a walk.
  enum class KnownCapacity {
    unknown,
    none,  // no machine has room for the task: they need not be searched
  };
  struct Result {
    chain::Outcome outcome;
    /// The machines were searched, and none has room for the task.
    bool found_no_room = false;
  };

  ChainWalk(ShardContext& context, const Machines& machines, const Rentals& rentals,
            const TaskQueues& queues, std::uint64_t seed)
      : context_(context), machines_(machines), rentals_(rentals), queues_(queues), rng_(seed) {}

  /// Walks the chain. While some machine has room for the task, it neither waits nor rents (the
  /// strategy space is bounded, paper 3.3): arms that only lead there are barred, the others stay
  /// learned.
  [[nodiscard]] Result walk(const QueuedTask& task, KnownCapacity capacity, double now);

  /// The tiers that the task may go to, cheapest first, each with its candidates in the chain's
  /// order.
  [[nodiscard]] std::vector<chain::Tier> tiers(const QueuedTask& task, Scope scope, double now);

 private:
  /// The search of one tier's machines for one task.
  struct TierScan {
    const jobs::Job& job;
    int priority_band;
    Scope scope;
    double now;
    jobs::Resources machine_capacity;  // of an empty machine
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
  // By tier. The machines of a tier share what they have learned: a machine lives for minutes, and
  // left to itself would spend them trying each arm in each context.
  std::map<int, chain::Bandit> learners_;
};

}  // namespace shunttrail::scheduler
