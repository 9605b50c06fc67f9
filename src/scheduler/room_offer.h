// Room on machines of another shard that its leader offers for tasks of this one
// (docs/delegation.md).
#pragma once
#include "jobs/job.h"

namespace shunttrail::scheduler {

/// Room of one machine.
struct RoomOffer {
  /// The shard that the machine belongs to.
  int shard = -1;
  /// Dense indices (MachineCatalogue, Settings::zones).
  int type = -1, zone = -1;
  bool spot = false;
  jobs::Resources room;
};

}  // namespace shunttrail::scheduler
