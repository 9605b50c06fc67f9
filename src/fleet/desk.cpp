#include "fleet/desk.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace shunt::fleet {

using jobs::Amount;
using jobs::Job;
using jobs::JobPtr;
using wire::Command;
using wire::RunState;
using wire::Why;

namespace {
constexpr std::size_t kImagesKept = 8;  // where a type does not tell its cache
constexpr std::size_t kSheets = 48;     // of a shard: room for every placement a full fleet holds
// Time to save for what can.
double stop_grace(const Job& j) { return j.spec.checkpoint_s > 0 ? j.spec.save_s + 1 : 0; }
const double kPriorityWeight[wire::kPriorities] = {8, 4, 1, 0.5};
}  // namespace

void Catalogue::load(const std::vector<wire::MachineType>& list, const config::Settings& s) {
  // Indices of types stay as they were: machines refer to them.
  for (const auto& t : list) {
    int i = type_index(t.name);
    if (i < 0) {
      i = static_cast<int>(types.size());
      types.emplace_back();
    }
    Type& mine = types[i];
    mine.spec = t;
    mine.room = Amount::of(t.cpus, t.gpus, t.mem_gb);
    mine.in_zone.assign(s.zones.size(), false);
    for (const auto& z : t.zones)
      if (int k = s.zone_index(z); k >= 0) mine.in_zone[k] = true;
  }
  tier_order.clear();
  for (std::size_t i = 0; i < types.size() * 2; ++i) tier_order.push_back(static_cast<int>(i));
  std::stable_sort(tier_order.begin(), tier_order.end(),
                   [&](int a, int b) { return rate(a) < rate(b); });
  base_rate = tier_order.empty() ? 0 : rate(tier_order.front());
}
int Catalogue::type_index(const std::string& name) const {
  for (std::size_t i = 0; i < types.size(); ++i)
    if (types[i].spec.name == name) return static_cast<int>(i);
  return -1;
}
double Catalogue::rate(int tier) const {
  const auto& t = types[tier / 2].spec;
  return (tier % 2 ? t.spot_price : t.price) / 3600.0;
}

Desk::Desk(const config::Settings& s, const config::Tuning& t, const Catalogue& c, int shard,
           std::uint64_t token, double now, std::uint64_t seed)
    : settings_(s),
      tuning_(t),
      catalogue_(c),
      shard_(shard),
      token_(token),
      born_(token),
      taken_at_(now),
      rng_(seed),
      next_attempt_(token << 20),
      team_used_(s.teams.size()),
      team_waiting_(s.teams.size()),
      sheets_(kSheets),
      last_heard_(now) {}

Desk::Machine* Desk::find(const std::string& name) {
  auto it = by_name_.find(name);
  return it == by_name_.end() ? nullptr : at(it->second);
}
Desk::Machine* Desk::at(int number) {
  const auto n = static_cast<std::size_t>(number);
  return n < by_number_.size() ? by_number_[n] : nullptr;
}
Desk::Machine& Desk::add_machine() {
  auto m = std::make_unique<Machine>();
  m->number = next_number_++;
  Machine& out = *m;
  machines_.emplace_back(out.number, std::move(m));
  by_number_.resize(static_cast<std::size_t>(next_number_), nullptr);
  by_number_[static_cast<std::size_t>(out.number)] = &out;
  return out;
}
void Desk::note_due(Machine& m) {
  if (m.due) return;
  m.due = true;
  due_.push_back(m.number);
}

