// Decides, at the leader of a team's shard, which waiting tasks another shard is to run, and when
// that ends (docs/delegation.md). Performs no I/O.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "scheduler/delegated_work.h"
#include "scheduler/machines.h"
#include "scheduler/offer_fit.h"
#include "scheduler/room_offer.h"
#include "scheduler/shard_context.h"
#include "scheduler/task_queues.h"
#include "scheduler/team_quota.h"
#include "state/limits.h"
#include "state/state_cache.h"
#include "wire/types.h"

namespace shunttrail::scheduler {

/// Number of waiting tasks that fit the offers of another shard but are not delegated, by reason.
struct UndelegatedTasks {
  std::uint64_t not_yet = 0;  ///< they have not waited long enough
  /// another delegation of their job has not ended, or has just ended
  std::uint64_t in_progress = 0;
  std::uint64_t quota = 0;     ///< the team is at its limit
  std::uint64_t gang = 0;      ///< a gang is delegated only as a whole, which does not fit
  std::uint64_t disabled = 0;  ///< the schema version or a node's build does not allow it
  double longest_s = 0;        ///< longest wait among these tasks, in seconds
};

/// Builds the transactions that open, close and remove delegations. Times are steady, in seconds.
class DelegationPlanner {
 public:
  DelegationPlanner(ShardContext& context, Machines& machines, TaskQueues& queues, TeamQuota& quota,
                    DelegatedWork& delegated_work)
      : context_(context),
        machines_(machines),
        queues_(queues),
        quota_(quota),
        delegated_work_(delegated_work) {}

  /// Replaces the offers of the other shards.
  void set_offers(std::vector<RoomOffer> offers) { offers_ = std::move(offers); }

  /// Returns the next transaction, named by `tag`. Returns nullopt while one is in flight, if the
  /// last run is too recent, or if nothing changes.
  [[nodiscard]] std::optional<wire::Transaction> next_transaction(
      const state::StateCache& cache, const state::TransactionLimits& limits,
      const std::string& tag, std::uint64_t token, double now);
  [[nodiscard]] bool transaction_in_flight() const { return in_flight_; }
  /// Records that the transaction has been applied, or never will be.
  void transaction_done();

  /// Returns the counts of the latest run.
  [[nodiscard]] const UndelegatedTasks& undelegated_tasks() const { return undelegated_; }

 private:
  struct Draft {
    const state::StateCache& cache;
    const state::TransactionLimits& limits;
    const std::string& tag;
    const double now;
    wire::Transaction transaction{};
  };
  /// A waiting task, and the machine in whose queue it is, if any.
  struct WaitingTask {
    std::uint32_t task = 0;
    Machine* machine = nullptr;
    ServiceOrder order;
  };
  using QueuedByJob = std::unordered_map<const jobs::Job*, std::vector<WaitingTask>>;

  void end_delegations(Draft& draft);
  void end_delegation(Draft& draft, const state::JobEntry& entry);
  bool must_close(const state::StateCache& cache, const state::JobEntry& entry, double now);
  static bool may_remove(const state::StateCache& cache, const state::JobEntry& entry, int shard);
  static bool write_record(Draft& draft, const state::JobEntry& entry,
                           std::optional<wire::Delegation> delegation);

  void open_delegations(Draft& draft);
  std::vector<jobs::JobPtr> waiting_jobs(double now) const;
  QueuedByJob queued_by_job() const;
  std::vector<WaitingTask> waiting_tasks(const jobs::Job& job, const QueuedByJob& queued) const;
  bool fits_here(const jobs::Job& job, double now) const;
  static std::optional<int> open_shard(const state::StateCache& cache, const jobs::Job& job);
  bool may_extend(const std::optional<wire::Delegation>& delegation, const jobs::Job& job,
                  const OfferFit& fit) const;
  std::uint64_t* blocking_counter(const state::StateCache& cache, const jobs::Job& job,
                                  std::size_t waiting, const OfferFit& fit, bool is_enabled,
                                  double now);
  bool open_delegation(Draft& draft, const jobs::JobPtr& job,
                       const std::vector<WaitingTask>& waiting, const OfferFit& fit);
  void remove_from_queue(const WaitingTask& waiting, double now);
  static bool has_waited(const jobs::Job& job, double now);

  ShardContext& context_;
  Machines& machines_;
  TaskQueues& queues_;
  TeamQuota& quota_;
  DelegatedWork& delegated_work_;
  std::vector<RoomOffer> offers_;
  UndelegatedTasks undelegated_;
  bool in_flight_ = false;
  double next_run_at_ = 0;
  std::map<std::string, double> unplaced_since_;  // by job with an open delegation
  std::map<std::string, double> ended_at_;        // by job whose delegation has been removed
};

}  // namespace shunttrail::scheduler
