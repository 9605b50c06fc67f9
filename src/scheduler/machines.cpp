#include "scheduler/machines.h"

#include <algorithm>
#include <tuple>

namespace shunttrail::scheduler {

using jobs::Job;
using jobs::Resources;

namespace {
constexpr std::size_t kImagesKept = 8;  // where a type does not tell its cache
constexpr double kRefusedFor = 15;      // before asking again where the cloud had none
// Machines a request, as the protocol has it. A tier and zone has one request out: 4,000 machines
// take 80 of them, of which a node makes about two a second.
constexpr std::size_t kRentMost = 50;
constexpr std::size_t kGrantLeast = 2;  // machines ordered where the cloud has refused; grows
constexpr std::size_t kFaulty = 2;      // jobs that a machine at fault has failed
constexpr double kFaultPause = 5;       // before a machine that failed a task gets another
}  // namespace

double share_of(const Resources& a, const Resources& one) {
  double s = one.cpus > 0 ? static_cast<double>(a.cpus) / static_cast<double>(one.cpus) : 0;
  return one.mem > 0 ? std::max(s, static_cast<double>(a.mem) / static_cast<double>(one.mem)) : s;
}

Machine* Machines::find(const std::string& name) const {
  auto it = by_name_.find(name);
  return it == by_name_.end() ? nullptr : at(it->second);
}
Machine* Machines::at(int number) const {
  const auto n = static_cast<std::size_t>(number);
  return n < by_number_.size() ? by_number_[n] : nullptr;
}
Machine& Machines::add() {
  auto m = std::make_unique<Machine>();
  m->number = next_number_++;
  Machine& out = *m;
  all_.emplace_back(out.number, std::move(m));
  by_number_.resize(static_cast<std::size_t>(next_number_), nullptr);
  by_number_[static_cast<std::size_t>(out.number)] = &out;
  return out;
}
void Machines::erase(int number) {
  Machine* m = at(number);
  if (!m) return;
  if (!m->name.empty()) by_name_.erase(m->name);
  by_number_[static_cast<std::size_t>(number)] = nullptr;
  all_.erase(std::lower_bound(all_.begin(), all_.end(), number,
                              [](const auto& a, int n) { return a.first < n; }));
}

bool Machines::known(const wire::MachineRecord& r, double now) {
  if (Machine* here = find(r.name)) {
    here->in_inventory = true;
    return false;
  }
  Machine& m = add();
  m.name = r.name;
  m.type = context_.catalogue.type_index(r.type);
  m.zone = context_.settings.zone_index(r.zone);
  m.spot = r.spot;
  m.in_inventory = true;
  m.state = Machine::booting;
  m.rented_at = m.last_heartbeat = m.last_answer = now;
  by_name_[r.name] = m.number;
  // A type or zone that is not known any more: its tasks are let go of, then it is returned.
  if (m.type < 0 || m.zone < 0) m.leaving = true;
  return true;
}

// ---- what it can take

Resources Machines::room(const Machine& m) const {
  return m.type < 0 ? Resources{} : context_.catalogue.types[m.type].room - m.tasks.used;
}
Resources Machines::room(const Machine& m, int band) const {
  return band < Job::kGuaranteed ? room(m) : room(m) - m.reserved;
}
bool Machines::warm(const Machine& m, int image) {
  return std::find(m.images.begin(), m.images.end(), image) != m.images.end();
}
bool Machines::type_ok(const Job& j, int type, bool spot) const {
  return type >= 0 && context_.catalogue.accepts(2 * type + (spot ? 1 : 0), j.spec, j.need);
}
bool Machines::zone_ok(const Job& j, int zone) const {
  if (j.spec.zone && context_.settings.zone_index(*j.spec.zone) != zone) return false;
  return j.zone_ok(zone);
}
bool Machines::usable(const Machine& m, const Job& j, double now) const {
  if (m.leaving || m.draining || m.avoid_until > now || m.zone < 0) return false;
  return type_ok(j, m.type, m.spot) && zone_ok(j, m.zone);
}
int Machines::pick_zone(const Job& j, int tier, double now) const {
  const auto& settings = context_.settings;
  const auto& type = context_.catalogue.types[tier / 2];
  std::vector<int> have(settings.zones.size(), 0);
  std::vector<std::size_t> ordered(settings.zones.size(), 0);
  for (const auto& [n, m] : all_) {
    if (m->zone < 0) continue;
    ++have[m->zone];
    ordered[m->zone] += m->state == Machine::ordered && m->tier() == tier;
  }
  int best = -1;
  for (std::size_t z = 0; z < settings.zones.size(); ++z) {
    int zone = static_cast<int>(z);
    if (!type.in_zone[z] || !zone_ok(j, zone)) continue;
    auto r = refused_until_.find({tier, zone});
    if (r != refused_until_.end() && r->second > now) continue;
    // Hundreds of tasks that join orders which come to nothing walk the chain for nothing.
    auto g = grant_.find({tier, zone});
    if (g != grant_.end() && ordered[z] >= g->second) continue;
    if (best < 0 || have[z] < have[best]) best = zone;
  }
  return best;
}

// ---- what is heard of it

bool Machines::heartbeat_received(Machine& m, const wire::Heartbeat& r, bool new_session,
                                  double now) {
  m.addr = r.addr;
  m.last_heartbeat = now;
  if (m.losing_responses < kLostResponsesBeforeSuspicion) m.unanswered = 0;
  if (m.state != Machine::up) {
    m.state = Machine::up;
    m.idle_since = now;
    context_.scheduling_due = true;
  }
  if (new_session) m.images.clear();
  m.notice_s = r.notice_s;
  if (!r.notice_s || m.draining) return false;
  m.draining = true;
  return true;
}
// A machine caches the most recently used images, as many as it has room for. Remembering fewer
// would send tasks to fetch what lies ready elsewhere.
void Machines::note_image(Machine& m, int image) {
  if (!m.images.empty() && m.images.back() == image) return;
  std::erase(m.images, image);
  m.images.push_back(image);
  auto gb = [&](int i) { return context_.image_gb[static_cast<std::size_t>(i)]; };
  const double room = m.type < 0 ? 0 : context_.catalogue.types[m.type].spec.cache_gb;
  double sum = 0;
  for (int i : m.images) sum += gb(i);
  while (m.images.size() > (room > 0 ? 1 : kImagesKept) && (room <= 0 || sum > room)) {
    sum -= gb(m.images.front());
    m.images.erase(m.images.begin());
  }
}
void Machines::note_idle(Machine& m, double now) {
  bool idle = m.state == Machine::up && m.tasks.placements.empty() && m.queue.tasks.empty();
  if (idle && !m.was_idle) m.idle_since = now;
  m.was_idle = idle;
}
// A machine that fails the tasks of several jobs is at fault and is replaced.
void Machines::task_failed(Machine& m, const std::string& job, double now) {
  ++m.faults;
  m.faulty_for.insert(job);
  m.avoid_until = now + kFaultPause;
  if (m.faulty_for.size() >= kFaulty) m.leaving = true;
}
void Machines::task_done(Machine& m) {
  m.faults = 0;
  m.faulty_for.clear();
}
bool Machines::give_up(Machine& m) {
  if (m.lost) return false;
  m.leaving = m.lost = true;
  return true;
}

// ---- the idle wait

chain::IdleWait& Machines::idle_wait(int tier) {
  const auto& t = context_.tuning;
  return idle_.try_emplace(tier, t.idle_start_s, t.lambda, t.idle_cap).first->second;
}
void Machines::reused(const Machine& m, double now) {
  if (!m.was_idle) return;
  idle_wait(m.tier()).reused(now - m.idle_since, context_.catalogue.types[m.type].spec.boot_s);
}
std::vector<double> Machines::waits() const {
  std::vector<double> k;
  for (const auto& [tier, wait] : idle_) k.push_back(wait.seconds(0));
  return k;
}
void Machines::return_idle(Machine& m, double now) {
  if (!m.was_idle || m.leaving) return;
  const double boot = context_.catalogue.types[m.type].spec.boot_s;
  if (now - m.idle_since <= idle_wait(m.tier()).seconds(boot)) return;
  m.leaving = true;
  last_returned_[m.tier()] = m.idle_since;
  ++context_.counters.returns;
}

// ---- rents and returns

Machine& Machines::order(int tier, int zone, double now) {
  Machine& m = add();
  m.type = tier / 2;
  m.spot = tier % 2;
  m.zone = zone;
  m.rented_at = now;
  auto last = last_returned_.find(tier);
  if (last != last_returned_.end()) {
    idle_wait(tier).missed(now - last->second, context_.catalogue.types[m.type].spec.boot_s);
    last_returned_.erase(last);
  }
  return m;
}

std::vector<ScaleOutRequest> Machines::scale_out_requests(double now,
                                                          std::vector<Machine*>& barred) {
  std::map<std::pair<int, int>, ScaleOutRequest> groups;
  for (auto& [n, m] : all_) {
    if (m->state != Machine::ordered || m->announced) continue;
    // A later order where the cloud has just said that it has none goes back to the chain.
    auto r = refused_until_.find({m->tier(), m->zone});
    if (r != refused_until_.end() && r->second > now) {
      barred.push_back(m.get());
      continue;
    }
    // One rent a tier and zone at a time: what is wanted meanwhile goes into the next one, since
    // calls are scarcer than machines.
    if (asking_.contains({m->tier(), m->zone})) continue;
    ScaleOutRequest& w = groups[{m->tier(), m->zone}];
    if (w.machines.size() >= kRentMost) continue;
    w.tier = m->tier();
    w.zone = m->zone;
    w.machines.push_back(n);
  }
  std::vector<ScaleOutRequest> out;
  for (auto& [key, w] : groups) {
    for (int n : w.machines) at(n)->announced = true;
    asking_.insert(key);
    out.push_back(std::move(w));
  }
  return out;
}

std::vector<int> Machines::rented(const ScaleOutRequest& w, const std::vector<std::string>& names,
                                  double now) {
  asking_.erase({w.tier, w.zone});
  if (auto g = grant_.find({w.tier, w.zone}); g != grant_.end() && (g->second *= 4) > kRentMost)
    grant_.erase(g);
  std::vector<int> nothing;
  std::size_t i = 0;
  for (; i < names.size(); ++i) {
    Machine* m = i < w.machines.size() ? at(w.machines[i]) : nullptr;
    if (by_name_.contains(names[i])) {
      // It reported, and was adopted, before the answer came.
      if (m) nothing.push_back(m->number);
      continue;
    }
    if (!m) {
      m = &add();
      m->type = w.tier / 2;
      m->spot = w.tier % 2;
      m->zone = w.zone;
    }
    m->name = names[i];
    m->state = Machine::booting;
    m->rented_at = m->last_heartbeat = m->last_answer = now;
    by_name_[m->name] = m->number;
    ++context_.counters.rents;
  }
  if (i < w.machines.size()) {
    auto rest = refused(w, i, true, now);
    nothing.insert(nothing.end(), rest.begin(), rest.end());
  }
  context_.scheduling_due = true;
  return nothing;
}

std::vector<int> Machines::refused(const ScaleOutRequest& w, std::size_t from, bool no_capacity,
                                   double now) {
  asking_.erase({w.tier, w.zone});
  if (no_capacity) {
    refused_until_[{w.tier, w.zone}] = now + kRefusedFor;
    grant_[{w.tier, w.zone}] = kGrantLeast;
  }
  context_.counters.refused += w.machines.size() - from;
  context_.scheduling_due = true;
  return {w.machines.begin() + static_cast<long>(from), w.machines.end()};
}

std::vector<std::string> Machines::machines_to_return() {
  std::vector<std::string> out;
  for (auto& [n, m] : all_) {
    if (!m->leaving || m->returning || m->name.empty() || (m->transfer_to >= 0 && !m->lost))
      continue;
    // Tasks of a machine that answers are let finish; a lost machine's are not waited for.
    bool running = false;
    for (const Placement& p : m->tasks.placements) running |= !p.acknowledging;
    if (running && !m->lost) continue;
    m->returning = true;
    out.push_back(m->name);
  }
  return out;
}
void Machines::return_failed(const std::string& name) {
  if (Machine* m = find(name)) m->returning = false;
}

// ---- other shards

double Machines::transferring() const {
  double sum = 0;
  for (const auto& [n, m] : all_)
    if (m->transfer_to >= 0 && m->type >= 0) sum += context_.catalogue.units(m->type);
  return sum;
}

// Work goes on where a machine was to leave and is not wanted any more. Only one that is not empty
// may stay: of an empty one the inventory's commit may be on its way.
void Machines::keep(Machine& m) {
  if (m.transfer_to < 0 || m.lost || m.returning || m.tasks.placements.empty()) return;
  m.transfer_to = -1;
  m.leaving = m.faulty_for.size() >= kFaulty;
  context_.scheduling_due = true;
}

// Idle ones at once, then the emptiest ones as soon as their tasks are over: work spread thinly
// over a surplus would leave hardly any machine idle. A machine with a replica is not promised: it
// would stand half empty for as long as the service runs. Those that take most of what waits there
// go first.
std::vector<Machine*> Machines::transfer(const MachineTransfer& transfer) {
  double left = transfer.amount;
  std::vector<Machine*> out, mine;
  auto units = [&](const Machine& m) { return context_.catalogue.units(m.type); };
  for (auto& [n, m] : all_) {
    if (m->transfer_to != transfer.to || m->type < 0) continue;
    if (left < units(*m)) keep(*m);
    if (m->transfer_to == transfer.to) left -= units(*m);
  }
  auto useful = [&](const Machine& m) {
    return transfer.useful[static_cast<std::size_t>(m.tier())];
  };
  for (auto& [n, m] : all_) {
    if (m->state != Machine::up || !m->in_inventory || m->leaving || m->draining || m->type < 0 ||
        units(*m) > left + 1e-9 || useful(*m) <= 0 || m->queue.reserved_for)
      continue;
    if (std::none_of(m->tasks.placements.begin(), m->tasks.placements.end(),
                     [](const Placement& p) { return p.job->spec.service && !p.released; }))
      mine.push_back(m.get());
  }
  std::stable_sort(mine.begin(), mine.end(), [&](const Machine* a, const Machine* b) {
    return std::tuple(!a->was_idle, a->tasks.used.cpus, -useful(*a)) <
           std::tuple(!b->was_idle, b->tasks.used.cpus, -useful(*b));
  });
  for (Machine* m : mine) {
    if (units(*m) > left + 1e-9) continue;
    m->leaving = true;
    m->transfer_to = transfer.to;
    left -= units(*m);
    out.push_back(m);
  }
  return out;
}

namespace {
bool can_go(const Machine& m) {
  return m.transfer_to >= 0 && m.in_inventory && m.tasks.placements.empty() &&
         m.queue.tasks.empty();
}
}  // namespace

int Machines::transfer_target(const std::string& name) const {
  const Machine* m = find(name);
  return m && can_go(*m) ? m->transfer_to : -1;
}

std::vector<InventoryChange> Machines::inventory_changes(std::uint64_t token,
                                                         const Asked& asked) const {
  std::vector<InventoryChange> out;
  for (const auto& [n, m] : all_) {
    if (m->name.empty() || m->type < 0 || m->zone < 0) continue;
    const bool give = can_go(*m);
    if (m->in_inventory && !give) continue;
    const auto kind = give ? InventoryChange::transfer : InventoryChange::add;
    const int shard = give ? m->transfer_to : context_.shard;
    if (asked(m->name, kind, shard)) continue;
    out.push_back({kind,
                   {m->name, context_.catalogue.types[m->type].spec.name,
                    context_.settings.zones[m->zone], m->spot, shard, token, 0},
                   m->rented_at});
  }
  return out;
}

double Machines::capacity() const {
  double sum = 0;
  for (const auto& [n, m] : all_)
    if (m->type >= 0 && !m->leaving && !m->draining) sum += context_.catalogue.units(m->type);
  return sum;
}

}  // namespace shunttrail::scheduler
