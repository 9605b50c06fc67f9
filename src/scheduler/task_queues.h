// Waiting lists and the chain: how tasks enter it, wait on machines' lists, and are placed. Pure:
// the random numbers come from the seed.
#pragma once
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "scheduler/shard_context.h"
#include "scheduler/machines.h"
#include "scheduler/placements.h"

namespace shunt::fleet {

class Waiting {
 public:
  Waiting(Common& common, Machines& machines, Placements& placements, std::uint64_t seed);

  // Nothing waits, in the chain or before it.
  bool quiet() const;
  // Tasks with no place and not in the chain enter it.
  void admit(double now);
  // Tasks that wait where only a replica's end could give them room go to a tier's end, if one of
  // theirs has any: nobody knows when a service ends.
  void move_on(double now);
  // Large tasks of jobs that have waited for long without beginning get a machine, or their team's
  // limit, kept free for them: as the reservations of schedulers that backfill (docs/design.md,
  // X14).
  void reserve(double now);
  // A machine that has had room beside what waits for a good while gets whatever fits.
  void fill_left_over(double now);
  // A machine reports room, or has been given some: its list is served, and urgent tasks that wait
  // elsewhere come to it.
  void serve(Machine& m, double now);
  // What waits for it goes back to where it enters the chain from.
  void empty(Machine& m);
  // A job is over, or waits on lists of a band that is no longer its own.
  void drop(Machine& m, const jobs::JobPtr& j);
  void back(Machine& m, const jobs::JobPtr& j);
  // A task of it is done: it may wait somewhere for another try.
  void forget(const jobs::JobPtr& j, std::uint32_t task);

 private:
  bool in_vain(const Machine& m, const Item& i) const;
  bool reserved(const Machine& m) const;
  bool reserved_for_other(const Machine& m, const Item& i) const {
    return reserved(m) && *m.queue.reserved != i.key();
  }
  std::vector<jobs::JobPtr> overdue(double now) const;
  void save_limit(const jobs::JobPtr& j, double now);
  double clear_in(const Machine& m, const jobs::Job& j, double now) const;
  void reserve(Machine& m, const jobs::JobPtr& j, double now);
  std::vector<jobs::JobPtr> pending(double now) const;
  Item first_pending(const jobs::JobPtr& j, double now);
  void fill(Machine& m, double now);
  // False: stalled. `full`: no machine has room for it, which is known; else `found_none` is set if
  // that is so.
  bool enter(Item item, double now, bool full = false, bool* found_none = nullptr);
  // One look at the machines of a tier, for one task.
  struct Look {
    const jobs::Job& job;
    int band;
    bool room_only;
    double now;
    jobs::Amount full;  // a machine's whole room
    chain::Bandit* learner = nullptr;
    std::uint8_t size = 0;
    std::vector<bool> zone_ok{};  // by zone
  };
  std::vector<chain::Tier> ways(const Item& item, bool room_only, double now);
  void add_last(chain::Tier& t, const Look& look) const;
  std::optional<chain::Seat> seat(const Machine& m, const Look& look, chain::Kinds* seen) const;
  void join(Machine& m, Item item);
  static std::vector<Item>::iterator item_at(Machine& m, const Key& key);  // end: not on its list
  Item take_off(Machine& m, std::vector<Item>::iterator item);
  void plan(Machine& m, double now, std::optional<Key> up_to = std::nullopt);
  void preempt(Machine& m, double now);
  void pull(Machine& m, double now);
  void note_guarantees();
  void listed(Machine& m, const Item& i, bool yes);  // keeps the counts of waiting tasks
  bool quota_ok(const jobs::Job& j, bool with_waiting) const;
  static bool ranked(int band);
  std::uint64_t place_of(const jobs::Job& j, int band);  // among those of its band

  Common& common_;
  Machines& machines_;
  Placements& placements_;
  chain::Rng rng_;
  std::uint64_t next_order_ = 0;
  std::vector<jobs::Amount> waiting_;  // by team
  // By team: the job for whose next task its limit is kept free, and since when.
  struct Saved {
    jobs::JobPtr job;
    double at = -1e9;
  };
  std::vector<Saved> saved_;
  // What waits, by what a task needs: a machine whose room none of it fits is not offered around.
  using Need = std::tuple<std::int64_t, std::int64_t, std::int64_t>;
  std::map<Need, std::size_t> needs_;
  bool any_fits(const jobs::Amount& room) const;
  // Every waiting task, the more urgent and then the older first, and the machine it waits on.
  std::map<Key, int> all_;
  std::map<int, chain::Bandit> experience_;  // by tier
  std::size_t noted_jobs_ = 0;
  double noted_at_ = -1e9;
};

}  // namespace shunt::fleet
