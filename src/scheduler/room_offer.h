// Free capacity on machines of another shard that its leader offers for tasks of this shard
// (docs/delegation.md).
#pragma once
#include "jobs/job.h"

namespace shunttrail::scheduler {

/// Free capacity of one machine.
struct RoomOffer {
  /// The shard to which the machine belongs.
  int shard = -1;
  /// Dense indices in MachineCatalogue and Settings::zones.
  int type = -1, zone = -1;
  bool spot = false;
  jobs::Resources room;
};

}  // namespace shunttrail::scheduler
