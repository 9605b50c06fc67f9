// The desk of one shard: its jobs, machines, placements and waiting lists, for as long as this
// node owns it under one token. Pure: time, random numbers, messages and commit results are
// handed in, and what is to be sent is handed out. The parts own their state (machines.h,
// placements.h, sheets.h, waiting.h); the desk takes what comes to those whom it concerns.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "scheduler/shard_context.h"
#include "scheduler/failure_detector.h"
#include "scheduler/machines.h"
#include "scheduler/replica_consolidation.h"
#include "scheduler/placements.h"
#include "scheduler/urgent_headroom.h"
#include "scheduler/placement_store.h"
#include "scheduler/task_queues.h"
#include "shard/balance.h"
#include "state/limits.h"
#include "state/state_cache.h"
#include "wire/types.h"

namespace shunt::fleet {

class Desk {
 public:
  Desk(const config::Settings& s, const config::Tuning& t, const Catalogue& c, int shard,
       std::uint64_t token, double now, std::uint64_t seed);

  std::uint64_t token() const { return placements_.token(); }
  // The token it was opened under: names this desk through all raises.
  std::uint64_t born() const { return born_; }
  void outranked() { placements_.outranked(); }
  int shard() const { return common_.shard; }

  // The shard's durable state, at the takeover and as it changes.
  void job_added(const wire::JobRecord& r, int team,
                 const std::map<std::uint32_t, state::Intervals>& done, double now,
                 double wall_now);
  void job_gone(const std::string& id, double now);
  // Jobs that need it have come, or gone.
  void job_urgency(const std::string& id, wire::Priority priority, double due);
  void machine_known(const wire::MachineRecord& r, double now);
  // A sheet of the shard as the takeover found it: all its placements may exist.
  void inherit(int sheet, const wire::SheetRecord& r, double now) {
    sheets_.inherit(sheet, r, now);
  }
  // The machine is proven deleted, or belongs to another shard.
  void machine_gone(const std::string& name, double now);
  void machine_moved(const std::string& name, double now);
  void machine_addr(const std::string& name, const std::string& addr);
  // But for those that the roster's actor has already.
  std::vector<RosterWish> roster_wishes(const Machines::Asked& asked = [](auto&&...) {
    return false;
  }) const {
    return machines_.roster_wishes(token(), asked);
  }
  int gives(const std::string& name) const { return machines_.gives(name); }
  bool has_machine(const std::string& name) const { return machines_.contains(name); }

  // A worker's report, or the body of an answer to a direct order (Placements::heard).
  enum class Heard { fresh, older, unknown };
  Heard report(const wire::Report& r, double now, bool to_direct = false);
  std::vector<wire::Command> orders(const std::string& machine, bool fresh, double now);
  // True while an answer would be worth waiting for a commit.
  bool awaits_commit(const std::string& machine);
  // What ends work that is not wanted: for a report that has been overtaken.
  std::vector<wire::Command> stops(const std::string& machine) const;
  // No answer may renew this machine's lease under the present token: Placements::unsettled.
  bool unsettled(const std::string& machine) const;

  std::vector<Direct> direct_orders(bool fresh, const std::function<bool(const std::string&)>& skip,
                                    double now) {
    return placements_.direct_orders(fresh, skip, now);
  }
  void direct_done(const Direct& d, int status) { placements_.direct_done(d, status); }
  // Silent machines to be asked whether they live, and whether they did.
  std::vector<Probe> probes(double now) { return doubts_.probes(now); }
  void probed(const std::string& machine, bool answered, double now);
  bool wants_raise(double now) const { return placements_.wants_raise(now); }
  void raise(std::uint64_t token, double now) { placements_.raise(token, now); }

  // Group commit: at most one transaction is out at a time.
  std::optional<wire::Txn> next_txn(const state::World& w, const state::Room& size,
                                    const std::string& tag, double now) {
    return sheets_.next(w, size, tag, now);
  }
  void txn_applied(double now);
  void txn_failed(double now) { sheets_.failed(now); }
  bool txn_out() const { return sheets_.out(); }

  void tick(double now);
  // What became possible since the last turn: waiting work enters the chain. Reports only note
  // that there is something to do, so that a thousand of them cost one turn.
  bool stirred() const { return common_.stirred; }
  void turn(double now);
  // Machines to rent, grouped; each is handed out once and answered by rented/refused.
  std::vector<RentWish> rent_wishes(double now);
  void rented(const RentWish& w, const std::vector<std::string>& names, double now);
  void refused(const RentWish& w, std::size_t from, bool no_capacity, double now);
  // Machines to give back: idle, never up, failed, lost. Handed out once; machine_gone follows.
  std::vector<std::string> returns() { return machines_.returns(); }
  void return_failed(const std::string& name) { machines_.return_failed(name); }
  // The cloud says that it stopped by itself, or does not list it any more (`unlisted`).
  void machine_failed(const std::string& name, bool unlisted, double now);

  // What this shard has, is entitled to and could use.
  shard::Load load(double now) const;
  // Another shard lacks machines.
  void give(const Gift& gift);
  double pledged() const { return machines_.pledged(); }
  std::size_t machine_count() const { return machines_.named(); }
  const Counters& counters() const { return common_.count; }
  std::string summary() const;

 private:
  void remove_machine(int number, double now);
  void look_at(Machine& m, bool hear, double now);
  void lose(Machine& m);

  Common common_;
  const std::uint64_t born_;
  const double taken_at_;
  Machines machines_;
  Placements placements_;
  Sheets sheets_;
  Waiting waiting_;
  Packing packing_;
  Doubts doubts_;
  Reserve reserve_;
  std::unordered_map<std::string, int> classes_, images_;  // names to dense indices
  double last_heard_ = 0;
  double turned_at_ = -1e9, moved_on_at_ = -1e9;
};

}  // namespace shunt::fleet
