// Commands: in the answers to reports, and straight to workers.
#include <algorithm>

#include "scheduler/placements.h"

namespace shunt::fleet {

using jobs::Job;
using wire::Command;
using wire::RunState;
using wire::Why;

namespace {
constexpr double kRaiseGap = 1;        // between two raises of the token
constexpr double kLooseRaiseGap = 10;  // for the sake of something loose that keeps no lease back
// Time to save for what can.
double stop_grace(const Job& j) { return j.spec.checkpoint_s > 0 ? j.spec.save_s + 1 : 0; }
wire::TaskId id(const Placement& p) { return {p.job->spec.id, p.task}; }
// Its job is over, and it may be there, or get there: also what no report has shown yet, since a
// direct start that is on its way may come before the answer that this is for.
bool to_end(const Placement& p) {
  return p.job->gone && !p.released && (p.seen || p.sent || p.loose || p.inherited);
}
}  // namespace

std::vector<Command> Placements::stops(const Machine& m) const {
  std::vector<Command> out;
  for (const Placement& p : m.placed.list)
    if (to_end(p)) out.push_back({Command::Op::stop, id(p), p.attempt, 0});
  for (const auto& t : m.placed.strangers)
    if (t.state != RunState::exited) out.push_back({Command::Op::stop, t.task, t.attempt, 0});
  return out;
}

bool Placements::unsettled(const Machine& m) const {
  return std::any_of(m.placed.list.begin(), m.placed.list.end(),
                     [this](const Placement& p) { return may_start_late(p); });
}

std::vector<Command> Placements::orders(Machine& m, bool fresh, double now) {
  std::vector<Command> out;
  bool let_go = false;
  for (Placement& p : m.placed.list) {
    if (p.released) {
      // A result is reaped once it is persisted; what failed or stopped, at once.
      bool kept = p.why != Why::done || p.job->gone || p.job->persisted(p.task);
      if (kept && p.seen && p.state == RunState::exited && settled(m, p)) {
        p.reaping = true;
        out.push_back({Command::Op::forget, id(p), p.attempt, 0});
      }
      continue;
    }
    if (p.job->gone || p.job->done(p.task)) {
      if (to_end(p) || p.seen) out.push_back({Command::Op::stop, id(p), p.attempt, 0});
      continue;
    }
    if (p.phase == Phase::committed && !p.seen && !p.inherited && !p.sent) {
      if (!fresh) continue;
      if (m.leaving && !p.loose) {
        // Never sent, and it will not be: the task need not wait for this machine, nor the machine
        // for the task. (A direct copy may still be on its way: that one is sent here as well.)
        release(m, p, now, true);
        let_go = true;
        continue;
      }
      p.sent = true;
      p.sent_session = m.placed.session;
      p.sent_seq = m.placed.seq;
      ++common_.count.starts;
      out.push_back({Command::Op::start, id(p), p.attempt, 0});
      continue;
    }
    if (p.stopping && p.seen && p.state != RunState::saving) {
      p.stop_sent = true;
      out.push_back({Command::Op::stop, id(p), p.attempt, stop_grace(*p.job)});
      continue;
    }
    // The machine is about to be taken: what can save its work does so while there is time.
    if (p.seen && p.state == RunState::running && m.notice_s && p.job->spec.checkpoint_s > 0 &&
        *m.notice_s < p.job->spec.save_s + 2 * common_.settings.report_s)
      out.push_back({Command::Op::stop, id(p), p.attempt, stop_grace(*p.job)});
  }
  if (let_go) {
    std::erase_if(m.placed.list, [](const Placement& p) {
      return p.released && !p.seen && !p.sent && !p.inherited && !p.loose;
    });
    machines_.note_idle(m, now);
  }
  for (const auto& t : m.placed.strangers) {
    if (t.state != RunState::exited) {
      out.push_back({Command::Op::stop, t.task, t.attempt, 0});
      continue;
    }
    auto j = common_.jobs.find(t.task.job);
    if (t.why != Why::done || j == common_.jobs.end() || j->second->persisted(t.task.index))
      out.push_back({Command::Op::forget, t.task, t.attempt, 0});
  }
  return out;
}

bool Placements::awaits_commit(const Machine& m) {
  return std::any_of(m.placed.list.begin(), m.placed.list.end(),
                     [](const Placement& p) { return p.phase != Phase::committed; });
}

// ---- direct orders

void Placements::note_due(Machine& m) {
  if (m.placed.due) return;
  m.placed.due = true;
  due_.push_back(m.number);
}

std::vector<Direct> Placements::direct_orders(bool fresh,
                                              const std::function<bool(const std::string&)>& skip,
                                              double now) {
  std::vector<Direct> out;
  if (!fresh) return out;
  std::vector<int> due;
  due.swap(due_);
  for (int n : due) {
    Machine* m = machines_.at(n);
    if (!m) continue;
    m->placed.due = false;
    if (m->placed.greet && !m->placed.direct_out && now >= m->placed.greet_at && !m->addr.empty()) {
      // An order without commands: it shows the worker our token, so that no earlier owner's
      // command is carried out any more, and its answer shows what is there. The session is a
      // guess at first; a 409 tells it.
      m->placed.direct_out = true;
      m->placed.greet_at = now + 1;
      out.push_back({m->name, m->addr, std::max<std::uint64_t>(m->placed.session, 1), {}});
      continue;
    }
    if (m->state != Machine::up || m->placed.direct_out || m->placed.token > token_ ||
        m->addr.empty() || skip(m->name))
      continue;
    const bool silent = now - m->last_report > 2 * common_.settings.report_s;
    Direct d{m->name, m->addr, m->placed.session, {}};
    for (Placement& p : m->placed.list) {
      // A machine that reports to nobody may hear this, and one that hangs finds it when it goes
      // on.
      if (p.job->gone && p.seen && !p.released && !p.end_sent) {
        p.end_sent = true;
        d.commands.push_back({Command::Op::stop, id(p), p.attempt, 0});
        continue;
      }
      if (silent) continue;
      // A late copy of a stop does no harm: it names the attempt.
      if (p.stopping && !p.stop_sent && p.seen && !p.released) {
        p.stop_sent = true;
        d.commands.push_back({Command::Op::stop, id(p), p.attempt, stop_grace(*p.job)});
        continue;
      }
      if (m->leaving || p.phase != Phase::committed || p.released || p.seen || p.inherited ||
          p.sent || p.job->gone || p.job->done(p.task) || p.loose)
        continue;
      p.sent = p.direct = true;
      p.loose = token_;
      p.sent_session = m->placed.session;
      p.sent_seq = m->placed.seq;
      ++common_.count.starts;
      ++common_.count.direct;
      d.commands.push_back({Command::Op::start, id(p), p.attempt, 0});
    }
    if (d.commands.empty()) continue;
    m->placed.direct_out = true;
    out.push_back(std::move(d));
  }
  return out;
}

void Placements::direct_done(const Direct& d, int status) {
  Machine* m = machines_.find(d.machine);
  if (!m) return;
  m->placed.direct_out = false;
  note_due(*m);
  if (status == 409) m->placed.greet_at = 0;
  for (const Command& c : d.commands)
    for (Placement& p : m->placed.list) {
      if (p.attempt != c.attempt || c.op != Command::Op::start) continue;
      // 200: carried out. 409: nothing was. Anything else: perhaps, and perhaps later; it is
      // sent again in a report's answer, where a second copy has no effect.
      if (status == 200 || status == 409) p.loose = 0;
      if (status != 200 && !p.seen) p.sent = p.direct = false;
    }
}

bool Placements::wants_raise(double now) const {
  if (now - raised_at_ <= kRaiseGap) return false;
  if (outranked_) return true;
  const bool long_ago = now - raised_at_ >= kLooseRaiseGap;
  for (const auto& [n, m] : machines_.all()) {
    // Its answer may still settle it.
    if (m->placed.direct_out) continue;
    for (const Placement& p : m->placed.list)
      if (may_start_late(p) || (long_ago && p.loose == token_ && (p.released || p.job->gone)))
        return true;
  }
  return false;
}

// The same desk under a higher token: what it knows stays, and what an older token of its own
// left on the way can no longer be carried out by a worker that has seen the new one.
void Placements::raise(std::uint64_t token, double now) {
  token_ = token;
  next_attempt_ = token << 20;
  raised_at_ = now;
  outranked_ = false;
}

}  // namespace shunt::fleet
