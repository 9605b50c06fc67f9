// The machines of a shard: which there are, what they can take, and what their heartbeats and tasks
// show of the machines themselves. Free of I/O.
#pragma once
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "chain/bandit.h"
#include "scheduler/machine.h"
#include "scheduler/shard_context.h"
#include "wire/types.h"

namespace shunttrail::scheduler {

/// The table of machines, by number and by name, and the learned wait of idle ones by tier.
class Machines {
 public:
  using Ptr = std::unique_ptr<Machine>;
  explicit Machines(ShardContext& context) : context_(context) {}

  // ---- the table

  /// By number, in the order in which they were rented: the chain's order.
  [[nodiscard]] const std::vector<std::pair<int, Ptr>>& all() const { return all_; }
  /// Null: unknown.
  [[nodiscard]] Machine* find(const std::string& name) const;
  [[nodiscard]] Machine* at(int number) const;
  [[nodiscard]] bool contains(const std::string& name) const { return by_name_.contains(name); }
  /// Number of machines with a name: not of orders.
  [[nodiscard]] std::size_t named_count() const { return by_name_.size(); }
  /// Adds a machine without a name; its pointer holds until it is erased.
  Machine& add(int tier, int zone);
  /// The machine has been rented under this name, and boots.
  void mark_booting(Machine& machine, const std::string& name, double now);
  /// The inventory holds the machine under this shard. True if it is new here.
  bool add_recorded(const wire::MachineRecord& record, double now);
  /// Nothing is on the machine, and nothing waits for it.
  void erase(int number);

  // ---- what a machine can take

  /// Free of placements.
  [[nodiscard]] jobs::Resources free_capacity(const Machine& machine) const;
  /// As a task of this band finds it: what is kept free is for urgent ones.
  [[nodiscard]] jobs::Resources free_capacity(const Machine& machine, int priority_band) const;
  /// The machine has the image, or is fetching it.
  [[nodiscard]] static bool warm(const Machine& machine, int image);
  /// The job's tasks may run on machines of the type and kind.
  [[nodiscard]] bool type_ok(const jobs::Job& job, int type, bool spot) const;
  /// One more of the job's tasks may be placed in the zone.
  [[nodiscard]] bool zone_ok(const jobs::Job& job, int zone) const;
  /// One more of the job's tasks may be placed on the machine, once there is room.
  [[nodiscard]] bool usable(const Machine& machine, const jobs::Job& job, double now) const;

  // ---- what is heard of a machine

  /// What a heartbeat says of the machine itself. True: it has just had notice that it will be
  /// taken.
  bool heartbeat_received(Machine& machine, const wire::Heartbeat& heartbeat,
                          bool is_new_incarnation, double now);
  /// The machine uses the image.
  void note_image(Machine& machine, int image);

  // ---- the wait before an idle machine is returned (DESIGN point 7)

  /// Work comes to the machine, perhaps after it has idled.
  void reused(const Machine& machine, double now);
  /// A machine of the tier is ordered, perhaps after one was returned early.
  void rented_again(int tier, double now);
  /// The learned wait of each tier, in seconds.
  [[nodiscard]] std::vector<double> idle_waits() const;
  /// Marks the machine for its return if it has been idle for longer than the wait.
  void return_idle(Machine& machine, double now);

 private:
  const MachineCatalogue::Type& type_of(const Machine& machine) const;
  chain::IdleWait& idle_wait(int tier);

  ShardContext& context_;
  int next_number_ = 1;
  std::vector<std::pair<int, Ptr>> all_;
  std::vector<Machine*> by_number_;  // null: gone
  std::unordered_map<std::string, int> by_name_;
  std::map<int, chain::IdleWait> idle_waits_;    // by tier
  std::map<int, double> last_returned_idle_at_;  // by tier: when a returned one became idle
};

}  // namespace shunttrail::scheduler
