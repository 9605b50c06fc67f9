// Machines with replicas that have gone silent: whether they are dead is found out by asking them,
// long before silence alone is a proof. One that is given up on is deleted, and the deletion's
// answer is the proof that its tasks are gone (docs/safety.md). Free of I/O.
#pragma once
#include <string>
#include <vector>

#include "scheduler/machines.h"
#include "scheduler/shard_context.h"

namespace shunttrail::scheduler {

// A machine to be asked for its state (GET /status).
struct Probe {
  std::string machine, addr;
};

class FailureDetector {
 public:
  FailureDetector(ShardContext& common, Machines& machines)
      : context_(common), machines_(machines), zone_heard_at_(common.settings.zones.size(), -1e9) {}

  // A report, and whether it shows that the answer to an earlier one did not get there. Such a
  // machine looks alive for ever, while every start on it is lost: nothing new goes there, and it
  // is asked as a silent one is.
  void heartbeat_received(Machine& m, bool answer_lost, double now);
  // Each is answered by `answered`.
  std::vector<Probe> probes(double now);
  // True: it has not answered, again, and is to be given up on.
  bool probe_done(Machine& m, bool yes, double now);

 private:
  bool silent(const Machine& m, double now) const;
  bool suspected(const Machine& m, double now) const;
  bool zone_heard(int zone, double now) const;

  ShardContext& context_;
  Machines& machines_;
  std::vector<double> zone_heard_at_;  // by zone: when a machine there answered last
  std::vector<double> given_up_at_;    // when, lately
};

}  // namespace shunttrail::scheduler
