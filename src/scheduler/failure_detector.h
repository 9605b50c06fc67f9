// Failure detection: machines with replicas that have gone silent are asked whether they are alive,
// long before silence alone is a proof. One that is given up on is deleted, and the answer to the
// deletion is the proof that its tasks are gone (docs/safety.md). Free of I/O.
#pragma once
#include <string>
#include <vector>

#include "scheduler/machines.h"
#include "scheduler/shard_context.h"

namespace shunttrail::scheduler {

/// A machine to be asked for its state (GET /status).
struct Probe {
  std::string machine, addr;
};

/// Chooses the machines to probe, and decides from the probes' outcome which have failed.
class FailureDetector {
 public:
  FailureDetector(ShardContext& context, Machines& machines)
      : context_(context),
        machines_(machines),
        zone_answered_at_(context.settings.zones.size(), -1e9) {}

  /// A heartbeat, and whether it shows that the response to an earlier one was lost. Such a machine
  /// looks alive for ever, while every start on it is lost: nothing new goes there, and it is
  /// probed as a silent one is.
  void heartbeat_received(Machine& machine, bool response_lost, double now) const;
  /// Probes to send now; each is answered by probe_done.
  [[nodiscard]] std::vector<Probe> probes(double now);
  /// True: the machine has not answered, again, and is to be given up on.
  [[nodiscard]] bool probe_done(Machine& machine, bool answered, double now);

 private:
  bool is_silent(const Machine& machine, double now) const;
  bool is_suspected(const Machine& machine, double now) const;
  static bool loses_responses(const Machine& machine);
  bool should_probe(const Machine& machine, double now) const;
  bool most_of_zone_heard(int zone, double now) const;
  bool may_give_up_another(double now);

  ShardContext& context_;
  Machines& machines_;
  // Steady times, in seconds.
  std::vector<double> zone_answered_at_;  // by zone: when a machine there answered a probe last
  std::vector<double> given_up_at_;       // of the machines given up on within a lease
};

}  // namespace shunttrail::scheduler