Amount Desk::room(const Machine& m) const {
  return m.type < 0 ? Amount{} : catalogue_.types[m.type].room - m.used;
}
bool Desk::warm(const Machine& m, int image) {
  return std::find(m.images.begin(), m.images.end(), image) != m.images.end();
}
// A machine caches the most recently used images, as many as it has room for. Remembering fewer
// would send tasks to fetch what lies ready elsewhere.
void Desk::note_image(Machine& m, int image) {
  if (!m.images.empty() && m.images.back() == image) return;
  std::erase(m.images, image);
  m.images.push_back(image);
  const double room = m.type < 0 ? 0 : catalogue_.types[m.type].spec.cache_gb;
  double sum = 0;
  for (int i : m.images) sum += image_gb_[static_cast<std::size_t>(i)];
  while (m.images.size() > (room > 0 ? 1 : kImagesKept) && (room <= 0 || sum > room)) {
    sum -= image_gb_[static_cast<std::size_t>(m.images.front())];
    m.images.erase(m.images.begin());
  }
}
bool Desk::type_ok(const Job& j, int type, bool spot) const {
  if (type < 0 || (spot && !j.spec.spot)) return false;
  const auto& t = catalogue_.types[type];
  if (j.spec.types &&
      std::find(j.spec.types->begin(), j.spec.types->end(), t.spec.name) == j.spec.types->end())
    return false;
  return j.need.fits(t.room);
}
bool Desk::usable(const Machine& m, const Job& j, double now) const {
  if (m.leaving || m.draining || m.avoid_until > now || m.zone < 0) return false;
  if (!type_ok(j, m.type, m.spot)) return false;
  if (j.spec.zone && settings_.zone_index(*j.spec.zone) != m.zone) return false;
  return j.zone_ok(m.zone);
}
bool Desk::quota_ok(const Job& j, bool with_waiting) const {
  const auto& t = settings_.teams[j.team];
  Amount limit = Amount::of(t.cpus_max, t.gpus_max, 0);
  Amount sum = team_used_[j.team] + j.need;
  if (with_waiting) sum += team_waiting_[j.team];
  return sum.cpus <= limit.cpus && sum.gpus <= limit.gpus;
}

// ---- jobs

void Desk::job_added(const wire::JobRecord& r, int team,
                     const std::map<std::uint32_t, state::Intervals>& done, double now,
                     double wall_now) {
  if (jobs_.contains(r.spec.id) || team < 0) return;
  auto cls = classes_.try_emplace(r.spec.cls, static_cast<int>(classes_.size())).first->second;
  auto j =
      std::make_shared<Job>(r, team, cls, static_cast<int>(settings_.zones.size()), now, wall_now);
  j->image = images_.try_emplace(r.spec.image, static_cast<int>(images_.size())).first->second;
  image_gb_.resize(images_.size());
  image_gb_[static_cast<std::size_t>(j->image)] = r.spec.image_gb;
  for (const auto& [c, list] : done) j->load_done(c, list);
  jobs_[r.spec.id] = j;
  stirred_ = true;
}

void Desk::job_gone(const std::string& id, double now) {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  JobPtr j = it->second;
  j->gone = true;
  j->pending.clear();
  jobs_.erase(it);
  for (auto& [n, m] : machines_) {
    auto mine = [&](const Item& i) { return i.job == j; };
    for (const Item& i : m->waiting)
      if (mine(i)) listed(*m, i, false);
    std::erase_if(m->waiting, mine);
    for (Placement& p : m->placements)
      if (p.job == j && p.phase == Phase::planned) release(*m, p, now, false);
    std::erase_if(m->placements,
                  [&](const Placement& p) { return p.job == j && p.phase == Phase::planned; });
    note_idle(*m, now);
  }
  stirred_ = true;
}

void Desk::job_urgency(const std::string& id, wire::Priority priority, double due) {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  const JobPtr j = it->second;
  j->due = due;
  if (j->priority == priority) return;
  j->priority = priority;
  // What waits on a list of its old band enters the chain again, in the new one.
  for (auto& [n, m] : machines_) {
    if (!j->listed) break;
    std::erase_if(m->waiting, [&, at = m.get()](const Item& i) {
      if (i.job != j) return false;
      listed(*at, i, false);
      to_pending(i);
      return true;
    });
  }
  stirred_ = true;
}

void Desk::requeue(const JobPtr& j, std::uint32_t task) {
  if (j->gone || j->done(task) || task >= j->spec.tasks) return;
  if (j->places[task] == 0) j->pending.insert(task);
  stirred_ = true;
}
void Desk::listed(Machine& m, const Item& i, bool yes) {
  const Job& j = *i.job;
  if (yes) {
    team_waiting_[j.team] += j.need;
    waiting_[i.key()] = m.number;
    ++m.listed[static_cast<std::size_t>(i.band)];
    ++i.job->listed;
  } else {
    team_waiting_[j.team] -= j.need;
    waiting_.erase(i.key());
    --m.listed[static_cast<std::size_t>(i.band)];
    --i.job->listed;
  }
}
void Desk::to_pending(const Item& i) { requeue(i.job, i.task); }
void Desk::empty_list(Machine& m) {
  for (const Item& i : m.waiting) {
    listed(m, i, false);
    to_pending(i);
  }
  m.waiting.clear();
}

