// A page of the inventory as a set of machines, kept in one value or in several parts, in the form
// of the active state level. Free of I/O.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "schema/schema.h"
#include "state/state_cache.h"
#include "wire/types.h"

namespace shunttrail::shard {

class InventoryPage {
 public:
  InventoryPage(const state::StateCache& world, int page);
  const wire::MachineRecord* find(const std::string& name) const;
  void set(const wire::MachineRecord& m);  // added, or changed where it is
  void drop(const std::string& name);
  // Parts that stand in another form than the active level's are written anew.
  void convert();
  // Where it is not recorded when a machine was rented: what is known of it here, or 0.
  void record_ages(const std::function<double(const std::string&)>& rented_at);
  // What has to be written, no value longer than `value_bytes`. A part that has become too long
  // gives what does not fit to others in the same transaction, so that no machine is unrecorded
  // for a moment. Every part is guarded, the next one that could be begun too: else two nodes
  // could enter the same machine into two of them. So is the level that the form was asked of.
  wire::Transaction changes(std::size_t value_bytes, const std::string& tag);

 private:
  struct Part {
    std::vector<wire::MachineRecord> machines;  // by name
    bool changed = false;
    int form = 0;  // as it stands
  };
  void put(std::size_t part, const wire::MachineRecord& m);

  const state::StateCache& world_;
  const schema::FeatureGate feature_gate_;
  const int form_;  // to be written in
  int page_;
  std::vector<Part> parts_;
};

}  // namespace shunttrail::shard
