#include "scheduler/failure_detector.h"

#include <algorithm>

namespace shunt::fleet {

namespace {
constexpr std::size_t kProbesOut = 24;       // at the same time
constexpr int kUnanswered = 2;               // probes in a row, before a machine is given up on
constexpr double kGap = 0.2;                 // between two probes of a machine
constexpr double kQuiet = 3;                 // a machine not heard for so long is asked
constexpr double kReached = 4;               // another one of its zone has answered so lately
constexpr double kShare = 0.15, kLeast = 3;  // of the machines, given up on within a lease
}  // namespace

// Workers report every report_s, give or take a quarter.
bool Doubts::silent(const Machine& m, double now) const {
  return now - m.last_report > 1.25 * common_.settings.report_s + 1;
}
// Where reports are far apart a machine is asked in between as well.
bool Doubts::quiet(const Machine& m, double now) const {
  return now - std::max(m.last_report, m.alive_at) > std::min(kQuiet, 0.6 * common_.settings.report_s);
}

// The zone's machines are heard, by and large. Where most are silent at once a network is cut, or
// this node stood still: nothing is concluded of one machine, and none is deleted.
bool Doubts::zone_heard(int zone, double now) const {
  std::size_t all = 0, heard = 0;
  for (const auto& [n, m] : machines_.all()) {
    if (m->state != Machine::up || m->zone != zone || m->lost) continue;
    ++all;
    heard += !m->unanswered && m->deaf < kDeaf && !silent(*m, now);
  }
  return heard > 0 && 2 * heard >= all;
}

void Doubts::note(Machine& m, bool answer_lost, double now) {
  m.deaf = answer_lost ? m.deaf + 1 : std::max(0, m.deaf - 1);
  if (m.deaf >= kDeaf) Machines::avoid(m, now + 1.5 * common_.settings.report_s);
}

std::vector<Probe> Doubts::probes(double now) {
  std::vector<Probe> out;
  std::size_t busy = 0;
  for (const auto& [n, m] : machines_.all()) {
    if (busy >= kProbesOut) break;
    busy += m->probe_out;
    if (m->probe_out || m->lost || m->zone < 0 || m->addr.empty() || m->probe_after > now) continue;
    // Arrays lose little by waiting for the proof by silence, and a machine that hangs may go on.
    const bool replicas =
        std::any_of(m->placed.list.begin(), m->placed.list.end(),
                    [](const Placement& p) { return p.job->spec.service && !p.released; });
    if (m->deaf < kDeaf && !(replicas && quiet(*m, now))) continue;
    m->probe_out = true;
    ++busy;
    out.push_back({m->name, m->addr});
  }
  return out;
}

bool Doubts::answered(Machine& m, bool yes, double now) {
  m.probe_out = false;
  m.probe_after = now + kGap;
  const auto zone = static_cast<std::size_t>(m.zone);
  if (yes) {
    // If its reports do not come here, that is for the detours to mend.
    m.unanswered = m.deaf = 0;
    m.alive_at = reached_[zone] = now;
    return false;
  }
  const bool deaf = m.deaf >= kDeaf;
  if (!(deaf || quiet(m, now)) || m.lost || ++m.unanswered < kUnanswered) return false;
  // Only where others in its zone answer this node, and are heard by and large.
  if (!zone_heard(m.zone, now) || (!deaf && now - reached_[zone] > kReached)) return false;
  // A switch that takes hundreds with it must not empty the fleet: beyond a share of it, the proof
  // by silence is waited for.
  std::erase_if(given_up_, [&](double at) { return now - at > common_.settings.lease_s; });
  const double most = std::max(kLeast, kShare * static_cast<double>(machines_.named()));
  if (static_cast<double>(given_up_.size()) >= most) return false;
  given_up_.push_back(now);
  return true;
}

}  // namespace shunt::fleet