// ---- placements

void Desk::hold(Machine& m, const Placement& p) {
  m.used += p.job->need;
  if (p.job->team >= 0) team_used_[p.job->team] += p.job->need;
  if (p.task < p.job->places.size()) ++p.job->places[p.task];
  if (m.zone >= 0) ++p.job->in_zone[m.zone];
  ++p.job->placed;
  p.job->pending.erase(p.task);
}
// The placement is proven not to run, now or later: what it held is free again.
void Desk::release(Machine& m, Placement& p, double now, bool again) {
  if (p.released) return;
  p.released = true;
  m.used -= p.job->need;
  if (p.job->team >= 0) team_used_[p.job->team] -= p.job->need;
  if (p.task < p.job->places.size()) --p.job->places[p.task];
  if (m.zone >= 0) --p.job->in_zone[m.zone];
  if (--p.job->placed == 0) {
    p.job->round = 0;
    p.job->in_round.clear();
  }
  if (again) requeue(p.job, p.task);
  note_idle(m, now);
  stirred_ = true;
}

void Desk::note_idle(Machine& m, double now) {
  bool idle = m.state == Machine::up && m.placements.empty() && m.waiting.empty();
  if (idle && !m.was_idle) m.idle_since = now;
  m.was_idle = idle;
}

void Desk::machine_known(const wire::MachineRecord& r, double now) {
  if (Machine* known = find(r.name)) {
    known->rostered = true;
    return;
  }
  int type = catalogue_.type_index(r.type), zone = settings_.zone_index(r.zone);
  Machine& m = add_machine();
  m.name = r.name;
  m.type = type;
  m.zone = zone;
  m.spot = r.spot;
  m.rostered = true;
  m.state = Machine::booting;
  m.rented_at = m.last_report = m.last_answer = now;
  by_name_[r.name] = m.number;
  // It has come from a shard whose token was higher: its worker would drop our answers.
  if (r.token > token_) outranked_ = true;
  // A type or zone that is not known any more: its tasks are let go of, then it is returned.
  if (type < 0 || zone < 0) m.leaving = true;
}
void Desk::machine_addr(const std::string& name, const std::string& addr) {
  if (Machine* m = find(name)) m->addr = addr;
}

void Desk::inherit(int sheet, const wire::SheetRecord& r, double now) {
  if (sheet < 0) return;
  if (static_cast<std::size_t>(sheet) >= sheets_.size())
    sheets_.resize(static_cast<std::size_t>(sheet) + 1);
  Sheet& mine = sheets_[static_cast<std::size_t>(sheet)];
  for (const auto& g : r.jobs) {
    JobPtr j;
    if (auto it = jobs_.find(g.job); it != jobs_.end()) {
      j = it->second;
      for (const auto& [c, list] : g.done) {
        mine.done.emplace_back(j, c);
        j->done_sheet[c] = sheet;
      }
    } else {
      // The job is over, but its tasks may still be there: they count until proven gone.
      wire::JobRecord stub;
      stub.spec.id = g.job;
      stub.spec.tasks = 1;
      stub.spec.cpus = g.cpus;
      stub.spec.gpus = g.gpus;
      stub.spec.mem_gb = g.mem_gb;
      j = std::make_shared<Job>(stub, g.team, 0, static_cast<int>(settings_.zones.size()), now, 0);
      j->gone = true;
      j->pending.clear();
    }
    for (const auto& at : g.places) {
      // A machine that the roster does not hold under this shard has been deleted, or was empty
      // when it moved away: nothing of ours can be on it.
      Machine* m = find(at.machine);
      if (!m) continue;
      Placement p;
      p.job = j;
      p.task = at.task;
      p.attempt = at.attempt;
      p.phase = Phase::committed;
      p.inherited = true;
      p.item.job = p.job;
      p.item.task = p.task;
      p.item.since = now;
      hold(*m, p);
      if (p.job->spec.gang) {
        p.job->round = p.attempt;
        for (std::uint32_t i = 0; i < p.job->spec.tasks; ++i) p.job->in_round.insert(i);
      }
      mine.held.push_back({m->number, p.job, p.task, p.attempt});
      m->greet = true;
      note_due(*m);
      m->placements.push_back(std::move(p));
    }
  }
}

