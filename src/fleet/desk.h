// The desk of one shard: its jobs, machines, placements and waiting lists, for as long as this
// node owns it under one token. Pure: time, random numbers, messages and commit results are
// handed in, and what is to be sent is handed out.
#pragma once
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "chain/walk.h"
#include "config/settings.h"
#include "jobs/job.h"
#include "shard/balance.h"
#include "state/limits.h"
#include "state/world.h"
#include "wire/types.h"

namespace shunt::fleet {

// Machine types, names mapped to dense indices, with the tiers in order of price. A tier is a
// type and a kind (spot or ordinary).
struct Catalogue {
  struct Type {
    wire::MachineType spec;
    jobs::Amount room;
    std::vector<bool> in_zone;
  };
  std::vector<Type> types;
  std::vector<int> tier_order;  // tier id = 2 * type + spot
  double base_rate = 0;         // cheapest tier's price a second

  void load(const std::vector<wire::MachineType>& list, const config::Settings& s);
  int type_index(const std::string& name) const;
  double rate(int tier) const;  // price a second
  bool empty() const { return types.empty(); }
};

struct Counters {
  std::uint64_t reports = 0, stale_reports = 0, starts = 0, direct = 0, dones = 0, errors = 0,
                lost = 0, rents = 0, given = 0, preempted = 0, refused = 0, returns = 0,
                replaced = 0, commits = 0, commit_failures = 0;
};

// Starts sent straight to a worker's address.
struct Direct {
  std::string machine, addr;
  std::uint64_t session = 0;
  std::vector<wire::Command> commands;
};

struct RentWish {
  int tier = 0, zone = 0;
  std::vector<int> machines;  // ordered machines, by number
};

// A change of the roster that the desk asks for.
struct RosterWish {
  enum Kind { add, give, drop } kind = add;
  wire::MachineRecord machine;
  double rented_at = 0;  // add: by the steady clock
};

class Desk {
 public:
  Desk(const config::Settings& s, const config::Tuning& t, const Catalogue& c, int shard,
       std::uint64_t token, double now, std::uint64_t seed);

  std::uint64_t token() const { return token_; }
  // The token it was opened under: names this desk through all raises.
  std::uint64_t born() const { return born_; }
  // A machine of ours has seen a higher token under another shard.
  void outranked() { outranked_ = true; }
  int shard() const { return shard_; }

  // The shard's durable state, at the takeover and as it changes.
  void job_added(const wire::JobRecord& r, int team,
                 const std::map<std::uint32_t, state::Intervals>& done, double now,
                 double wall_now);
  void job_gone(const std::string& id, double now);
  // Jobs that need it have come, or gone.
  void job_urgency(const std::string& id, wire::Priority priority, double due);
  void machine_known(const wire::MachineRecord& r, double now);
  // A sheet of the shard as the takeover found it: all its placements may exist.
  void inherit(int sheet, const wire::SheetRecord& r, double now);
  // The machine is proven deleted, or belongs to another shard.
  void machine_gone(const std::string& name, double now);
  void machine_moved(const std::string& name, double now);
  void machine_addr(const std::string& name, const std::string& addr);
  std::vector<RosterWish> roster_wishes() const;
  bool has_machine(const std::string& name) const { return by_name_.contains(name); }

  // A worker's report. The body of an answer to direct orders is one too, but proves no absence:
  // the answer to an earlier report may still be on its way to the worker.
  enum class Heard { fresh, older, unknown };
  Heard report(const wire::Report& r, double now, bool to_direct = false);
  // What to answer it with. `fresh` says that the state service was read lately enough to start
  // tasks; without it, leases are renewed and tasks stopped, but nothing is started.
  std::vector<wire::Command> orders(const std::string& machine, bool fresh, double now);
  // True while an answer would be worth waiting for a commit.
  bool awaits_commit(const std::string& machine) const;

  // Starts for machines that are not about to be answered. A direct order may be carried out as
  // late as its token and session hold, so an attempt sent that way is `loose` until an answer
  // comes: it is not reaped, nor given up, before the worker has seen a higher token.
  std::vector<Direct> direct_orders(bool fresh, const std::function<bool(const std::string&)>& skip,
                                    double now);
  void direct_done(const Direct& d, int status);
  // True when a higher token would settle something loose, or let a machine in.
  bool wants_raise(double now) const;
  void raise(std::uint64_t token, double now);

