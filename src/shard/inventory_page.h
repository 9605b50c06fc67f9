/// @file
/// A page of the machine inventory: a set of machines stored in one value or in several parts, in
/// the format of the active schema version (docs/schema.md). Free of I/O.
#pragma once
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "schema/schema.h"
#include "state/state_cache.h"
#include "wire/types.h"

namespace shunttrail::shard {

/// An inventory page that is being edited. It starts with the machines that the cache holds.
class InventoryPage {
 public:
  /// `cache` must outlive the page and must not change during its lifetime.
  InventoryPage(const state::StateCache& cache, int page);

  /// Returns a machine of this page; nullptr if the page has none of this name.
  [[nodiscard]] const wire::MachineRecord* find(const std::string& name) const;
  /// Adds a machine, or replaces its existing record.
  void set(const wire::MachineRecord& machine);
  /// Removes a machine if the page contains it.
  void drop(const std::string& name);
  /// Marks the parts that are stored in an outdated format for rewriting.
  void convert();
  /// Sets the rental times that are not recorded. `rented_at` returns a machine's rental time as
  /// the time of day in seconds, or 0 if it is unknown.
  void fill_rental_times(const std::function<double(const std::string&)>& rented_at);

  /// Returns the transaction that stores the changes; one without operations if the machines do not
  /// fit into the page. No value is longer than `value_bytes`: machines that do not fit into a part
  /// move to other parts in the same transaction, so that each stays recorded throughout. The
  /// preconditions cover every part and the next part that could be added, since otherwise two
  /// nodes could each record the same machine in a different part. They also cover the version
  /// record that selected the format. `tag` names the transaction.
  wire::Transaction changes(std::size_t value_bytes, const std::string& tag);

 private:
  struct Part {
    std::vector<wire::MachineRecord> machines;  ///< sorted by name
    bool is_changed = false;
    int form = 0;  ///< the format in which the part is stored
  };
  void insert_machine(std::size_t part, const wire::MachineRecord& machine);
  [[nodiscard]] std::string key(std::size_t part) const;
  [[nodiscard]] std::string encode_part(const Part& part, const std::string& tag) const;
  /// Moves machines out of parts that are too long. Returns false if no part can take them.
  bool shrink_parts(std::size_t value_bytes, const std::string& tag);
  /// Returns the first other part that can take the machine, or the index of the next part to add.
  [[nodiscard]] std::size_t part_with_capacity(std::size_t except,
                                               const wire::MachineRecord& machine,
                                               std::size_t value_bytes,
                                               const std::string& tag) const;

  const state::StateCache& cache_;
  const schema::FeatureGate feature_gate_;
  const int form_;  ///< the format in which parts are written
  int page_;
  std::vector<Part> parts_;
};

}  // namespace shunttrail::shard
