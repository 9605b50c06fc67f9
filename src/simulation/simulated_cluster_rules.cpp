// The rules, as they show on the machines.
#include <algorithm>

#include "simulation/simulated_cluster.h"

namespace shunttrail::simulation {

using wire::TaskState;

namespace {
constexpr double kNeglected = 90;  // waiting beside room, once faults are over
constexpr double kRoomLook = 1;    // between two looks at the room

bool type_ok(const wire::JobSpec& s, const emulators::WorkerEmulator::Settings& at) {
  return (s.spot || !at.spot) &&
         (!s.types || std::find(s.types->begin(), s.types->end(), at.type) != s.types->end());
}
}  // namespace

void SimulatedCluster::broke(const std::string& what) {
  broken_.push_back("at " + std::to_string(sim_.now()) + ": " + what);
}

void SimulatedCluster::moved(const emulators::WorkerEmulator& w,
                             const emulators::WorkerEmulator::Task& t, TaskState was) {
  const std::string name = name_of(t.id);
  const double told = jobs_[t.id.job].told_cancelled;
  if (t.state == TaskState::fetching) {
    ++starts_;
    begun_again_ += acknowledged_.contains(name);
    if (told >= 0) after_cancel_.obeyed = std::max(after_cancel_.obeyed, sim_.now() - told);
  }
  if (t.state == TaskState::running && told >= 0)
    after_cancel_.begun = std::max(after_cancel_.begun, sim_.now() - told);
  saves_ += t.state == TaskState::saving;
  // As it leaves: between two looks at the machines, too.
  if (was == TaskState::running || was == TaskState::saving) check_cancelled(t);
  if (t.state == TaskState::exited && t.why == wire::ExitReason::done &&
      results_.insert(name).second)
    task_done(t.id.job);
  if (t.state != TaskState::running) return;
  begun_.try_emplace(t.id.job, sim_.now());
  const wire::JobSpec& spec = jobs_[t.id.job].spec;
  std::uint32_t here = 0, elsewhere = 0;  // the job's tasks by zone
  for (const auto& m : machines_) {
    if (!m->worker) continue;
    for (const auto& other : m->worker->tasks()) {
      if (other.state == TaskState::exited || other.state == TaskState::fetching ||
          other.id.job != t.id.job)
        continue;
      ++(m->worker->settings().zone == w.settings().zone ? here : elsewhere);
      if (m->worker.get() != &w && name_of(other.id) == name)
        broke("ran_twice: " + name + " on " + w.settings().name + " and " + m->name);
    }
  }
  if ((spec.same_zone && elsewhere) || (spec.anti_affinity && here > (spec.tasks + 1) / 2) ||
      (spec.zone && *spec.zone != w.settings().zone))
    broke("wrong_place: " + name + " in zone " + w.settings().zone);
  if (!type_ok(spec, w.settings())) broke("wrong_place: " + name + " on type " + w.settings().type);
  // Not a rule of the protocol, but of what users are promised: README, "Jobs that await others".
  for (const auto& a : spec.dependencies)
    for (std::uint32_t i = 0; i < jobs_[a].spec.tasks; ++i)
      if (!results_.contains(name_of({a, i}))) broke("too_early: " + name + " before " + a);
  check();
}

// Rules: quota, ran_cancelled, also of what awaits a cancelled job.
void SimulatedCluster::check() {
  std::map<std::string, double> used;
  for (const auto& m : machines_) {
    if (!m->worker) continue;
    for (const auto& t : m->worker->tasks()) {
      if (t.state == TaskState::exited || t.state == TaskState::fetching) continue;
      const Job& j = jobs_[t.id.job];
      used[j.spec.team] += j.spec.cpus;
      check_cancelled(t);
    }
  }
  for (const auto& [team, cpus] : used)
    if (cpus > options_.team_limit + 1e-9) broke("quota: " + team);
}

// A task that is on a machine, or leaves it in this moment. One that waits for its image is not.
void SimulatedCluster::check_cancelled(const emulators::WorkerEmulator::Task& t) {
  const double told = jobs_[t.id.job].told_cancelled;
  if (told < 0) return;
  const double since = sim_.now() - told;
  after_cancel_.on_machine = std::max(after_cancel_.on_machine, since);
  if (since > options_.cancel_s)
    broke("ran_cancelled: " + name_of(t.id) + ", " + std::to_string(since) +
          " s after its user was told");
}

double SimulatedCluster::cpus_of(const std::string& type) const {
  return type == "t8" ? 2 * options_.machine_cpus : options_.machine_cpus;
}

double SimulatedCluster::used(const std::string& team) const {
  double out = 0;
  for (const auto& m : machines_)
    if (m->worker)
      for (const auto& t : m->worker->tasks())
        if (const Job& j = jobs_.at(t.id.job); t.state != TaskState::exited && j.spec.team == team)
          out += j.spec.cpus;
  return out;
}

// Nothing more stands in the way of its tasks but room and limits.
bool SimulatedCluster::wants_room(const Job& j) const {
  if (!j.accepted || j.told_done >= 0 || cancelled_by_users(j.spec.id)) return false;
  for (const auto& a : j.spec.dependencies)
    for (std::uint32_t i = 0; i < jobs_.at(a).spec.tasks; ++i)
      if (!results_.contains(name_of({a, i}))) return false;
  return true;
}

bool SimulatedCluster::room_for(const std::string& id) const {
  const Job& j = jobs_.at(id);
  if (!wants_room(j) || used(j.spec.team) + j.spec.cpus > options_.team_limit + 1e-9) return false;
  std::map<std::string, int> zones;  // of its own tasks
  for (const auto& m : machines_)
    if (m->worker)
      for (const auto& t : m->worker->tasks())
        zones[m->worker->settings().zone] += t.state != TaskState::exited && t.id.job == id;
  return std::any_of(machines_.begin(), machines_.end(), [&](const auto& m) {
    if (!m->worker) return false;
    const auto& at = m->worker->settings();
    double cpus = cpus_of(at.type);
    for (const auto& t : m->worker->tasks()) {
      if (t.state == TaskState::exited) continue;
      if (jobs_.at(t.id.job).spec.team != j.spec.team) return false;
      cpus -= jobs_.at(t.id.job).spec.cpus;
    }
    const bool elsewhere = std::any_of(zones.begin(), zones.end(), [&](const auto& z) {
      return z.first != at.zone && z.second > 0;
    });
    return cpus + 1e-9 >= j.spec.cpus && type_ok(j.spec, at) &&
           (!j.spec.zone || *j.spec.zone == at.zone) && !(j.spec.same_zone && elsewhere) &&
           !(j.spec.anti_affinity && zones[at.zone] >= static_cast<int>((j.spec.tasks + 1) / 2));
  });
}

// Rule: neglected. A task that waits, and a machine that could take it, both for the same 90 s.
// What a worker has in any state but exited takes room and counts for its team.
void SimulatedCluster::look_at_room() {
  if (faults_over_since_ < 0 || sim_.now() < room_seen_at_ + kRoomLook) return;
  room_seen_at_ = sim_.now();
  struct Room {
    const Machine* machine;
    double cpus, mem_gb;
  };
  std::vector<Room> rooms;
  std::map<std::string, double> used;                         // by team
  std::map<std::string, std::map<std::string, int>> by_zone;  // a job's tasks
  std::set<std::string> placed;
  for (const auto& m : machines_) {
    if (!m->worker) continue;
    Room r{m.get(), cpus_of(m->worker->settings().type), kMemGb};
    for (const auto& t : m->worker->tasks()) {
      if (t.state == TaskState::exited) continue;
      const wire::JobSpec& spec = jobs_[t.id.job].spec;
      r.cpus -= spec.cpus;
      r.mem_gb -= spec.mem_gb;
      used[spec.team] += spec.cpus;
      ++by_zone[t.id.job][m->worker->settings().zone];
      placed.insert(name_of(t.id));
    }
    const double unreached =
        std::max({m->responses_lost_until, m->heartbeats_cut_until, m->held_until, m->hung_until});
    if (unreached <= sim_.now()) rooms.push_back(r);
  }
  std::map<std::pair<std::string, std::string>, double> beside;
  for (const auto& [id, j] : jobs_) {
    if (!wants_room(j)) continue;
    std::vector<std::string> waiting;
    for (std::uint32_t i = 0; i < j.spec.tasks; ++i)
      if (std::string name = name_of({id, i}); !results_.contains(name) && !placed.contains(name))
        waiting.push_back(std::move(name));
    // A gang's tasks begin together.
    const auto at_once = j.spec.gang ? waiting.size() : std::min<std::size_t>(1, waiting.size());
    if (!at_once ||
        used[j.spec.team] + j.spec.cpus * static_cast<double>(at_once) > options_.team_limit + 1e-9)
      continue;
    std::vector<const Machine*> fit;
    std::map<std::string, std::size_t> seats;  // by zone
    for (const Room& r : rooms) {
      const auto& at = r.machine->worker->settings();
      const auto& zones = by_zone[id];
      const int here = zones.contains(at.zone) ? zones.at(at.zone) : 0;
      if (r.cpus + 1e-9 < j.spec.cpus || r.mem_gb + 1e-9 < j.spec.mem_gb) continue;
      if (!type_ok(j.spec, at) || (j.spec.zone && *j.spec.zone != at.zone)) continue;
      if (j.spec.same_zone && !zones.empty() && !here) continue;
      if (j.spec.anti_affinity && here >= static_cast<int>((j.spec.tasks + 1) / 2)) continue;
      fit.push_back(r.machine);
      seats[at.zone] += static_cast<std::size_t>(r.cpus / j.spec.cpus + 1e-9);
    }
    if (j.spec.gang) {
      std::size_t most = 0, all = 0;
      const std::size_t a_zone = j.spec.anti_affinity ? (j.spec.tasks + 1) / 2 : j.spec.tasks;
      for (const auto& [zone, n] : seats) {
        most = std::max(most, std::min(n, a_zone));
        all += std::min(n, a_zone);
      }
      if ((j.spec.same_zone ? most : all) < at_once) continue;
    }
    for (const Machine* m : fit)
      for (const auto& name : waiting) {
        const auto key = std::pair(name, m->name);
        const auto seen = beside_room_.find(key);
        const double since = seen == beside_room_.end() ? sim_.now() : seen->second;
        beside[key] = since;
        if (sim_.now() - since >= kNeglected && neglected_.insert(name).second)
          broke("neglected: " + name + " has waited for 90 s beside room on " + m->name);
      }
  }
  beside_room_ = std::move(beside);
}

}  // namespace shunttrail::simulation
