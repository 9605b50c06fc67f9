/// Tags: the values by which a process recognizes what it has written itself.
#pragma once
#include <cstdint>
#include <string>

#include "controller/components.h"

namespace shunttrail::controller {

/// Hands out the tags of one writer of this process. No tag is handed out twice, not by other
/// processes either (Membership::tag), so a tag found in the state service proves that the write
/// that carried it was applied.
class TagSequence {
 public:
  /// `letter` tells the writers of one process apart.
  TagSequence(const ControllerComponents& components, char letter)
      : components_(components), letter_(letter) {}

  /// The next tag. Valid only while the process has an id (Membership::process_id).
  [[nodiscard]] std::string next();

 private:
  const ControllerComponents& components_;
  const char letter_;
  std::uint64_t count_ = 0;
};

}  // namespace shunttrail::controller
