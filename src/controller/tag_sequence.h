/// Tags: values by which a process recognizes its own writes.
#pragma once
#include <cstdint>
#include <string>

#include "controller/components.h"

namespace shunttrail::controller {

/// Generates the tags of one writer of this process. No tag is generated twice, not even by another
/// process (Membership::tag). A tag that is found in the state service therefore proves that the
/// write with that tag was applied.
class TagSequence {
 public:
  /// `letter` distinguishes the writers of one process.
  TagSequence(const ControllerComponents& components, char letter)
      : components_(components), letter_(letter) {}

  /// Returns the next tag. Must not be called before the process has an id
  /// (Membership::process_id).
  [[nodiscard]] std::string next();

 private:
  const ControllerComponents& components_;
  const char letter_;
  std::uint64_t count_ = 0;
};

}  // namespace shunttrail::controller