void Desk::remove_machine(int number, double now) {
  Machine* m = at(number);
  if (!m) return;
  for (Placement& p : m->placements) {
    if (!p.released) ++count_.lost;
    release(*m, p, now, true);
  }
  empty_list(*m);
  if (!m->name.empty()) by_name_.erase(m->name);
  by_number_[static_cast<std::size_t>(number)] = nullptr;
  machines_.erase(std::lower_bound(machines_.begin(), machines_.end(), number,
                                   [](const auto& a, int n) { return a.first < n; }));
}

void Desk::machine_gone(const std::string& name, double now) {
  Machine* m = find(name);
  if (!m) return;
  remove_machine(m->number, now);
}
void Desk::machine_moved(const std::string& name, double now) {
  Machine* m = find(name);
  if (!m) return;
  if (m->giving >= 0) ++count_.given;
  remove_machine(m->number, now);
}
std::vector<RosterWish> Desk::roster_wishes() const {
  std::vector<RosterWish> out;
  for (const auto& [n, m] : machines_) {
    if (m->name.empty() || m->type < 0 || m->zone < 0) continue;
    bool give = m->giving >= 0 && m->rostered && m->placements.empty() && m->waiting.empty();
    if (m->rostered && !give) continue;
    out.push_back({give ? RosterWish::give : RosterWish::add,
                   {m->name, catalogue_.types[m->type].spec.name, settings_.zones[m->zone], m->spot,
                    give ? m->giving : shard_, token_, 0},
                   m->rented_at});
  }
  return out;
}

void Desk::task_done(const JobPtr& j, std::uint32_t task, double now) {
  if (j->gone || j->done(task)) return;
  if (j->dirty_chunks.empty()) j->dirty_since = now;
  if (!j->mark_done(task)) return;
  ++count_.dones;
  // It may wait somewhere for another try.
  if (!j->listed) return;
  for (auto& [n, m] : machines_)
    std::erase_if(m->waiting, [&](const Item& i) {
      if (i.job != j || i.task != task) return false;
      listed(*m, i, false);
      return true;
    });
}

void Desk::record_cost(const Placement& p, const Machine& m, double now) {
  const Job& j = *p.job;
  const auto& type = catalogue_.types[m.type];
  double rate = catalogue_.rate(m.tier());
  double share = 0;
  auto part = [&](std::int64_t need, std::int64_t all) {
    if (all > 0) share = std::max(share, static_cast<double>(need) / static_cast<double>(all));
  };
  part(j.need.cpus, type.room.cpus);
  part(j.need.gpus, type.room.gpus);
  part(j.need.mem, type.room.mem);
  double weight = kPriorityWeight[static_cast<int>(j.priority)] * catalogue_.base_rate;
  double started = p.started > 0 ? p.started : now;
  double cost = rate * share * (now - started);
  if (p.item.rented) cost += rate * type.spec.boot_s;
  cost += tuning_.wait_weight * weight * std::max(0.0, started - p.item.since);
  if (now > j.due) cost += tuning_.late_weight * weight;
  for (const auto& s : p.item.trail) s.learner->record(s.context, s.arm, cost);
}

void Desk::exited(Machine& m, Placement& p, double now) {
  switch (p.why) {
    case Why::done:
      if (p.task < p.job->spec.tasks) task_done(p.job, p.task, now);
      if (p.job->gone || m.type < 0) break;
      record_cost(p, m, now);
      m.faults = 0;
      m.faulty_for.clear();
      p.job->failed_on.clear();
      p.job->backoff_s = 0;
      break;
    case Why::error:
      ++count_.errors;
      if (p.job->gone) break;
      // A machine that fails the tasks of several jobs is at fault and is replaced. One job that
      // fails on several machines is at fault itself and waits longer each time.
      ++m.faults;
      m.faulty_for.insert(p.job->spec.id);
      m.avoid_until = now + 5;
      if (m.faulty_for.size() >= 2) m.leaving = true;
      p.job->failed_on.insert(m.name);
      if (p.job->failed_on.size() >= 3) {
        p.job->backoff_s = std::clamp(p.job->backoff_s * 2, 5.0, 60.0);
        p.job->not_before = now + p.job->backoff_s;
      }
      break;
    case Why::unknown:
      p.job->not_before = std::max(p.job->not_before, now + 3);
      break;
    case Why::no_room:
    case Why::busy:
      m.avoid_until = std::max(m.avoid_until, now + 1);
      break;
    default:
      break;
  }
  release(m, p, now, true);
}

