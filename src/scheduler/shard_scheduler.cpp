#include "scheduler/shard_scheduler.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace shunt::fleet {

using jobs::Amount;
using jobs::Job;
using jobs::JobPtr;
using wire::RunState;

namespace {
constexpr double kWorkerWaits = 4;  // for the answer to a report
constexpr double kLookAgain = 1;    // at work that has no place, though nothing has happened
}  // namespace

Desk::Desk(const config::Settings& s, const config::Tuning& t, const Catalogue& c, int shard,
           std::uint64_t token, double now, std::uint64_t seed)
    : common_{s, t, c, shard},
      born_(token),
      taken_at_(now),
      machines_(common_),
      placements_(common_, machines_, token, now),
      sheets_(common_, machines_, placements_),
      waiting_(common_, machines_, placements_, seed),
      packing_(common_, machines_, placements_),
      doubts_(common_, machines_),
      reserve_(common_, machines_),
      last_heard_(now) {}

// ---- jobs

void Desk::job_added(const wire::JobRecord& r, int team,
                     const std::map<std::uint32_t, state::Intervals>& done, double now,
                     double wall_now) {
  if (common_.jobs.contains(r.spec.id) || team < 0) return;
  auto cls = classes_.try_emplace(r.spec.cls, static_cast<int>(classes_.size())).first->second;
  auto j = std::make_shared<Job>(r, team, cls, static_cast<int>(common_.settings.zones.size()), now,
                                 wall_now);
  j->image = images_.try_emplace(r.spec.image, static_cast<int>(images_.size())).first->second;
  common_.image_gb.resize(images_.size());
  common_.image_gb[static_cast<std::size_t>(j->image)] = r.spec.image_gb;
  for (const auto& [c, list] : done) j->load_done(c, list);
  common_.jobs[r.spec.id] = j;
  common_.stirred = true;
}

void Desk::job_gone(const std::string& id, double now) {
  auto it = common_.jobs.find(id);
  if (it == common_.jobs.end()) return;
  JobPtr j = it->second;
  j->gone = true;
  j->pending.clear();
  common_.jobs.erase(it);
  for (auto& [n, m] : machines_.all()) {
    waiting_.drop(*m, j);
    placements_.drop_planned(*m, j, now);
    placements_.stop_directly(*m, j);
    machines_.note_idle(*m, now);
  }
  common_.stirred = true;
}

void Desk::job_urgency(const std::string& id, wire::Priority priority, double due) {
  auto it = common_.jobs.find(id);
  if (it == common_.jobs.end()) return;
  const JobPtr j = it->second;
  j->due = due;
  if (j->priority == priority) return;
  j->priority = priority;
  // What waits on a list of its old band enters the chain again, in the new one.
  for (auto& [n, m] : machines_.all()) {
    if (!j->listed) break;
    waiting_.back(*m, j);
  }
  common_.stirred = true;
}

// ---- machines

void Desk::machine_known(const wire::MachineRecord& r, double now) {
  // It has come from a shard whose token was higher: its worker would drop our answers.
  if (machines_.known(r, now) && r.token > token()) placements_.outranked();
}
void Desk::machine_addr(const std::string& name, const std::string& addr) {
  if (Machine* m = machines_.find(name)) m->addr = addr;
}

void Desk::remove_machine(int number, double now) {
  Machine* m = machines_.at(number);
  if (!m) return;
  placements_.lose_all(*m, now);
  waiting_.empty(*m);
  machines_.erase(number);
}
void Desk::machine_gone(const std::string& name, double now) {
  if (Machine* m = machines_.find(name)) remove_machine(m->number, now);
}
void Desk::machine_moved(const std::string& name, double now) {
  Machine* m = machines_.find(name);
  if (!m) return;
  if (m->giving >= 0) ++common_.count.given;
  remove_machine(m->number, now);
}

std::vector<RentWish> Desk::rent_wishes(double now) {
  std::vector<Machine*> barred;
  auto out = machines_.rent_wishes(now, barred);
  for (Machine* m : barred) waiting_.empty(*m);
  return out;
}
void Desk::rented(const RentWish& w, const std::vector<std::string>& names, double now) {
  for (int n : machines_.rented(w, names, now)) remove_machine(n, now);
}
void Desk::refused(const RentWish& w, std::size_t from, bool no_capacity, double now) {
  for (int n : machines_.refused(w, from, no_capacity, now)) remove_machine(n, now);
}
void Desk::give(const Gift& gift) {
  for (Machine* m : machines_.give(gift)) waiting_.empty(*m);
}

