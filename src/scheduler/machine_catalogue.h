// The machine types that the cloud offers, and their tiers in order of price. Free of I/O.
#pragma once
#include <string>
#include <vector>

#include "config/settings.h"
#include "jobs/job.h"
#include "wire/types.h"

namespace shunttrail::scheduler {

/// Machine types by dense index, with the tiers in order of price. A tier is a type and a kind
/// (spot or ordinary); its number is 2 * type + (spot ? 1 : 0).
struct MachineCatalogue {
  struct Type {
    wire::MachineType spec;
    /// The resources that an empty machine of the type has for tasks.
    jobs::Resources capacity;
    /// By zone: whether the cloud offers the type there.
    std::vector<bool> in_zone;
  };
  std::vector<Type> types;
  /// Numbers of the tiers, the cheapest first.
  std::vector<int> tier_order;
  /// Price of the cheapest tier, per second.
  double base_rate = 0;

  /// Takes the types over from the cloud's list. Types keep their indices, since machines refer to
  /// them; a type that is no longer listed stays.
  void load(const std::vector<wire::MachineType>& list, const config::Settings& settings);
  /// Returns the type's dense index, or -1 if it is unknown.
  [[nodiscard]] int type_index(const std::string& name) const;
  /// Returns the tier's price per second.
  [[nodiscard]] double rate(int tier) const;
  /// Returns whether the type, kind and size of the tier's machines suit a task of the job.
  [[nodiscard]] bool accepts(int tier, const wire::JobSpec& job, const jobs::Resources& need) const;
  /// Returns the number of machines of the first type that a machine of this type counts as, by
  /// vcpus, where machines are divided between shards.
  [[nodiscard]] double units(int type) const;
  [[nodiscard]] bool empty() const { return types.empty(); }
};

}  // namespace shunttrail::scheduler