Desk::Heard Desk::report(const wire::Report& r, double now, bool to_direct) {
  Machine* m = find(r.machine);
  if (!m) return Heard::unknown;
  if (std::pair(r.session, r.seq) <= std::pair(m->session, m->seq)) {
    ++count_.stale_reports;
    if (r.session != m->session) return Heard::unknown;
    m->last_answer = now;
    return Heard::older;
  }
  ++count_.reports;
  bool new_session = r.session != m->session;
  m->session = r.session;
  m->seq = r.seq;
  m->addr = r.addr;
  m->last_report = last_heard_ = now;
  m->token = r.token;
  bool under_us = r.token == token_;
  if (under_us) {
    m->token_seen = true;
    m->greet = false;
  }
  if (m->state != Machine::up) {
    m->state = Machine::up;
    m->idle_since = now;
    stirred_ = true;
  }
  m->notice_s = r.notice_s;
  if (r.notice_s && !m->draining) {
    m->draining = true;
    empty_list(*m);
  }
  if (new_session) m->images.clear();

  m->strangers.clear();
  std::vector<bool> here(m->placements.size(), false);
  for (const auto& t : r.tasks) {
    std::size_t i = 0;
    while (i < m->placements.size() &&
           !(m->placements[i].attempt == t.attempt && m->placements[i].task == t.task.index &&
             m->placements[i].job->spec.id == t.task.job))
      ++i;
    if (i == m->placements.size()) {
      m->strangers.push_back(t);
      // A result is a result, whoever started it: an earlier owner may have gone before it
      // could persist this.
      if (t.state == RunState::exited && t.why == Why::done)
        if (auto j = jobs_.find(t.task.job); j != jobs_.end())
          task_done(j->second, t.task.index, now);
      continue;
    }
    here[i] = true;
    Placement& p = m->placements[i];
    p.seen = true;
    if (p.state != RunState::exited || !p.released) {
      p.state = t.state;
      p.why = t.why;
      if (t.state == RunState::running && p.started == 0) p.started = now;
      if (t.state == RunState::exited && !p.released) exited(*m, p, now);
    }
    if (t.state != RunState::exited && !p.job->gone) note_image(*m, p.job->image);
  }
  // What the report does not show. A start sent in answer to report w is settled by any later
  // report: the worker has carried it out or dropped it before it reports again. Nothing is
  // concluded about an earlier owner's placement until the worker has shown our token: before
  // that, the earlier owner's start could still be on its way.
  std::vector<bool> erase(m->placements.size(), false);
  for (std::size_t i = 0; i < here.size(); ++i) {
    if (here[i]) continue;
    Placement& p = m->placements[i];
    if (to_direct && !(p.inherited && !p.sent)) continue;
    if (p.sent) {
      bool later = r.session > p.sent_session;
      if (later || p.seen || p.reaping) {
        if (!p.released) ++count_.lost;
        release(*m, p, now, true);
        erase[i] = true;
      } else if (!p.direct) {
        p.sent = false;  // the answer did not get there: sent once more, same attempt
      }
    } else if (p.inherited && (under_us || p.released)) {
      release(*m, p, now, true);
      erase[i] = true;
    } else if (p.job->gone && !p.inherited && p.phase == Phase::committed && settled(*m, p)) {
      release(*m, p, now, false);  // not there, nothing on its way, and none will be sent
      erase[i] = true;
    }
  }
  for (std::size_t i = erase.size(); i-- > 0;)
    if (erase[i]) m->placements.erase(m->placements.begin() + static_cast<long>(i));
  note_idle(*m, now);
  pull_waiting(*m, now);
  plan(*m, now);
  preempt(*m, now);
  pull_waiting(*m, now);
  return Heard::fresh;
}