void Desk::lose(Machine& m) {
  if (machines_.lose(m)) ++common_.count.replaced;
}
void Desk::probed(const std::string& name, bool answered, double now) {
  Machine* m = machines_.find(name);
  if (!m || !doubts_.answered(*m, answered, now)) return;
  lose(*m);
  waiting_.empty(*m);
}
void Desk::machine_failed(const std::string& name, bool unlisted, double now) {
  Machine* m = machines_.find(name);
  if (!m || m->lost) return;
  // Lists lag: a machine that is missing from one is lost only if it is silent as well, for longer
  // than a list can be old. Whether this owner has ever heard it does not matter: one that was
  // taken just before a takeover would hold its tasks until the fence is over.
  const auto& s = common_.settings;
  if (unlisted && now - m->last_report < std::max(2 * s.report_s, 3 * s.list_lag_s + 2)) return;
  lose(*m);
  waiting_.empty(*m);
}

// ---- reports

Desk::Heard Desk::report(const wire::Report& r, double now, bool to_direct) {
  Machine* m = machines_.find(r.machine);
  if (!m) return Heard::unknown;
  if (!Placements::newer(*m, r)) {
    ++common_.count.stale_reports;
    // A copy that comes late is answered to nobody: it renews no lease, and must not put off the
    // proof by silence. What was overtaken on its way is waited for no longer than a worker waits.
    if (r.session != m->placed.session || now - m->newest_at > kWorkerWaits) return Heard::unknown;
    m->last_answer = now;
    return Heard::older;
  }
  ++common_.count.reports;
  last_heard_ = now;
  m->newest_at = now;
  const bool new_session = r.session != m->placed.session;
  // Answered within a lease, and the lease is over all the same.
  const bool in_vain =
      new_session && m->placed.session != 0 && now - m->last_answer < common_.settings.lease_s / 2;
  m->start_lost = false;
  if (machines_.heard(*m, r, new_session, now)) waiting_.empty(*m);
  placements_.heard(*m, r, to_direct, now);
  if (!to_direct) doubts_.note(*m, in_vain || r.token < m->answered_token || m->start_lost, now);
  for (const auto& [j, task] : placements_.take_finished()) waiting_.forget(j, task);
  waiting_.serve(*m, now);
  return Heard::fresh;
}

std::vector<wire::Command> Desk::orders(const std::string& name, bool fresh, double now) {
  Machine* m = machines_.find(name);
  if (!m) return {};
  m->last_answer = now;
  m->answered_token = token();
  return placements_.orders(*m, fresh, now);
}
std::vector<wire::Command> Desk::stops(const std::string& name) const {
  const Machine* m = machines_.find(name);
  return m ? placements_.stops(*m) : std::vector<wire::Command>{};
}
bool Desk::unsettled(const std::string& name) const {
  const Machine* m = machines_.find(name);
  return m && placements_.unsettled(*m);
}
bool Desk::awaits_commit(const std::string& name) {
  const Machine* m = machines_.find(name);
  return m && Placements::awaits_commit(*m);
}

void Desk::txn_applied(double now) {
  for (const auto& id : sheets_.applied(now)) job_gone(id, now);
}

// ---- time

void Desk::turn(double now) {
  common_.stirred = false;
  turned_at_ = now;
  waiting_.admit(now);
}

void Desk::tick(double now) {
  // Pauses end with time alone: the cloud's after a refusal, a machine's, a job's. A shard without
  // machines hears nothing that would stir it, and its work stood still for good.
  if (now - turned_at_ >= kLookAgain)
    common_.stirred |= std::any_of(common_.jobs.begin(), common_.jobs.end(),
                                   [](const auto& j) { return !j.second->pending.empty(); });
  if (now - moved_on_at_ >= kLookAgain) {
    moved_on_at_ = now;
    waiting_.move_on(now);
    waiting_.reserve(now);
    waiting_.fill_left_over(now);
  }
  const bool hear = now - last_heard_ < 2 * common_.settings.report_s;
  std::vector<int> withdrawn;
  for (auto& [n, m] : machines_.all()) {
    if (m->state == Machine::ordered) {
      if (m->queue.items.empty() && !m->posted) withdrawn.push_back(n);
      continue;
    }
    if (m->placed.greet) placements_.note_due(*m);
    if (m->type >= 0) look_at(*m, hear, now);
  }
  for (int n : withdrawn) remove_machine(n, now);
  reserve_.look(now);
  if (waiting_.quiet()) packing_.look(now);
}

