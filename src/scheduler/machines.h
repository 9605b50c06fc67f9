// The machines of a shard: the table of them, their free capacity, and the changes of their state
// that follow from their heartbeats and tasks. Free of I/O.
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

/// The table of machines, by number and by name, and, for each tier, the learned time for which an
/// idle machine is kept.
class Machines {
 public:
  using Ptr = std::unique_ptr<Machine>;
  explicit Machines(ShardContext& context) : context_(context) {}

  // ---- the table

  /// Returns the machines with their numbers, in ascending order of the numbers. This is the order
  /// in which they were ordered, and in which the chain considers them.
  [[nodiscard]] const std::vector<std::pair<int, Ptr>>& all() const { return all_; }
  /// Returns the machine of this name, or null if it is unknown.
  [[nodiscard]] Machine* find(const std::string& name) const;
  /// Returns the machine of this number, or null if there is none.
  [[nodiscard]] Machine* at(int number) const;
  [[nodiscard]] bool contains(const std::string& name) const { return by_name_.contains(name); }
  /// Returns the number of machines that have a name; machines on order have none.
  [[nodiscard]] std::size_t named_count() const { return by_name_.size(); }
  /// Adds a machine without a name. The reference is valid until the machine is erased.
  Machine& add(int tier, int zone);
  /// Records that the machine has been rented under this name and boots.
  void mark_booting(Machine& machine, const std::string& name, double now);
  /// Adds a machine that the inventory assigns to this shard. Returns false if it was known; it is
  /// then only marked as recorded in the inventory.
  bool add_recorded(const wire::MachineRecord& record, double now);
  /// Removes a machine. Its placements must have been released, and its queue must be empty.
  void erase(int number);

  // ---- capacity and constraints

  /// Returns the machine's capacity less the resources of its placements.
  [[nodiscard]] jobs::Resources free_capacity(const Machine& machine) const;
  /// Returns the free capacity that a task of this band may use. Only urgent tasks may use the
  /// resources that are reserved for them (Machine::reserved).
  [[nodiscard]] jobs::Resources free_capacity(const Machine& machine, int priority_band) const;
  /// Returns whether the machine has the image, or is fetching it.
  [[nodiscard]] static bool warm(const Machine& machine, int image);
  /// Returns whether the job's tasks may run on machines of the type and kind.
  [[nodiscard]] bool type_ok(const jobs::Job& job, int type, bool spot) const;
  /// Returns whether one more of the job's tasks may be placed in the zone.
  [[nodiscard]] bool allows_zone(const jobs::Job& job, int zone) const;
  /// Returns whether one more of the job's tasks may be placed on the machine, provided that it has
  /// enough free capacity.
  [[nodiscard]] bool usable(const Machine& machine, const jobs::Job& job, double now) const;

  // ---- heartbeats and images

  /// Updates the machine's own state from a heartbeat. Returns true if this is the first heartbeat
  /// with the notice that the cloud will take the machine away.
  bool heartbeat_received(Machine& machine, const wire::Heartbeat& heartbeat,
                          bool is_new_incarnation, double now);
  /// Records that the machine uses the image.
  void note_image(Machine& machine, int image);

  // ---- the wait before an idle machine is returned (DESIGN point 7)

  /// Records that a task is assigned to the machine, which ends its idle time if it was idle.
  void reused(const Machine& machine, double now);
  /// Records that a machine of the tier is ordered. If one was returned before because it was idle,
  /// the learner of the wait takes that return as too early.
  void rented_again(int tier, double now);
  /// Returns the learned wait of each tier, in seconds.
  [[nodiscard]] std::vector<double> idle_waits() const;
  /// Marks the machine for its return if it has been idle for longer than its tier's wait.
  void return_idle(Machine& machine, double now);

 private:
  const MachineCatalogue::Type& type_of(const Machine& machine) const;
  chain::IdleWait& idle_wait(int tier);

  ShardContext& context_;
  int next_number_ = 1;
  std::vector<std::pair<int, Ptr>> all_;
  std::vector<Machine*> by_number_;  // null: erased
  std::unordered_map<std::string, int> by_name_;
  std::map<int, chain::IdleWait> idle_waits_;  // by tier
  // By tier: when the machine that was last returned for idleness had become idle.
  std::map<int, double> last_returned_idle_at_;
};

}  // namespace shunttrail::scheduler
