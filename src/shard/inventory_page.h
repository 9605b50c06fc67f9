/// @file
/// A page of the machine inventory as a set of machines, stored in one value or in several parts,
/// in the form of the active state level (docs/schema.md). Free of I/O.
#pragma once
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "schema/schema.h"
#include "state/state_cache.h"
#include "wire/types.h"

namespace shunttrail::shard {

/// A page that is being changed. It starts with what the cache holds.
class InventoryPage {
 public:
  /// `cache` has to outlive the page, and must not change meanwhile.
  InventoryPage(const state::StateCache& cache, int page);

  /// A machine of this page; nullptr: there is none of this name.
  [[nodiscard]] const wire::MachineRecord* find(const std::string& name) const;
  /// Adds a machine, or replaces the record that there is.
  void set(const wire::MachineRecord& machine);
  /// Removes a machine, if it is there.
  void drop(const std::string& name);
  /// Has the parts that are stored in another form than the active level's written again.
  void convert();
  /// Fills in when machines were rented where that is not recorded. `rented_at` gives the time of
  /// day in seconds, or 0 where it is not known.
  void fill_rental_times(const std::function<double(const std::string&)>& rented_at);

  /// The transaction that stores the changes; without operations if they have no room in the page.
  /// No value is longer than `value_bytes`: what does not fit a part moves to others in the same
  /// transaction, so that no machine is unrecorded for a moment. The preconditions hold every part,
  /// also the next one that could be begun, since otherwise two nodes could enter one machine into
  /// two of them, and the level that decided the form. `tag` names the transaction.
  wire::Transaction changes(std::size_t value_bytes, const std::string& tag);

 private:
  struct Part {
    std::vector<wire::MachineRecord> machines;  ///< in order of their names
    bool is_changed = false;
    int form = 0;  ///< in which it is stored
  };
  void insert_machine(std::size_t part, const wire::MachineRecord& machine);
  [[nodiscard]] std::string key(std::size_t part) const;
  [[nodiscard]] std::string encode_part(const Part& part, const std::string& tag) const;
  /// Moves machines out of parts that are too long; false: there is no room.
  bool shrink_parts(std::size_t value_bytes, const std::string& tag);
  /// The first other part that has room for the machine, or the number of the next part to begin.
  [[nodiscard]] std::size_t part_with_capacity(std::size_t except,
                                               const wire::MachineRecord& machine,
                                               std::size_t value_bytes,
                                               const std::string& tag) const;

  const state::StateCache& cache_;
  const schema::FeatureGate feature_gate_;
  const int form_;  ///< in which it is to be written
  int page_;
  std::vector<Part> parts_;
};

}  // namespace shunttrail::shard