void Desk::look_at(Machine& m, bool hear, double now) {
  const double quiet = common_.settings.lease_s + 2 * common_.settings.report_s;
  if (m.state == Machine::booting && m.placed.list.empty()) {
    const double boot = common_.catalogue.types[m.type].spec.boot_s;
    if (now - m.rented_at > std::max(60.0, 4 * boot) && !m.leaving) {
      m.leaving = true;
      ++common_.count.replaced;
      waiting_.empty(m);
    }
    return;
  }
  const double since = std::max(m.last_report, taken_at_);
  if (now - since > quiet) {
    placements_.silent(m, now);
    // If others are heard, this one is lost, not we. It is given back.
    if (hear || now - since > 3 * quiet) lose(m);
    waiting_.empty(m);
  } else if (m.draining && hear && now - since > 2 * common_.settings.report_s) {
    // It was about to be taken and has gone silent. Deleting it proves its tasks gone.
    machines_.lose(m);
  }
  if (m.leaving && !m.queue.items.empty()) waiting_.empty(m);
  machines_.note_idle(m, now);
  machines_.return_idle(m, now);
}

shard::Load Desk::load(double now) const {
  shard::Load out;
  if (common_.catalogue.empty()) return out;
  const Amount one = common_.catalogue.types[0].room;
  out.capacity = machines_.capacity() + machines_.pledged();
  const auto& teams = common_.settings.teams;
  std::vector<double> machines(teams.size(), 0), cpus(teams.size(), 0);
  for (const auto& [id, j] : common_.jobs) {
    if (j->not_before > now && !j->placed) continue;
    double left = j->spec.tasks - (j->spec.service ? 0 : j->done_count());
    machines[j->team] += left * share_of(j->need, one);
    cpus[j->team] += left * j->spec.cpus;
  }
  for (std::size_t t = 0; t < machines.size(); ++t) {
    if (cpus[t] <= 0) continue;
    out.demand += machines[t] * std::min(1.0, teams[t].cpus_max / cpus[t]);
    out.entitled += machines[t] * std::min(1.0, teams[t].cpus / cpus[t]);
  }
  return out;
}

std::string Desk::summary() const {
  std::size_t ordered = 0, booting = 0, up = 0, placed = 0, waiting = 0, pending = 0;
  for (const auto& [n, m] : machines_.all()) {
    (m->state == Machine::ordered ? ordered : m->state == Machine::booting ? booting : up)++;
    placed += m->placed.list.size();
    waiting += m->queue.items.size();
  }
  // How far the placements are on their way.
  std::size_t planned = 0, unsent = 0, unseen = 0, fetching = 0, running = 0, over = 0;
  for (const auto& [n, m] : machines_.all())
    for (const Placement& p : m->placed.list)
      (p.released                                ? over
       : p.phase != Phase::committed             ? planned
       : p.seen && p.state == RunState::fetching ? fetching
       : p.seen                                  ? running
       : p.sent                                  ? unseen
                                                 : unsent)++;
  std::size_t idle = 0;
  for (const auto& [n, m] : machines_.all()) idle += m->was_idle;
  double capacity = 0, used = 0;  // vcpus of machines that are up
  for (const auto& [n, m] : machines_.all())
    if (m->state == Machine::up && m->type >= 0) {
      capacity += static_cast<double>(common_.catalogue.types[m->type].room.cpus) / 1e6;
      used += static_cast<double>(m->placed.used.cpus) / 1e6;
    }
  for (const auto& [id, j] : common_.jobs) pending += j->pending.size();
  return nlohmann::json{{"shard", common_.shard},
                        {"token", token()},
                        {"jobs", common_.jobs.size()},
                        {"ordered", ordered},
                        {"booting", booting},
                        {"up", up},
                        {"placed", placed},
                        {"planned", planned},
                        {"unsent", unsent},
                        {"unseen", unseen},
                        {"fetching", fetching},
                        {"running", running},
                        {"over", over},
                        {"waiting", waiting},
                        {"pending", pending},
                        {"capacity", capacity},
                        {"used", used},
                        {"idle", idle},
                        {"k", machines_.waits()},
                        {"starts", common_.count.starts},
                        {"direct", common_.count.direct},
                        {"dones", common_.count.dones},
                        {"errors", common_.count.errors},
                        {"lost", common_.count.lost},
                        {"rents", common_.count.rents},
                        {"given", common_.count.given},
                        {"preempted", common_.count.preempted},
                        {"refused", common_.count.refused},
                        {"returns", common_.count.returns},
                        {"replaced", common_.count.replaced},
                        {"emptied", common_.count.emptied},
                        {"commits", common_.count.commits},
                        {"commit_failures", common_.count.commit_failures}}
      .dump();
}

}  // namespace shunt::fleet
