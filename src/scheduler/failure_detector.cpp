#include "scheduler/failure_detector.h"

#include <algorithm>

namespace shunttrail::scheduler {

namespace {
/// Probes in flight at the same time: one for so many machines of the shard, some at least. Every
/// machine with replicas is asked once between two heartbeats (suspected), the first ones first,
/// and one that does not answer keeps its place for a second. With 24, of 4,000 machines the last
/// ones were never asked; with 333, five passes a second ask 1,665, and 1,333 report, at 3 s
/// between heartbeats.
constexpr std::size_t kMachinesPerProbe = 12;
constexpr std::size_t kMinProbesInFlight = 24;
/// Unanswered probes in a row before a machine is given up on.
constexpr int kUnansweredBeforeFailure = 2;
/// Pause, in seconds, between two probes of a machine.
constexpr double kProbeIntervalS = 0.2;
/// A machine that has not been heard for so long is suspected.
constexpr double kSilenceBeforeSuspicionS = 3;
/// The same, in intervals between heartbeats, where those are short.
constexpr double kSilentHeartbeatsBeforeSuspicion = 0.6;
/// Workers report after a heartbeat interval, give or take a quarter; and a second on the way.
constexpr double kMaxHeartbeatJitter = 1.25;
constexpr double kHeartbeatMarginS = 1;
/// How long a machine that loses responses gets no new work, in intervals between heartbeats.
constexpr double kAvoidHeartbeats = 1.5;
/// Another machine of the zone must have answered a probe so lately.
constexpr double kZoneAnsweredWithinS = 4;
/// Machines given up on within a lease: this share of the shard's, but some at least.
constexpr double kMaxFailedShare = 0.15;
constexpr double kMinFailedLimit = 3;
}  // namespace

bool FailureDetector::is_silent(const Machine& machine, double now) const {
  return now - machine.last_heartbeat >
         kMaxHeartbeatJitter * context_.settings.heartbeat_s + kHeartbeatMarginS;
}

// Where heartbeats are far apart a machine is asked in between as well.
bool FailureDetector::is_suspected(const Machine& machine, double now) const {
  const double max_silence_s = std::min(
      kSilenceBeforeSuspicionS, kSilentHeartbeatsBeforeSuspicion * context_.settings.heartbeat_s);
  return now - std::max(machine.last_heartbeat, machine.probe_answered_at) > max_silence_s;
}

bool FailureDetector::loses_responses(const Machine& machine) {
  return machine.lost_responses >= kLostResponsesBeforeSuspicion;
}

// Most of the zone's machines are heard. Where most are silent at once a network is cut, or this
// node stood still: nothing is concluded about one machine, and none is deleted.
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

// Batch tasks lose little by waiting for the proof by silence, and a machine that hangs may go on:
// silence alone is a reason for machines with replicas only.
bool FailureDetector::should_probe(const Machine& machine, double now) const {
  if (machine.lost || machine.zone < 0 || machine.addr.empty() || machine.next_probe_at > now)
    return false;
  if (loses_responses(machine)) return true;
  return is_suspected(machine, now) && machine.has_replicas();
}

std::vector<Probe> FailureDetector::probes(double now) {
  std::vector<Probe> out;
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
    out.push_back({machine->name, machine->addr});
  }
  return out;
}

// A switch that takes hundreds of machines with it must not empty the fleet: beyond a share of it,
// the proof by silence is waited for.
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
    // If its heartbeats do not come here, that is for the relay routes to mend.
    machine.unanswered_probes = machine.lost_responses = 0;
    machine.probe_answered_at = zone_answered_at_[zone] = now;
    return false;
  }
  const bool responses_lost = loses_responses(machine);
  if (!responses_lost && !is_suspected(machine, now)) return false;
  if (machine.lost || ++machine.unanswered_probes < kUnansweredBeforeFailure) return false;
  // Only where others in its zone answer this node, and most of them are heard.
  if (!most_of_zone_heard(machine.zone, now)) return false;
  if (!responses_lost && now - zone_answered_at_[zone] > kZoneAnsweredWithinS) return false;
  if (!may_give_up_another(now)) return false;
  given_up_at_.push_back(now);
  return true;
}

}  // namespace shunttrail::scheduler
