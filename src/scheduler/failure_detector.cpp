#include "scheduler/failure_detector.h"

#include <algorithm>

namespace shunttrail::scheduler {

namespace {
// Probes at the same time: one for so many machines of the shard, 24 at least. Every machine with
// replicas is asked once between two heartbeats (quiet), the first ones first, and one that does
// not answer keeps its place for a second. At 24, of 4,000 machines the last ones were never asked;
// at 333, five looks a second ask 1,665, and 1,333 report, at 3 s between heartbeats.
constexpr std::size_t kMachinesPerProbe = 12;
constexpr std::size_t kProbesLeast = 24;
constexpr int kUnanswered = 2;               // probes in a row, before a machine is given up on
constexpr double kGap = 0.2;                 // between two probes of a machine
constexpr double kQuiet = 3;                 // a machine not heard for so long is asked
constexpr double kReached = 4;               // another one of its zone has answered so lately
constexpr double kShare = 0.15, kLeast = 3;  // of the machines, given up on within a lease
}  // namespace

// Workers report every report_s, give or take a quarter.
bool FailureDetector::silent(const Machine& m, double now) const {
  return now - m.last_heartbeat > 1.25 * context_.settings.heartbeat_s + 1;
}
// Where reports are far apart a machine is asked in between as well.
bool FailureDetector::suspected(const Machine& m, double now) const {
  return now - std::max(m.last_heartbeat, m.known_alive_at) >
         std::min(kQuiet, 0.6 * context_.settings.heartbeat_s);
}

// The zone's machines are heard, by and large. Where most are silent at once a network is cut, or
// this node stood still: nothing is concluded of one machine, and none is deleted.
bool FailureDetector::zone_heard(int zone, double now) const {
  std::size_t all = 0, heard = 0;
  for (const auto& [n, m] : machines_.all()) {
    if (m->state != Machine::up || m->zone != zone || m->lost) continue;
    ++all;
    heard +=
        !m->unanswered && m->losing_responses < kLostResponsesBeforeSuspicion && !silent(*m, now);
  }
  return heard > 0 && 2 * heard >= all;
}

void FailureDetector::heartbeat_received(Machine& m, bool answer_lost, double now) {
  m.losing_responses = answer_lost ? m.losing_responses + 1 : std::max(0, m.losing_responses - 1);
  if (m.losing_responses >= kLostResponsesBeforeSuspicion)
    Machines::avoid(m, now + 1.5 * context_.settings.heartbeat_s);
}

std::vector<Probe> FailureDetector::probes(double now) {
  std::vector<Probe> out;
  const std::size_t most = std::max(kProbesLeast, machines_.named() / kMachinesPerProbe);
  std::size_t busy = 0;
  for (const auto& [n, m] : machines_.all()) {
    if (busy >= most) break;
    busy += m->probe_out;
    if (m->probe_out || m->lost || m->zone < 0 || m->addr.empty() || m->probe_after > now) continue;
    // Arrays lose little by waiting for the proof by silence, and a machine that hangs may go on.
    const bool replicas =
        std::any_of(m->tasks.placements.begin(), m->tasks.placements.end(),
                    [](const Placement& p) { return p.job->spec.service && !p.released; });
    if (m->losing_responses < kLostResponsesBeforeSuspicion && !(replicas && suspected(*m, now)))
      continue;
    m->probe_out = true;
    ++busy;
    out.push_back({m->name, m->addr});
  }
  return out;
}

bool FailureDetector::probe_done(Machine& m, bool yes, double now) {
  m.probe_out = false;
  m.probe_after = now + kGap;
  const auto zone = static_cast<std::size_t>(m.zone);
  if (yes) {
    // If its reports do not come here, that is for the relay routes to mend.
    m.unanswered = m.losing_responses = 0;
    m.known_alive_at = zone_heard_at_[zone] = now;
    return false;
  }
  const bool deaf = m.losing_responses >= kLostResponsesBeforeSuspicion;
  if (!(deaf || suspected(m, now)) || m.lost || ++m.unanswered < kUnanswered) return false;
  // Only where others in its zone answer this node, and are heard by and large.
  if (!zone_heard(m.zone, now) || (!deaf && now - zone_heard_at_[zone] > kReached)) return false;
  // A switch that takes hundreds with it must not empty the fleet: beyond a share of it, the proof
  // by silence is waited for.
  std::erase_if(given_up_at_, [&](double at) { return now - at > context_.settings.lease_s; });
  const double most = std::max(kLeast, kShare * static_cast<double>(machines_.named()));
  if (static_cast<double>(given_up_at_.size()) >= most) return false;
  given_up_at_.push_back(now);
  return true;
}

}  // namespace shunttrail::scheduler