std::vector<Direct> Desk::direct_orders(bool fresh,
                                        const std::function<bool(const std::string&)>& skip,
                                        double now) {
  std::vector<Direct> out;
  if (!fresh) return out;
  std::vector<int> due;
  due.swap(due_);
  for (int n : due) {
    Machine* m = at(n);
    if (!m) continue;
    m->due = false;
    if (m->greet && !m->direct_out && now >= m->greet_at && !m->addr.empty()) {
      // An order without commands: it shows the worker our token, so that no earlier owner's
      // command is carried out any more, and its answer shows what is there. The session is a
      // guess at first; a 409 tells it.
      m->direct_out = true;
      m->greet_at = now + 1;
      out.push_back({m->name, m->addr, std::max<std::uint64_t>(m->session, 1), {}});
      continue;
    }
    if (m->state != Machine::up || m->direct_out || m->leaving || m->token > token_ ||
        now - m->last_report > 2 * settings_.report_s || skip(m->name))
      continue;
    Direct d{m->name, m->addr, m->session, {}};
    for (Placement& p : m->placements) {
      // A late copy of a stop does no harm: it names the attempt.
      if (p.stopping && !p.stop_sent && p.seen && !p.released) {
        p.stop_sent = true;
        d.commands.push_back(
            {Command::Op::stop, {p.job->spec.id, p.task}, p.attempt, stop_grace(*p.job)});
        continue;
      }
      if (p.phase != Phase::committed || p.released || p.seen || p.inherited || p.sent ||
          p.job->gone || p.job->done(p.task) || p.loose)
        continue;
      p.sent = p.direct = true;
      p.loose = token_;
      p.sent_session = m->session;
      p.sent_seq = m->seq;
      ++count_.starts;
      ++count_.direct;
      d.commands.push_back({Command::Op::start, {p.job->spec.id, p.task}, p.attempt, 0});
    }
    if (d.commands.empty()) continue;
    m->direct_out = true;
    out.push_back(std::move(d));
  }
  return out;
}

void Desk::direct_done(const Direct& d, int status) {
  Machine* m = find(d.machine);
  if (!m) return;
  m->direct_out = false;
  note_due(*m);
  if (status == 409) m->greet_at = 0;
  for (const Command& c : d.commands)
    for (Placement& p : m->placements) {
      if (p.attempt != c.attempt || c.op != Command::Op::start) continue;
      // 200: carried out. 409: nothing was. Anything else: perhaps, and perhaps later; it is
      // sent again in a report's answer, where a second copy has no effect.
      if (status == 200 || status == 409) p.loose = 0;
      if (status != 200 && !p.seen) p.sent = p.direct = false;
    }
}

bool Desk::wants_raise(double now) const {
  if (outranked_) return now - raised_at_ > 1;
  if (now - raised_at_ < 10) return false;
  for (const auto& [n, m] : machines_)
    for (const Placement& p : m->placements)
      if (!m->direct_out && p.loose == token_ && (p.released || p.job->gone)) return true;
  return false;
}

// The same desk under a higher token: what it knows stays, and what an older token of its own
// left on the way can no longer be carried out by a worker that has seen the new one.
void Desk::raise(std::uint64_t token, double now) {
  token_ = token;
  next_attempt_ = token << 20;
  raised_at_ = now;
  outranked_ = false;
}

