// The machines of a shard: which there are, what they can take, and how they come and go. Free of
// I/O.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "scheduler/machine_queue.h"
#include "scheduler/placement.h"
#include "scheduler/shard_context.h"
#include "shard/balance.h"
#include "wire/types.h"

namespace shunttrail::scheduler {

// A machine, with what may run on it and what waits for it: two parts that are others' to change.
// What every walk through the chain asks of every machine comes first: a fleet is hundreds of them.
struct Machine {
  int number = 0;
  int type = -1, zone = -1;
  bool spot = false;
  bool leaving = false;   // to be given back: nothing starts here any more
  bool draining = false;  // spot notice
  enum State : std::uint8_t { ordered, booting, up } state = ordered;
  double avoid_until = 0;
  MachineQueue queue;
  MachineTasks tasks;
  jobs::Resources reserved;  // kept free for urgent work
  std::vector<int> images;   // as cached, the latest used last

  std::string name, addr;
  bool announced = false;     // ordered: the request is out
  bool in_inventory = false;  // the inventory holds it: only then may anything be placed on it
  bool returning = false;
  int transfer_to = -1;  // the shard that it goes to once it is empty
  bool lost = false;     // not coming back: its tasks are not waited for
  std::optional<double> notice_s;
  double rented_at = 0, last_heartbeat = 0, last_answer = 0, idle_since = 0;
  double newest_task_at = -1e9;  // when what was heard last came
  bool was_idle = false;
  std::set<std::string> faulty_for;
  int faults = 0;
  // Its reports come, and the answers do not get there: how many in a row show that.
  int losing_responses = 0;
  std::uint64_t answered_token = 0;  // of the latest answer to a report
  bool start_lost = false;           // the latest report does not show a start sent in an answer
  bool probe_out = false;            // asked whether it lives, since it is silent
  int unanswered = 0;                // how often in a row it has not answered that
  double probe_after = 0, known_alive_at = 0;  // when it answered it last
  int tier() const { return 2 * type + (spot ? 1 : 0); }
  // Something may be placed here, as far as the machine itself goes.
  bool accepts_work(double now) const {
    return state == up && !leaving && !draining && avoid_until <= now;
  }
};

// So many reports in a row that show no answer: it is asked whether it hears anything at all.
inline constexpr int kLostResponsesBeforeSuspicion = 2;

struct ScaleOutRequest {
  int tier = 0, zone = 0;
  std::vector<int> machines;  // ordered machines, by number
};

// A change of the inventory that the scheduler asks for.
struct InventoryChange {
  enum Kind { add, transfer, drop } kind = add;
  wire::MachineRecord machine;
  double rented_at = 0;  // add: by the steady clock
};

// What a shard has to give to another one.
struct MachineTransfer {
  int to = 0;
  double amount = 0;           // in machines of the first type, by vcpus
  std::vector<double> useful;  // by tier: how much of what waits there it takes
};

class Machines {
 public:
  using Ptr = std::unique_ptr<Machine>;
  explicit Machines(ShardContext& common) : context_(common) {}

  // In the order they were rented: the chain's order.
  const std::vector<std::pair<int, Ptr>>& all() const { return all_; }
  Machine* find(const std::string& name) const;
  Machine* at(int number) const;
  bool contains(const std::string& name) const { return by_name_.contains(name); }
  std::size_t named() const { return by_name_.size(); }

  // The inventory holds it under this shard. True if it is new here.
  bool known(const wire::MachineRecord& r, double now);
  // Nothing is on it, and nothing waits for it.
  void erase(int number);

  jobs::Resources room(const Machine& m) const;
  // As a task of this band finds it: what is kept free is for urgent ones.
  jobs::Resources room(const Machine& m, int band) const;
  static bool warm(const Machine& m, int image);
  bool type_ok(const jobs::Job& j, int type, bool spot) const;
  bool zone_ok(const jobs::Job& j, int zone) const;
  bool usable(const Machine& m, const jobs::Job& j, double now) const;
  int pick_zone(const jobs::Job& j, int tier, double now) const;  // to rent in; -1: none

  // What reports say of the machine itself. True: it has just had notice that it will be taken.
  bool heartbeat_received(Machine& m, const wire::Heartbeat& r, bool new_session, double now);
  void note_image(Machine& m, int image);
  void note_idle(Machine& m, double now);
  void task_failed(Machine& m, const std::string& job, double now);
  void task_done(Machine& m);
  static void avoid(Machine& m, double until) { m.avoid_until = std::max(m.avoid_until, until); }
  // It is not coming back. False: that was known.
  bool give_up(Machine& m);

  // The learned wait k of a tier (DESIGN point 7).
  chain::IdleWait& idle_wait(int tier);
  void reused(const Machine& m, double now);  // work comes to it, perhaps after it has idled
  std::vector<double> waits() const;
  // Idle for longer than k: to be returned.
  void return_idle(Machine& m, double now);

  // A rent that the chain asks for.
  Machine& order(int tier, int zone, double now);
  // Grouped; `barred`: orders where the cloud has just said that it has none.
  std::vector<ScaleOutRequest> scale_out_requests(double now, std::vector<Machine*>& barred);
  // The numbers of orders that came to nothing.
  std::vector<int> rented(const ScaleOutRequest& w, const std::vector<std::string>& names,
                          double now);
  std::vector<int> refused(const ScaleOutRequest& w, std::size_t from, bool no_capacity,
                           double now);
  std::vector<std::string> machines_to_return();
  void return_failed(const std::string& name);

  // Machines that another shard lacks, marked to go there once they are empty: so much in all, what
  // is marked already included. What is marked beyond that stays, unless it is empty already.
  std::vector<Machine*> transfer(const MachineTransfer& transfer);
  double transferring() const;  // marked to go, in machines of the first type
  using Asked = std::function<bool(const std::string& machine, InventoryChange::Kind, int shard)>;
  std::vector<InventoryChange> inventory_changes(std::uint64_t token, const Asked& asked) const;
  // The shard that it is to go to now: it is marked for that, and nothing is on it or waits for it.
  // -1: none.
  int transfer_target(const std::string& name) const;
  double capacity() const;  // in machines of the first type: up or booting, and staying

 private:
  Machine& add();
  void keep(Machine& m);

  ShardContext& context_;
  int next_number_ = 1;
  std::vector<std::pair<int, Ptr>> all_;
  std::vector<Machine*> by_number_;  // null: gone
  std::unordered_map<std::string, int> by_name_;
  std::map<std::pair<int, int>, double> refused_until_;  // tier, zone
  std::set<std::pair<int, int>> asking_;                 // tier, zone: a rent is out
  // Tier, zone: how many may be ordered at a time, where the cloud has refused lately.
  std::map<std::pair<int, int>, std::size_t> grant_;
  std::map<int, chain::IdleWait> idle_;  // by tier
  std::map<int, double> last_returned_;  // by tier: when a returned one went idle
};

// What a task takes of a machine of this size, the greater share of the two.
double share_of(const jobs::Resources& a, const jobs::Resources& one);

}  // namespace shunttrail::scheduler
