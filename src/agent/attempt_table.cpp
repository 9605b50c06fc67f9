#include "agent/attempt_table.h"

#include <algorithm>

namespace shunttrail::agent {
namespace {
constexpr std::size_t kForgottenKept = 2000;

std::string name(const Key& k) { return k.job + "/" + std::to_string(k.index); }
std::string label(const Key& k) { return name(k) + " attempt " + std::to_string(k.attempt); }
}  // namespace

Attempt* AttemptTable::find(const Key& k) {
  auto it = attempts.find(k);
  return it == attempts.end() ? nullptr : &it->second;
}

std::vector<Effect> AttemptTable::execute(const std::vector<wire::Command>& commands,
                                          std::vector<std::string>* refused) {
  std::vector<Effect> out;
  for (const auto& c : commands) {
    Key k{c.task.job, c.task.index, c.attempt};
    switch (c.op) {
      case wire::Command::Op::start:
        start(k, out, refused);
        break;
      case wire::Command::Op::stop:
        stop(k, c.grace_s, out);
        break;
      case wire::Command::Op::acknowledge:
        acknowledge(k, out);
        break;
    }
  }
  return out;
}

void AttemptTable::start(const Key& k, std::vector<Effect>& out,
                         std::vector<std::string>* refused) {
  if (find(k)) return;
  // Attempts of a task only go up (docs/safety.md, "attempts unique"): a lower one is a command
  // that was held back on the way until after its own end.
  auto late = [&](std::uint64_t seen) {
    if (k.attempt > seen) return false;
    if (refused) refused->push_back("start of " + label(k) + ": attempts have gone on");
    return true;
  };
  bool held = false;
  for (auto it = attempts.lower_bound({k.job, k.index, 0});
       it != attempts.end() && it->first.job == k.job && it->first.index == k.index; ++it) {
    if (late(it->first.attempt)) return;
    held |= it->second.phase != Phase::exited;
  }
  const std::string task = name(k);
  for (const auto& [t, attempt] : acknowledged)
    if (t == task && late(attempt)) return;
  Attempt a;
  if (held) {
    a.phase = Phase::exited;
    a.exit_reason = wire::ExitReason::busy;
  } else {
    out.push_back({Effect::Kind::fetch, k});
  }
  attempts.emplace(k, a);
}

void AttemptTable::stop(const Key& k, double grace_s, std::vector<Effect>& out) {
  Attempt* a = find(k);
  if (!a) return;
  switch (a->phase) {
    case Phase::exited:
      return;
    case Phase::accepted:
    case Phase::ended:
      // No process is there. What is on its way to the artifact store may still get there; the
      // task's next attempt then finds it and is done at once.
      a->phase = Phase::exited;
      a->exit_reason = wire::ExitReason::stopped;
      out.push_back({Effect::Kind::abandon, k});
      return;
    case Phase::launched:
      if (!a->stopping && a->saves && grace_s > 0 && grace_s >= a->save_s) {
        a->stopping = a->saving = true;
        out.push_back({Effect::Kind::save, k, grace_s});
      } else if (!a->stopping || (a->saving && grace_s <= 0)) {
        a->stopping = true;
        a->saving = false;
        out.push_back({Effect::Kind::kill, k});
      }
      return;
  }
}

void AttemptTable::acknowledge(const Key& k, std::vector<Effect>& out) {
  Attempt* a = find(k);
  if (!a || a->phase != Phase::exited) return;
  attempts.erase(k);
  const std::string task = name(k);
  std::uint64_t highest = k.attempt;
  std::erase_if(acknowledged, [&](const auto& f) {
    if (f.first != task) return false;
    highest = std::max(highest, f.second);
    return true;
  });
  acknowledged.emplace_back(task, highest);
  if (acknowledged.size() > kForgottenKept) acknowledged.pop_front();
  out.push_back({Effect::Kind::drop, k});
}

bool AttemptTable::described(const Key& k, const Resources& needs, bool saves, double save_s,
                             const Resources& machine) {
  Attempt* a = find(k);
  if (!a) return false;
  Resources used = needs;
  for (const auto& [other, b] : attempts) {
    if (other == k || b.phase == Phase::exited) continue;
    used.cpus += b.needs.cpus;
    used.gpus += b.needs.gpus;
    used.mem_gb += b.needs.mem_gb;
  }
  constexpr double kSlack = 1e-6;
  if (used.cpus > machine.cpus + kSlack || used.gpus > machine.gpus + kSlack ||
      used.mem_gb > machine.mem_gb + kSlack) {
    exited(k, wire::ExitReason::no_room);
    return false;
  }
  a->needs = needs;
  a->saves = saves;
  a->save_s = save_s;
  return true;
}

void AttemptTable::launched(const Key& k) {
  if (Attempt* a = find(k)) a->phase = Phase::launched;
}
void AttemptTable::ended(const Key& k, wire::ExitReason why, bool kept) {
  if (Attempt* a = find(k)) {
    a->phase = Phase::ended;
    a->exit_reason = why;
    a->checkpointed = kept;
  }
}
void AttemptTable::exited(const Key& k, wire::ExitReason why, bool kept) {
  if (Attempt* a = find(k)) {
    a->phase = Phase::exited;
    a->exit_reason = why;
    a->checkpointed = kept;
  }
}
void AttemptTable::next_incarnation() {
  ++incarnation;
  attempts.clear();
  acknowledged.clear();
}

std::vector<wire::TaskStatus> AttemptTable::tasks() const {
  std::vector<wire::TaskStatus> out;
  for (const auto& [k, a] : attempts) {
    wire::TaskStatus t{k.task(), k.attempt};
    switch (a.phase) {
      case Phase::accepted:
        t.state = wire::TaskState::fetching;
        break;
      case Phase::launched:
        t.state = a.saving ? wire::TaskState::saving : wire::TaskState::running;
        break;
      case Phase::ended:
        // It holds its place until its result is safe: `done` is never taken back.
        t.state = a.exit_reason == wire::ExitReason::stopped ? wire::TaskState::saving
                                                             : wire::TaskState::running;
        break;
      case Phase::exited:
        t.state = wire::TaskState::exited;
        t.exit_reason = a.exit_reason;
        t.checkpointed = a.checkpointed;
        break;
    }
    out.push_back(std::move(t));
  }
  return out;
}

}  // namespace shunttrail::agent