std::vector<Command> Desk::orders(const std::string& name, bool fresh, double now) {
  std::vector<Command> out;
  Machine* m = find(name);
  if (!m) return out;
  m->last_answer = now;
  bool let_go = false;
  auto id = [](const Placement& p) { return wire::TaskId{p.job->spec.id, p.task}; };
  for (Placement& p : m->placements) {
    if (p.released) {
      // A result is reaped once it is persisted; what failed or stopped, at once.
      bool kept = p.why != Why::done || p.job->gone || p.job->persisted(p.task);
      if (kept && p.seen && p.state == RunState::exited && settled(*m, p)) {
        p.reaping = true;
        out.push_back({Command::Op::forget, id(p), p.attempt, 0});
      }
      continue;
    }
    if (p.job->gone || p.job->done(p.task)) {
      if (p.seen) out.push_back({Command::Op::stop, id(p), p.attempt, 0});
      continue;
    }
    if (p.phase == Phase::committed && !p.seen && !p.inherited && !p.sent) {
      if (!fresh) continue;
      if (m->leaving && !p.loose) {
        // Never sent, and it will not be: the task need not wait for this machine, nor the machine
        // for the task. (A direct copy may still be on its way: that one is sent here as well.)
        release(*m, p, now, true);
        let_go = true;
        continue;
      }
      p.sent = true;
      p.sent_session = m->session;
      p.sent_seq = m->seq;
      ++count_.starts;
      out.push_back({Command::Op::start, id(p), p.attempt, 0});
      continue;
    }
    if (p.stopping && p.seen && p.state != RunState::saving) {
      p.stop_sent = true;
      out.push_back({Command::Op::stop, id(p), p.attempt, stop_grace(*p.job)});
      continue;
    }
    // The machine is about to be taken: what can save its work does so while there is time.
    if (p.seen && p.state == RunState::running && m->notice_s && p.job->spec.checkpoint_s > 0 &&
        *m->notice_s < p.job->spec.save_s + 2 * settings_.report_s)
      out.push_back({Command::Op::stop, id(p), p.attempt, stop_grace(*p.job)});
  }
  if (let_go) {
    std::erase_if(m->placements, [](const Placement& p) {
      return p.released && !p.seen && !p.sent && !p.inherited && !p.loose;
    });
    note_idle(*m, now);
  }
  for (const auto& t : m->strangers) {
    if (t.state != RunState::exited) {
      out.push_back({Command::Op::stop, t.task, t.attempt, 0});
      continue;
    }
    auto j = jobs_.find(t.task.job);
    if (t.why != Why::done || j == jobs_.end() || j->second->persisted(t.task.index))
      out.push_back({Command::Op::forget, t.task, t.attempt, 0});
  }
  return out;
}

bool Desk::awaits_commit(const std::string& name) const {
  auto it = by_name_.find(name);
  if (it == by_name_.end()) return false;
  const Machine& m = *by_number_[static_cast<std::size_t>(it->second)];
  return std::any_of(m.placements.begin(), m.placements.end(),
                     [](const Placement& p) { return p.phase != Phase::committed; });
}

std::string Desk::summary() const {
  std::size_t ordered = 0, booting = 0, up = 0, placed = 0, waiting = 0, pending = 0;
  for (const auto& [n, m] : machines_) {
    (m->state == Machine::ordered ? ordered : m->state == Machine::booting ? booting : up)++;
    placed += m->placements.size();
    waiting += m->waiting.size();
  }
  // How far the placements are on their way.
  std::size_t planned = 0, unsent = 0, unseen = 0, fetching = 0, running = 0, over = 0;
  for (const auto& [n, m] : machines_)
    for (const Placement& p : m->placements)
      (p.released                                ? over
       : p.phase != Phase::committed             ? planned
       : p.seen && p.state == RunState::fetching ? fetching
       : p.seen                                  ? running
       : p.sent                                  ? unseen
                                                 : unsent)++;
  std::size_t idle = 0;
  std::vector<double> k;  // the learned waits, by tier
  for (const auto& [tier, wait] : idle_) k.push_back(wait.seconds(0));
  for (const auto& [n, m] : machines_) idle += m->was_idle;
  double capacity = 0, used = 0;  // vcpus of machines that are up
  for (const auto& [n, m] : machines_)
    if (m->state == Machine::up && m->type >= 0) {
      capacity += static_cast<double>(catalogue_.types[m->type].room.cpus) / 1e6;
      used += static_cast<double>(m->used.cpus) / 1e6;
    }
  for (const auto& [id, j] : jobs_) pending += j->pending.size();
  return nlohmann::json{{"shard", shard_},
                        {"token", token_},
                        {"jobs", jobs_.size()},
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
                        {"k", k},
                        {"starts", count_.starts},
                        {"direct", count_.direct},
                        {"dones", count_.dones},
                        {"errors", count_.errors},
                        {"lost", count_.lost},
                        {"rents", count_.rents},
                        {"given", count_.given},
                        {"preempted", count_.preempted},
                        {"refused", count_.refused},
                        {"returns", count_.returns},
                        {"replaced", count_.replaced},
                        {"commits", count_.commits},
                        {"commit_failures", count_.commit_failures}}
      .dump();
}

}  // namespace shunt::fleet
