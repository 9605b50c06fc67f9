// One shard at this node: the moves of its ownership, and, while this node owns it, its desk with
// the transactions that the desk asks for, the answers that wait for them, and direct orders.
#pragma once
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "scheduler/shard_scheduler.h"
#include "controller/components.h"
#include "controller/state_store.h"
#include "net/pool.h"

namespace shunt::front {

class Runner : public actor::Actor {
 public:
  Runner(actor::Loop& loop, Parts& parts, int shard);

  // None: this node does not own the shard.
  const fleet::Desk* desk() const { return desk_.get(); }
  std::uint64_t garbage() const { return garbage_; }

  void tick();
  void consider();  // who owns the shard may have changed
  // Answered now, or once a commit that it waits for is through.
  // `passed_on`: by a sibling, since the worker does not reach this node.
  void report(net::ExchangePtr ex, wire::Report r, bool passed_on = false);
  void urgency(std::string job, wire::Priority priority, double due);
  // Another shard lacks machines.
  void give(fleet::Gift gift);

  // What the cloud is to be asked for. Answers name the desk by the token it was opened under: for
  // another one they come too late.
  struct Wants {
    std::uint64_t born = 0;
    std::vector<std::string> back;
    std::vector<fleet::RentWish> rents;
  };
  void wants(bool returns, std::function<void(Wants)> then);
  void rented(std::uint64_t born, fleet::RentWish w, std::vector<std::string> machines);
  void refused(std::uint64_t born, fleet::RentWish w, bool no_capacity);
  void deleted(std::uint64_t born, std::vector<std::string> machines, bool ok);
  void failed(std::string machine, bool unlisted);  // says the cloud's list
  void address(std::string machine, std::string addr);

 private:
  struct Held {
    net::ExchangePtr ex;
    double until = 0;
  };
  bool is(std::uint64_t born) const { return desk_ && desk_->born() == born; }
  void changed(const std::vector<state::Change>& changes);
  void decide();
  void move(wire::Txn t);
  void open(std::uint64_t token);
  void close();
  void raise();
  void add_job(const std::string& id, const state::JobEntry& j, int team);
  void add_machine(const wire::MachineRecord& m);
  void lose_machine(const std::string& name);
  void stir();  // something may have become possible
  void turn();
  void pump();
  void send_direct();
  void send_probes();
  net::Client& worker(const std::string& machine, const std::string& addr);
  void txn_done(std::uint64_t born, state::CommitResult r);
  void look_up(std::uint64_t born);
  void txn_settled(bool applied);
  void again_later();
  void take_report(const net::ExchangePtr& ex, const wire::Report& r);
  void answer(const std::string& machine, const net::ExchangePtr& ex);
  void flush_held();
  std::string next_tag();

  Parts& parts_;
  const int shard_;
  std::unique_ptr<fleet::Desk> desk_;
  std::uint64_t spent_ = 0;  // the latest token whose desk was closed here
  bool moving_ = false;      // an ownership commit is out
  bool txn_retry_ = false;   // the transaction's fate is not known yet
  wire::Txn txn_;            // kept for that
  std::string tag_;
  double txn_after_ = 0;
  std::string raise_tag_;             // of the commit that raises the desk's own token
  std::map<std::string, Held> held_;  // by machine: answers that wait for a commit
  // By machine: until when it counts as cut off from this node. No direct order is sent there,
  // which would hold up the start that its report's answer can bring.
  std::unordered_map<std::string, double> beyond_;
  net::Pool workers_;  // by machine
  std::uint64_t tags_ = 0, garbage_ = 0;
  bool turn_armed_ = false;
  actor::Timer turn_timer_;
};

}  // namespace shunt::front
