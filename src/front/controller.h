// The controller: owns the cache, the ownership and the desks, answers users and workers, and
// carries what the pure parts decide to the state service and the cloud.
#pragma once
#include <deque>
#include <map>
#include <memory>
#include <unordered_map>

#include "actor/loop.h"
#include "cloud/cloud.h"
#include "fleet/desk.h"
#include "jobs/pipelines.h"
#include "net/http.h"
#include "peer/peer.h"
#include "shard/balance.h"
#include "shard/ownership.h"
#include "state/client.h"
#include "state/world.h"

namespace shunt::front {

class Controller : public actor::Actor {
 public:
  Controller(actor::Loop& loop, const config::Settings& s, const config::Tuning& t);

 private:
  using ExchangePtr = net::ExchangePtr;
  struct Held {
    ExchangePtr ex;
    double until = 0;
  };
  struct Shard {
    std::unique_ptr<fleet::Desk> desk;
    bool moving = false;     // an ownership commit is out
    bool txn_retry = false;  // the transaction's fate is not known yet
    wire::Txn txn;           // kept for that
    std::string tag;
    double txn_after = 0;
    double gave_at = -1e9;
    std::string raise_tag;             // of the commit that raises the desk's own token
    std::map<std::string, Held> held;  // by machine: answers that wait for a commit
  };

  // controller.cpp: the clock, the state service, ownership, commits
  void tick();
  void load(std::string after, std::uint64_t revision, std::vector<wire::Event> items);
  void reload();
  void watch_loop();
  void watched(double began, const net::Result& r);
  void barrier(std::function<void(bool)> then);
  void start_barrier();
  void changed(const std::vector<state::Change>& changes);
  void renew_hold();
  void register_node();
  void shards();
  void open_desk(int shard, std::uint64_t token);
  void close_desk(int shard);
  void raise(int shard);
  void send_direct(int shard);
  void move_done(int shard, const wire::Txn& t, state::CommitResult r);
  void pump(int shard);
  void txn_done(int shard, std::uint64_t born, state::CommitResult r);
  void txn_settled(int shard, bool applied, std::uint64_t revision);
  void apply_own(const wire::Txn& t, std::uint64_t revision);
  void turn();
  void stir();
  bool fresh(double within) const;
  std::string next_tag();

  // users.cpp
  void front(ExchangePtr ex);
  void submit(ExchangePtr ex);
  void poll(ExchangePtr ex, const std::string& id);
  void withdraw(ExchangePtr ex, const std::string& id, int tries);
  void team(ExchangePtr ex, const std::string& name);
  void answer_state(ExchangePtr ex, const std::string& id, bool counts,
                    std::function<void()> unknown, int tries = 3);
  void check_awaits(ExchangePtr ex, wire::JobRecord r, int look);
  void accept(ExchangePtr ex, const wire::JobRecord& r, bool cancelled);
  void up(ExchangePtr ex);
  int never_runs(const wire::JobSpec& s) const;  // 0: can run; else the status
  void remember_final(const std::string& id, const wire::FinalRecord& f);

  // pipelines.cpp: jobs that await others
  enum class Final { found, none, not_read };
  void read_final(const std::string& id, std::function<void(Final)> then);
  void read_finals(const std::vector<std::string>& ids, std::function<void(bool)> then);
  void add_job(fleet::Desk& desk, const std::string& id, const state::JobEntry& j, int team);
  void note_urgencies();
  void advance_pipelines();
  void move_waiting(bool ready);
  bool mine_to_move(const std::string& id);

  // workers.cpp
  void beat(ExchangePtr ex);
  void adopt(const wire::MachineRecord& found);
  void reply_report(Shard& s, const std::string& machine, const ExchangePtr& ex);
  void flush_held(int shard);
  void internal(ExchangePtr ex);
  void peer_beats();
  void share_out();

  // roster.cpp: which shard a machine belongs to
  void roster_pump();

  // machines.cpp
  void load_types();
  void rent_and_return();
  void list_machines(std::string after);

  const config::Settings& settings_;
  const config::Tuning& tuning_;
  state::World world_;
  shard::Ownership ownership_;
  fleet::Catalogue catalogue_;
  state::Client state_;
  cloud::Client cloud_;
  std::vector<std::unique_ptr<net::Client>> peers_;
  std::map<std::string, std::unique_ptr<net::Client>> workers_;  // by address
  std::vector<Shard> shards_;

  const double started_at_ = actor::Loop::now();
  bool loaded_ = false, loading_ = false, watching_ = false, barrier_out_ = false;
  double fresh_at_ = -1e9;  // when the latest successful read of the state service began
  double next_watch_ = 0, watch_fail_ = 0;
  std::vector<std::function<void(bool)>> barrier_next_;
  bool barrier_armed_ = false;

  std::uint64_t hold_ = 0;
  bool hold_busy_ = false, registering_ = false;
  double renew_at_ = 0;
  std::uint64_t boot_ = 0;  // the first hold's id: names this process
  std::uint64_t tags_ = 0, charters_ = 0;

  bool types_busy_ = false, list_busy_ = false, deleting_ = false;
  double types_at_ = -1e9, list_at_ = 0, rent_at_ = 0, peers_at_ = 0, log_at_ = 0;
  std::map<std::string, double> unknown_since_;  // listed machines without a record
  std::map<std::string, double> removed_;        // machines deleted lately
  std::set<std::string> seen_listed_, list_now_;
  std::map<std::string, fleet::RosterWish> roster_wishes_;  // by machine
  bool roster_out_ = false;
  double roster_after_ = 0;
  std::unordered_map<std::string, std::string> addrs_;  // of machines, as last listed or reported
  std::map<std::string, int> missing_;

  jobs::Pipelines pipelines_{world_};
  std::set<std::string> reading_;                       // final records on their way
  std::unordered_map<std::string, double> move_since_;  // waiting jobs to be moved, since when
  struct Mover {
    bool out = false;
    double after = 0;
    std::uint64_t moved = 0;
  };
  Mover readier_, ender_;
  double read_after_ = 0;

  std::unordered_map<std::string, wire::FinalRecord> finals_;
  std::deque<std::string> finals_order_;
  struct PeerNews {
    double at = -1e9;
    bool serving = false;
  };
  std::vector<PeerNews> peer_news_;
  struct LoadNews {
    double at = -1e9;
    shard::Load load;
  };
  std::vector<LoadNews> loads_;  // by shard
  std::uint64_t garbage_ = 0, submissions_ = 0, refused_ = 0;

  actor::Timer timer_, watch_timer_, barrier_timer_, turn_timer_;
  bool turn_armed_ = false;
  std::unique_ptr<net::Server> front_, internal_;
};

}  // namespace shunt::front