  // Group commit: at most one transaction is out at a time.
  std::optional<wire::Txn> next_txn(const state::World& w, const state::Room& size,
                                    const std::string& tag, double now);
  void txn_applied(double now);
  void txn_failed(double now);
  bool txn_out() const { return out_.has_value(); }

  void tick(double now);
  // What became possible since the last turn: waiting work enters the chain. Reports only note
  // that there is something to do, so that a thousand of them cost one turn.
  bool stirred() const { return stirred_; }
  void turn(double now);
  // Machines to rent, grouped; each is handed out once and answered by rented/refused.
  std::vector<RentWish> rent_wishes(double now);
  void rented(const RentWish& w, const std::vector<std::string>& names, double now);
  void refused(const RentWish& w, std::size_t from, bool no_capacity, double now);
  // Machines to give back: idle, never up, failed, lost. Handed out once; machine_gone follows.
  std::vector<std::string> returns();
  void return_failed(const std::string& name);
  // The cloud says that it stopped by itself, or does not list it any more (`unlisted`).
  void machine_failed(const std::string& name, bool unlisted, double now);

  // What this shard has, is entitled to and could use.
  shard::Load load(double now) const;
  // Another shard lacks so many machines.
  void give(int to, int machines);
  std::size_t machine_count() const { return by_name_.size(); }
  const Counters& counters() const { return count_; }
  std::string summary() const;

 private:
  using Key = std::pair<int, std::uint64_t>;  // order of service: band, then first come
  struct Item {
    jobs::JobPtr job;
    std::uint32_t task = 0;
    double since = 0;  // when it began to wait
    std::uint64_t order = 0;
    int band = 0;  // the job's when the task entered the chain
    std::vector<chain::Step> trail;
    bool rented = false;
    Key key() const { return {band, order}; }
    static bool before(const Item& a, const Item& b) { return a.key() < b.key(); }
  };
  enum class Phase : std::uint8_t { planned, committing, committed };
  struct Placement {
    jobs::JobPtr job;
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
    Phase phase = Phase::planned;
    bool inherited = false;  // an earlier owner may have sent it; no proof seen yet
    bool sent = false;
    std::uint64_t sent_session = 0, sent_seq = 0;
    bool direct = false;      // sent by a direct order, not in a report's answer
    std::uint64_t loose = 0;  // the token of a direct order that may still be on its way
    bool seen = false;
    bool released = false;  // known not to run, now or later
    bool reaping = false;
    bool stopping = false;  // makes room for more urgent work
    bool stop_sent = false;
    wire::RunState state = wire::RunState::fetching;
    wire::Why why = wire::Why::none;
    double started = 0;  // first seen running
    Item item;
  };
  struct Machine {
    int number = 0;
    std::string name, addr;
    int type = -1, zone = -1;
    bool spot = false;
    enum State { ordered, booting, up } state = ordered;
    bool posted = false;    // ordered: the request is out
    bool rostered = false;  // the roster holds it: only then may anything be placed on it
    bool leaving = false;   // to be given back: nothing starts here any more
    bool returning = false;
    int giving = -1;        // the shard that it goes to once it is empty
    bool draining = false;  // spot notice
    bool lost = false;      // not coming back: its tasks are not waited for
    std::optional<double> notice_s;
    std::uint64_t session = 0, seq = 0;
    std::uint64_t token = 0;  // as last reported
    bool token_seen = false;  // a report under our token has come
    bool direct_out = false;
    bool due = false;    // has something to be sent directly
    bool greet = false;  // taken over: asked at once what is there, under our token
    double greet_at = 0;
    double rented_at = 0, last_report = 0, last_answer = 0, idle_since = 0;
    bool was_idle = false;
    std::set<std::string> faulty_for;
    int faults = 0;
    double avoid_until = 0;
    jobs::Amount used;
    std::vector<Placement> placements;
    std::vector<Item> waiting;
    std::vector<wire::TaskReport> strangers;  // reported, but no placement of ours
    std::vector<int> images;                  // as cached, the latest used last
    std::array<std::uint16_t, wire::kPriorities + 1> listed{};  // waiting, by band
    int tier() const { return 2 * type + (spot ? 1 : 0); }
  };
  using MachinePtr = std::unique_ptr<Machine>;
  using JobPtr = jobs::JobPtr;
  // What a sheet holds as far as it still matters.
  struct Held {
    int machine = 0;
    JobPtr job;
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
  };
  struct Sheet {
    std::vector<Held> held;
    std::vector<std::pair<JobPtr, std::uint32_t>> done;  // job and chunk
  };
  struct Out {
    struct Write {
      int sheet = 0;
      std::vector<Held> starts;
      std::vector<std::tuple<JobPtr, std::uint32_t, std::vector<bool>>> done;
    };
    std::vector<Write> writes;
    std::vector<std::string> finals;
  };
  Placement* placement(const Held& h);
  void prune_sheets();
  void note_due(Machine& m);
  bool fill_sheet(int sheet, const state::World& w, const state::Room& size,
                  std::vector<Held>& starts, std::vector<std::pair<JobPtr, std::uint32_t>>& dirty,
                  const std::string& tag, wire::Txn& t, Out& out);

