// Machine types as the cloud lists them. Free of I/O.
#pragma once
#include <string>
#include <vector>

#include "config/settings.h"
#include "jobs/job.h"
#include "wire/types.h"

namespace shunttrail::scheduler {

// Machine types, names mapped to dense indices, with the tiers in order of price. A tier is a
// type and a kind (spot or ordinary).
struct MachineCatalogue {
  struct Type {
    wire::MachineType spec;
    jobs::Resources room;
    std::vector<bool> in_zone;
  };
  std::vector<Type> types;
  std::vector<int> tier_order;  // tier id = 2 * type + spot
  double base_rate = 0;         // cheapest tier's price a second

  void load(const std::vector<wire::MachineType>& list, const config::Settings& s);
  int type_index(const std::string& name) const;
  double rate(int tier) const;  // price a second
  // A task of the job may run on the tier's machines, as far as type, kind and size go.
  bool accepts(int tier, const wire::JobSpec& job, const jobs::Resources& need) const;
  // What a machine of the type counts for where machines are shared out: in those of the first
  // type, by vcpus.
  double units(int type) const;
  bool empty() const { return types.empty(); }
};

}  // namespace shunttrail::scheduler
