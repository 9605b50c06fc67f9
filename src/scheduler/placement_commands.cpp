// Commands: in the answers to reports, and straight to workers.
#include <algorithm>

#include "scheduler/placements.h"

namespace shunttrail::scheduler {

using jobs::Job;
using wire::Command;
using wire::ExitReason;
using wire::TaskState;

namespace {
constexpr double kRaiseGap = 1;  // between two raises of the token
constexpr double kLooseRaiseGap =
    10;  // for the sake of something unacknowledged that keeps no lease back
// Time to save for what can.
double stop_grace(const Job& j) { return j.spec.checkpoint_s > 0 ? j.spec.save_s + 1 : 0; }
wire::TaskId id(const Placement& p) { return {p.job->spec.id, p.task}; }
// Its job is over, and it may be there, or get there: also what no report has shown yet, since a
// direct start that is on its way may come before the answer that this is for.
bool to_end(const Placement& p) {
  return p.job->over && !p.released && (p.seen || p.sent || p.unacknowledged_token || p.recovered);
}
}  // namespace

std::vector<Command> Placements::stop_commands(const Machine& m) const {
  std::vector<Command> out;
  for (const Placement& p : m.tasks.placements)
    if (to_end(p)) out.push_back({Command::Op::stop, id(p), p.attempt, 0});
  for (const auto& t : m.tasks.unknown_tasks)
    if (t.state != TaskState::exited) out.push_back({Command::Op::stop, t.task, t.attempt, 0});
  return out;
}

bool Placements::has_unacknowledged_start(const Machine& m) const {
  return std::any_of(m.tasks.placements.begin(), m.tasks.placements.end(),
                     [this](const Placement& p) { return may_start_late(p); });
}

std::vector<Command> Placements::commands_for(Machine& m, bool fresh, double now) {
  std::vector<Command> out;
  bool let_go = false;
  for (Placement& p : m.tasks.placements) {
    if (p.released) {
      // A result is reaped once it is persisted; what failed or stopped, at once.
      bool kept = p.exit_reason != ExitReason::done || p.job->over || p.job->persisted(p.task);
      if (kept && p.seen && p.state == TaskState::exited && is_acknowledged(m, p)) {
        p.acknowledging = true;
        out.push_back({Command::Op::acknowledge, id(p), p.attempt, 0});
      }
      continue;
    }
    if (p.job->over || p.job->done(p.task)) {
      if (to_end(p) || p.seen) out.push_back({Command::Op::stop, id(p), p.attempt, 0});
      continue;
    }
    if (p.phase == Phase::committed && !p.seen && !p.recovered && !p.sent) {
      if (!fresh) continue;
      if (m.leaving && !p.unacknowledged_token) {
        // Never sent, and it will not be: the task need not wait for this machine, nor the machine
        // for the task. (A direct copy may still be on its way: that one is sent here as well.)
        release(m, p, now, true);
        let_go = true;
        continue;
      }
      p.sent = true;
      p.sent_incarnation = m.tasks.incarnation;
      p.sent_sequence = m.tasks.sequence;
      ++context_.counters.starts;
      out.push_back({Command::Op::start, id(p), p.attempt, 0});
      continue;
    }
    if (p.preempted && p.seen && p.state != TaskState::saving) {
      p.stop_sent = true;
      out.push_back({Command::Op::stop, id(p), p.attempt, stop_grace(*p.job)});
      continue;
    }
    // The machine is about to be taken: what can save its work does so while there is time.
    if (p.seen && p.state == TaskState::running && m.notice_s && p.job->spec.checkpoint_s > 0 &&
        *m.notice_s < p.job->spec.save_s + 2 * context_.settings.heartbeat_s)
      out.push_back({Command::Op::stop, id(p), p.attempt, stop_grace(*p.job)});
  }
  if (let_go) {
    std::erase_if(m.tasks.placements, [](const Placement& p) {
      return p.released && !p.seen && !p.sent && !p.recovered && !p.unacknowledged_token;
    });
    machines_.note_idle(m, now);
  }
  for (const auto& t : m.tasks.unknown_tasks) {
    if (t.state != TaskState::exited) {
      out.push_back({Command::Op::stop, t.task, t.attempt, 0});
      continue;
    }
    auto j = context_.jobs.find(t.task.job);
    if (t.exit_reason != ExitReason::done || j == context_.jobs.end() ||
        j->second->persisted(t.task.index))
      out.push_back({Command::Op::acknowledge, t.task, t.attempt, 0});
  }
  return out;
}

bool Placements::awaits_commit(const Machine& m) {
  return std::any_of(m.tasks.placements.begin(), m.tasks.placements.end(),
                     [](const Placement& p) { return p.phase != Phase::committed; });
}

// ---- direct orders

void Placements::note_direct_due(Machine& m) {
  if (m.tasks.direct_due) return;
  m.tasks.direct_due = true;
  direct_due_.push_back(m.number);
}

std::vector<DirectCommands> Placements::direct_commands(
    bool fresh, const std::function<bool(const std::string&)>& skip, double now) {
  std::vector<DirectCommands> out;
  if (!fresh) return out;
  std::vector<int> due;
  due.swap(direct_due_);
  for (int n : due) {
    Machine* m = machines_.at(n);
    if (!m) continue;
    m->tasks.direct_due = false;
    if (m->tasks.needs_resync && !m->tasks.direct_in_flight && now >= m->tasks.resync_at &&
        !m->addr.empty()) {
      // An order without commands: it shows the worker our token, so that no earlier owner's
      // command is carried out any more, and its answer shows what is there. The incarnation is a
      // guess at first; a 409 tells it.
      m->tasks.direct_in_flight = true;
      m->tasks.resync_at = now + 1;
      out.push_back({m->name, m->addr, std::max<std::uint64_t>(m->tasks.incarnation, 1), {}});
      continue;
    }
    if (m->state != Machine::up || m->tasks.direct_in_flight || m->tasks.token > token_ ||
        m->addr.empty() || skip(m->name))
      continue;
    const bool silent = now - m->last_heartbeat > 2 * context_.settings.heartbeat_s;
    DirectCommands d{m->name, m->addr, m->tasks.incarnation, {}};
    for (Placement& p : m->tasks.placements) {
      // A machine that reports to nobody may hear this, and one that hangs finds it when it goes
      // on.
      if (p.job->over && p.seen && !p.released && !p.end_sent) {
        p.end_sent = true;
        d.commands.push_back({Command::Op::stop, id(p), p.attempt, 0});
        continue;
      }
      if (silent) continue;
      // A late copy of a stop does no harm: it names the attempt.
      if (p.preempted && !p.stop_sent && p.seen && !p.released) {
        p.stop_sent = true;
        d.commands.push_back({Command::Op::stop, id(p), p.attempt, stop_grace(*p.job)});
        continue;
      }
      if (m->leaving || p.phase != Phase::committed || p.released || p.seen || p.recovered ||
          p.sent || p.job->over || p.job->done(p.task) || p.unacknowledged_token)
        continue;
      p.sent = p.sent_directly = true;
      p.unacknowledged_token = token_;
      p.sent_incarnation = m->tasks.incarnation;
      p.sent_sequence = m->tasks.sequence;
      ++context_.counters.starts;
      ++context_.counters.direct;
      d.commands.push_back({Command::Op::start, id(p), p.attempt, 0});
    }
    if (d.commands.empty()) continue;
    m->tasks.direct_in_flight = true;
    out.push_back(std::move(d));
  }
  return out;
}

void Placements::direct_commands_done(const DirectCommands& d, int status) {
  Machine* m = machines_.find(d.machine);
  if (!m) return;
  m->tasks.direct_in_flight = false;
  note_direct_due(*m);
  if (status == 409) m->tasks.resync_at = 0;
  for (const Command& c : d.commands)
    for (Placement& p : m->tasks.placements) {
      if (p.attempt != c.attempt || c.op != Command::Op::start) continue;
      // 200: carried out. 409: nothing was. Anything else: perhaps, and perhaps later; it is
      // sent again in a report's answer, where a second copy has no effect.
      if (status == 200 || status == 409) p.unacknowledged_token = 0;
      if (status != 200 && !p.seen) p.sent = p.sent_directly = false;
    }
}

bool Placements::needs_new_token(double now) const {
  if (now - token_advanced_at_ <= kRaiseGap) return false;
  if (saw_higher_token_) return true;
  const bool long_ago = now - token_advanced_at_ >= kLooseRaiseGap;
  for (const auto& [n, m] : machines_.all()) {
    // Its answer may still settle it.
    if (m->tasks.direct_in_flight) continue;
    for (const Placement& p : m->tasks.placements)
      if (may_start_late(p) ||
          (long_ago && p.unacknowledged_token == token_ && (p.released || p.job->over)))
        return true;
  }
  return false;
}

// The same scheduler under a higher token: what it knows stays, and what an older token of its own
// left on the way can no longer be carried out by a worker that has seen the new one.
void Placements::advance_token(std::uint64_t token, double now) {
  token_ = token;
  next_attempt_ = token << 20;
  token_advanced_at_ = now;
  saw_higher_token_ = false;
}

}  // namespace shunttrail::scheduler
