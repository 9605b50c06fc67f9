// Waiting lists and the chain: how tasks enter it, wait on machines' lists, and are placed. Free of
// I/O: the random numbers come from the seed.
#pragma once
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "scheduler/machines.h"
#include "scheduler/placements.h"
#include "scheduler/shard_context.h"

namespace shunttrail::scheduler {

class TaskQueues {
 public:
  TaskQueues(ShardContext& common, Machines& machines, Placements& placements, std::uint64_t seed);

  // Nothing waits, in the chain or before it.
  bool is_empty() const;
  // Tasks with no place and not in the chain enter it.
  void admit_pending(double now);
  // Tasks that wait where only a replica's end could give them room go to a tier's end, if one of
  // theirs has any: nobody knows when a service ends.
  void requeue_blocked(double now);
  // Large tasks of jobs that have waited for long without beginning get a machine, or their team's
  // limit, kept free for them: as the reservations of schedulers that backfill (docs/design.md,
  // X14).
  void make_reservations(double now);
  // A machine that has had room beside what waits for a good while gets whatever fits.
  void backfill_idle_capacity(double now);
  // A machine reports room, or has been given some: its list is served, and urgent tasks that wait
  // elsewhere come to it.
  void serve_machine(Machine& m, double now);
  // What waits for it goes back to where it enters the chain from.
  void requeue_all(Machine& m);
  // A job is over, or waits on lists of a band that is no longer its own.
  void drop_job(Machine& m, const jobs::JobPtr& j);
  void requeue_job(Machine& m, const jobs::JobPtr& j);
  // A task of it is done: it may wait somewhere for another try.
  void drop_task(const jobs::JobPtr& j, std::uint32_t task);

 private:
  bool blocked_by_replicas(const Machine& m, const QueuedTask& i) const;
  bool is_reserved(const Machine& m) const;
  bool is_reserved_for_other(const Machine& m, const QueuedTask& i) const {
    return is_reserved(m) && *m.queue.reserved_for != i.service_order();
  }
  std::vector<jobs::JobPtr> overdue(double now) const;
  void reserve_quota(const jobs::JobPtr& j, double now);
  double time_until_room(const Machine& m, const jobs::Job& j, double now) const;
  void make_reservations(Machine& m, const jobs::JobPtr& j, double now);
  std::vector<jobs::JobPtr> pending_jobs(double now) const;
  QueuedTask next_pending_task(const jobs::JobPtr& j, double now);
  void backfill(Machine& m, double now);
  // False: stalled. `full`: no machine has room for it, which is known; else `found_none` is set if
  // that is so.
  bool enter_chain(QueuedTask item, double now, bool full = false, bool* found_none = nullptr);
  // One look at the machines of a tier, for one task.
  struct TierScan {
    const jobs::Job& job;
    int band;
    bool room_only;
    double now;
    jobs::Resources machine_capacity;  // a machine's whole room
    chain::Bandit* learner = nullptr;
    std::uint8_t size = 0;
    std::vector<bool> zone_ok{};  // by zone
  };
  std::vector<chain::Tier> candidate_tiers(const QueuedTask& item, bool room_only, double now);
  void add_tier_end(chain::Tier& t, const TierScan& look) const;
  std::optional<chain::Candidate> candidate(const Machine& m, const TierScan& look,
                                            chain::Kinds* seen) const;
  void enqueue(Machine& m, QueuedTask item);
  static std::vector<QueuedTask>::iterator find_queued(
      Machine& m, const ServiceOrder& key);  // end: not on its list
  QueuedTask dequeue(Machine& m, std::vector<QueuedTask>::iterator item);
  void place_queued(Machine& m, double now, std::optional<ServiceOrder> up_to = std::nullopt);
  void preempt(Machine& m, double now);
  void pull_urgent(Machine& m, double now);
  void update_guarantees();
  void count_queued(Machine& m, const QueuedTask& i,
                    bool yes);  // keeps the counts of waiting tasks
  bool within_quota(const jobs::Job& j, bool with_waiting) const;
  static bool is_ranked(int band);
  std::uint64_t rank_of(const jobs::Job& j, int band);  // among those of its band

  ShardContext& context_;
  Machines& machines_;
  Placements& placements_;
  chain::Rng rng_;
  std::uint64_t next_order_ = 0;
  std::vector<jobs::Resources> queued_resources_;  // by team
  // By team: the job for whose next task its limit is kept free, and since when.
  struct QuotaReservation {
    jobs::JobPtr job;
    double at = -1e9;
  };
  std::vector<QuotaReservation> quota_reservations_;
  // What waits, by what a task needs: a machine whose room none of it fits is not offered around.
  using Need = std::tuple<std::int64_t, std::int64_t, std::int64_t>;
  std::map<Need, std::size_t> queued_needs_;
  bool any_fits(const jobs::Resources& room) const;
  // Every waiting task, the more urgent and then the older first, and the machine it waits on.
  std::map<ServiceOrder, int> queued_tasks_;
  std::map<int, chain::Bandit> learners_;  // by tier
  std::size_t guarantee_job_count_ = 0;
  double guarantees_updated_at_ = -1e9;
};

}  // namespace shunttrail::scheduler