  Machine* find(const std::string& name);
  Machine* at(int number);
  Machine& add_machine();
  void remove_machine(int number, double now);
  jobs::Amount room(const Machine& m) const;
  static bool warm(const Machine& m, int image);
  void note_image(Machine& m, int image);
  bool type_ok(const jobs::Job& j, int type, bool spot) const;
  bool usable(const Machine& m, const jobs::Job& j, double now) const;
  bool quota_ok(const jobs::Job& j, bool with_waiting) const;

  void hold(Machine& m, const Placement& p);
  void release(Machine& m, Placement& p, double now, bool requeue);
  void requeue(const jobs::JobPtr& j, std::uint32_t task);
  void task_done(const jobs::JobPtr& j, std::uint32_t task, double now);
  void exited(Machine& m, Placement& p, double now);
  void record_cost(const Placement& p, const Machine& m, double now);

  void note_guarantees();
  void admit(double now);
  bool enter(Item item, double now);  // false: stalled
  void join(Machine& m, Item item);
  void plan(Machine& m, double now, std::optional<Key> up_to = std::nullopt);
  void preempt(Machine& m, double now);
  void pull_waiting(Machine& m, double now);
  void empty_list(Machine& m);  // its waiting tasks go back to pending
  void to_pending(const Item& i);
  void listed(Machine& m, const Item& i, bool yes);  // keeps the counts of waiting tasks
  int pick_zone(const jobs::Job& j, int tier, double now) const;
  void note_idle(Machine& m, double now);
  static bool settled(const Machine& m, const Placement& p) {
    return p.loose == 0 || m.token > p.loose;
  }

  const config::Settings& settings_;
  const config::Tuning& tuning_;
  const Catalogue& catalogue_;
  const int shard_;
  std::uint64_t token_;
  const std::uint64_t born_;
  double raised_at_ = -1e9;
  bool outranked_ = false;
  const double taken_at_;
  chain::Rng rng_;
  std::uint64_t next_attempt_ = 0, next_order_ = 0;
  int next_number_ = 1;
  // In the order they were rented: the chain's order.
  std::vector<std::pair<int, MachinePtr>> machines_;
  std::vector<Machine*> by_number_;  // null: gone
  std::unordered_map<std::string, int> by_name_;
  std::map<std::string, jobs::JobPtr> jobs_;
  std::unordered_map<std::string, int> classes_;
  std::vector<jobs::Amount> team_used_, team_waiting_;
  std::map<std::pair<int, int>, double> refused_until_;  // tier, zone
  std::set<std::pair<int, int>> asking_;                 // tier, zone: a rent is out
  std::map<int, chain::IdleWait> idle_;                  // by tier
  std::map<int, chain::Bandit> experience_;              // by tier
  std::map<int, double> last_returned_;                  // by tier: when a returned one went idle
  std::vector<std::string> dropped_;                     // deleted: to leave the roster
  std::unordered_map<std::string, int> images_;
  std::vector<double> image_gb_;
  // Every waiting task, the more urgent and then the older first, and the machine it waits on.
  std::map<Key, int> waiting_;
  std::vector<Sheet> sheets_;
  std::vector<int> due_;
  std::size_t noted_jobs_ = 0;
  double noted_at_ = -1e9;
  bool stirred_ = true;
  std::optional<Out> out_;
  double last_heard_ = 0;
  Counters count_;
};

}  // namespace shunt::fleet
