// Failure detection: silent machines with replicas are probed long before silence alone proves that
// their tasks have stopped. A machine that does not answer is given up on and deleted; the cloud's
// answer to the deletion proves that its tasks no longer run (docs/safety.md). Free of I/O.
#pragma once
#include <string>
#include <vector>

#include "scheduler/machines.h"
#include "scheduler/shard_context.h"

namespace shunttrail::scheduler {

/// A machine to send a status request to (GET /status).
struct Probe {
  std::string machine, addr;
};

/// Chooses the machines to probe, and decides from the outcome of the probes which have failed.
class FailureDetector {
 public:
  FailureDetector(ShardContext& context, Machines& machines)
      : context_(context),
        machines_(machines),
        zone_answered_at_(context.settings.zones.size(), -1e9) {}

  /// Handles a heartbeat. `response_lost`: it shows that the response to an earlier heartbeat was
  /// lost. A machine that receives no responses seems alive for ever, while every start sent to it
  /// is lost: it gets no new tasks, and is probed in the same way as a silent machine.
  void heartbeat_received(Machine& machine, bool response_lost, double now) const;
  /// Returns the probes to send now. The caller reports the outcome of each one to probe_done.
  [[nodiscard]] std::vector<Probe> probes(double now);
  /// Returns true if the machine has failed to answer repeatedly and is to be given up on.
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
  std::vector<double> zone_answered_at_;  // by zone: the latest answer of a machine to a probe
  std::vector<double> given_up_at_;       // for each machine given up on within the last lease_s
};

}  // namespace shunttrail::scheduler
