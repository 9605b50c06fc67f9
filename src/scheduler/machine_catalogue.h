// The catalogue of machine types that the cloud offers, and their tiers by price. Free of I/O.
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
    /// What tasks may take of an empty machine.
    jobs::Resources capacity;
    /// By zone: the cloud offers the type there.
    std::vector<bool> in_zone;
  };
  std::vector<Type> types;
  /// Numbers of the tiers, the cheapest first.
  std::vector<int> tier_order;
  /// The cheapest tier's price a second.
  double base_rate = 0;

  /// Takes over the cloud's list. Types keep their indices, since machines refer to them; a type
  /// that is not listed any more stays.
  void load(const std::vector<wire::MachineType>& list, const config::Settings& settings);
  /// -1: unknown.
  [[nodiscard]] int type_index(const std::string& name) const;
  /// The tier's price a second.
  [[nodiscard]] double rate(int tier) const;
  /// A task of the job may run on the tier's machines, as far as type, kind and size go.
  [[nodiscard]] bool accepts(int tier, const wire::JobSpec& job, const jobs::Resources& need) const;
  /// What a machine of the type counts for where machines are shared out: in machines of the first
  /// type, by vcpus.
  [[nodiscard]] double units(int type) const;
  [[nodiscard]] bool empty() const { return types.empty(); }
};

}  // namespace shunttrail::scheduler
