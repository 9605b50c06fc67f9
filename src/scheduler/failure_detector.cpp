#include "scheduler/failure_detector.h"

#include <algorithm>

namespace shunttrail::scheduler {

namespace {
/// Largest number of probes in flight: one for this many machines of the shard, but at least
/// kMinProbesInFlight. Every machine with replicas is probed once between two heartbeats
/// (is_suspected), in the order of the machines' numbers, and a probe without an answer counts as
/// in flight for a second. With a limit of 24, the last of 4,000 machines were never probed. With
/// 333, five passes a second send up to 1,665 probes, and 1,333 machines send a heartbeat each
/// second at 3 s between heartbeats.
constexpr std::size_t kMachinesPerProbe = 12;
constexpr std::size_t kMinProbesInFlight = 24;
/// Number of consecutive unanswered probes after which a machine is given up on.
constexpr int kUnansweredBeforeFailure = 2;
/// Pause, in seconds, between two probes of a machine.
constexpr double kProbeIntervalS = 0.2;
/// Time without a message, in seconds, after which a machine is suspected to have failed.
constexpr double kSilenceBeforeSuspicionS = 3;
/// The same in heartbeat intervals; it applies where those are short.
constexpr double kSilentHeartbeatsBeforeSuspicion = 0.6;
/// The interval between two heartbeats of a worker varies by up to a quarter, and a heartbeat takes
/// up to a second to arrive.
constexpr double kMaxHeartbeatJitter = 1.25;
constexpr double kHeartbeatMarginS = 1;
/// Time, in heartbeat intervals, for which a machine that loses responses gets no new tasks.
constexpr double kAvoidHeartbeats = 1.5;
/// Time, in seconds, within which another machine of the zone must have answered a probe.
constexpr double kZoneAnsweredWithinS = 4;
/// Largest number of machines given up on within the duration of a lease: this share of the shard's
/// machines, but at least kMinFailedLimit.
constexpr double kMaxFailedShare = 0.15;
constexpr double kMinFailedLimit = 3;
}  // namespace

bool FailureDetector::is_silent(const Machine& machine, double now) const {
  return now - machine.last_heartbeat >
         kMaxHeartbeatJitter * context_.settings.heartbeat_s + kHeartbeatMarginS;
}

// If heartbeats are far apart, a machine becomes suspected, and is probed, between two of them.
bool FailureDetector::is_suspected(const Machine& machine, double now) const {
  const double max_silence_s = std::min(
      kSilenceBeforeSuspicionS, kSilentHeartbeatsBeforeSuspicion * context_.settings.heartbeat_s);
  return now - std::max(machine.last_heartbeat, machine.probe_answered_at) > max_silence_s;
}

bool FailureDetector::loses_responses(const Machine& machine) {
  return machine.lost_responses >= kLostResponsesBeforeSuspicion;
}

// Returns whether at least half of the zone's machines that are up send heartbeats and answer. If
// most are silent at once, the network is cut or this node was suspended: nothing is concluded
// about a single machine, and none is deleted.
bool FailureDetector::most_of_zone_heard(int zone, double now) const {
  std::size_t all = 0;
  std::size_t heard = 0;
  for (const auto& [number, machine] : machines_.all()) {
    if (machine->state != Machine::up || machine->zone != zone || machine->lost) continue;
    ++all;
    if (!machine->unanswered_probes && !loses_responses(*machine) && !is_silent(*machine, now))
      ++heard;
  }
  return heard > 0 && 2 * heard >= all;
}

void FailureDetector::heartbeat_received(Machine& machine, bool response_lost, double now) const {
  int& lost = machine.lost_responses;
  lost = response_lost ? lost + 1 : std::max(0, lost - 1);
  if (loses_responses(machine))
    machine.avoid(now + kAvoidHeartbeats * context_.settings.heartbeat_s);
}

// Silence is a reason for a probe only on machines with replicas. Batch tasks lose little by
// waiting until silence proves that they have stopped, and a machine that hangs may continue.
bool FailureDetector::should_probe(const Machine& machine, double now) const {
  if (machine.lost || machine.zone < 0 || machine.addr.empty() || machine.next_probe_at > now)
    return false;
  if (loses_responses(machine)) return true;
  return is_suspected(machine, now) && machine.has_replicas();
}

std::vector<Probe> FailureDetector::probes(double now) {
  std::vector<Probe> due_probes;
  const std::size_t max_in_flight =
      std::max(kMinProbesInFlight, machines_.named_count() / kMachinesPerProbe);
  std::size_t in_flight = 0;
  for (const auto& [number, machine] : machines_.all()) {
    if (in_flight >= max_in_flight) break;
    if (machine->probe_in_flight) {
      ++in_flight;
      continue;
    }
    if (!should_probe(*machine, now)) continue;
    machine->probe_in_flight = true;
    ++in_flight;
    due_probes.push_back({machine->name, machine->addr});
  }
  return due_probes;
}

// Returns whether one more machine may be given up on now. A network switch that fails and cuts off
// hundreds of machines must not empty the cluster: beyond a share of the machines, the leader waits
// until silence proves that the tasks have stopped.
bool FailureDetector::may_give_up_another(double now) {
  std::erase_if(given_up_at_, [&](double at) { return now - at > context_.settings.lease_s; });
  const double limit =
      std::max(kMinFailedLimit, kMaxFailedShare * static_cast<double>(machines_.named_count()));
  return static_cast<double>(given_up_at_.size()) < limit;
}

bool FailureDetector::probe_done(Machine& machine, bool answered, double now) {
  machine.probe_in_flight = false;
  machine.next_probe_at = now + kProbeIntervalS;
  const auto zone = static_cast<std::size_t>(machine.zone);
  if (answered) {
    // If the machine's heartbeats do not reach this node, the relay routes have to solve that.
    machine.unanswered_probes = machine.lost_responses = 0;
    machine.probe_answered_at = zone_answered_at_[zone] = now;
    return false;
  }
  const bool responses_lost = loses_responses(machine);
  if (!responses_lost && !is_suspected(machine, now)) return false;
  if (machine.lost || ++machine.unanswered_probes < kUnansweredBeforeFailure) return false;
  // A machine is given up on only if other machines in its zone answer this node's probes, and most
  // of them send heartbeats.
  if (!most_of_zone_heard(machine.zone, now)) return false;
  if (!responses_lost && now - zone_answered_at_[zone] > kZoneAnsweredWithinS) return false;
  if (!may_give_up_another(now)) return false;
  given_up_at_.push_back(now);
  return true;
}

}  // namespace shunttrail::scheduler
