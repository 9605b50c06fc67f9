#include "agent/attempt_table.h"

#include <algorithm>

namespace shunttrail::agent {
namespace {

constexpr std::size_t kMaxAcknowledged = 2000;
constexpr double kRoundingSlack = 1e-6;  // for rounding errors in sums of resources

std::string task_name(const Key& key) { return key.job + "/" + std::to_string(key.index); }
std::string label(const Key& key) {
  return task_name(key) + " attempt " + std::to_string(key.attempt);
}

bool fits(const Resources& needs, const Resources& machine) {
  return needs.cpus <= machine.cpus + kRoundingSlack &&
         needs.gpus <= machine.gpus + kRoundingSlack &&
         needs.mem_gb <= machine.mem_gb + kRoundingSlack;
}

wire::TaskStatus status_of(const Key& key, const Attempt& attempt) {
  wire::TaskStatus status{key.task(), key.attempt};
  switch (attempt.phase) {
    case Phase::accepted:
      status.state = wire::TaskState::fetching;
      break;
    case Phase::launched:
      status.state = attempt.saving ? wire::TaskState::saving : wire::TaskState::running;
      break;
    case Phase::ended:
      // The attempt keeps its resources until its result is in the artifact store, because a
      // reported `done` is never withdrawn.
      status.state = attempt.exit_reason == wire::ExitReason::stopped ? wire::TaskState::saving
                                                                      : wire::TaskState::running;
      break;
    case Phase::exited:
      status.state = wire::TaskState::exited;
      status.exit_reason = attempt.exit_reason;
      status.checkpointed = attempt.checkpointed;
      break;
  }
  return status;
}

}  // namespace

Attempt* AttemptTable::find(const Key& key) {
  auto it = attempts.find(key);
  return it == attempts.end() ? nullptr : &it->second;
}

std::vector<Effect> AttemptTable::execute(const std::vector<wire::Command>& commands,
                                          std::vector<std::string>* refused) {
  std::vector<Effect> effects;
  for (const wire::Command& command : commands) {
    const Key key{command.task.job, command.task.index, command.attempt};
    switch (command.op) {
      case wire::Command::Op::start:
        start(key, effects, refused);
        break;
      case wire::Command::Op::stop:
        stop(key, command.grace_s, effects);
        break;
      case wire::Command::Op::acknowledge:
        acknowledge(key, effects);
        break;
    }
  }
  return effects;
}

std::optional<std::uint64_t> AttemptTable::highest_acknowledged(const Key& key) const {
  const std::string task = task_name(key);
  for (const auto& [name, attempt] : acknowledged)
    if (name == task) return attempt;
  return std::nullopt;
}

void AttemptTable::start(const Key& key, std::vector<Effect>& effects,
                         std::vector<std::string>* refused) {
  if (find(key)) return;
  // Attempt numbers of a task only increase (docs/safety.md, "attempts unique"): a start with a
  // lower number was delayed on the network until after its own attempt had ended.
  std::optional<std::uint64_t> highest = highest_acknowledged(key);
  bool holds_another = false;
  for (auto it = attempts.lower_bound({key.job, key.index, 0});
       it != attempts.end() && it->first.job == key.job && it->first.index == key.index; ++it) {
    highest = std::max(highest.value_or(0), it->first.attempt);
    holds_another |= it->second.phase != Phase::exited;
  }
  if (highest && key.attempt <= *highest) {
    if (refused)
      refused->push_back("start of " + label(key) + ": attempt " + std::to_string(*highest) +
                         " of the task is known");
    return;
  }
  Attempt attempt;
  if (holds_another) {
    attempt.phase = Phase::exited;
    attempt.exit_reason = wire::ExitReason::busy;
  } else {
    effects.push_back({Effect::Kind::fetch, key});
  }
  attempts.emplace(key, attempt);
}

void AttemptTable::stop(const Key& key, double grace_s, std::vector<Effect>& effects) {
  Attempt* attempt = find(key);
  if (!attempt) return;
  switch (attempt->phase) {
    case Phase::exited:
      return;
    case Phase::accepted:
    case Phase::ended:
      // There is no process. An upload that is under way may still reach the artifact store; the
      // task's next attempt then finds the result and is done at once.
      attempt->phase = Phase::exited;
      attempt->exit_reason = wire::ExitReason::stopped;
      effects.push_back({Effect::Kind::abandon, key});
      return;
    case Phase::launched:
      const bool can_save = attempt->saves && grace_s > 0 && grace_s >= attempt->save_s;
      if (!attempt->stopping && can_save) {
        attempt->stopping = attempt->saving = true;
        effects.push_back({Effect::Kind::save, key, grace_s});
      } else if (!attempt->stopping || (attempt->saving && grace_s <= 0)) {
        attempt->stopping = true;
        attempt->saving = false;
        effects.push_back({Effect::Kind::kill, key});
      }
      return;
  }
}

void AttemptTable::acknowledge(const Key& key, std::vector<Effect>& effects) {
  const Attempt* attempt = find(key);
  if (!attempt || attempt->phase != Phase::exited) return;
  attempts.erase(key);
  const std::string task = task_name(key);
  const std::uint64_t highest = std::max(key.attempt, highest_acknowledged(key).value_or(0));
  std::erase_if(acknowledged, [&](const auto& entry) { return entry.first == task; });
  acknowledged.emplace_back(task, highest);
  if (acknowledged.size() > kMaxAcknowledged) acknowledged.pop_front();
  effects.push_back({Effect::Kind::drop, key});
}

// Returns the resources in use on the machine if this attempt has these needs.
Resources AttemptTable::total_with(const Key& key, const Resources& needs) const {
  Resources total = needs;
  for (const auto& [other, attempt] : attempts) {
    if (other == key || attempt.phase == Phase::exited) continue;
    total.cpus += attempt.needs.cpus;
    total.gpus += attempt.needs.gpus;
    total.mem_gb += attempt.needs.mem_gb;
  }
  return total;
}

bool AttemptTable::described(const Key& key, const Resources& needs, bool saves, double save_s,
                             const Resources& machine) {
  Attempt* attempt = find(key);
  if (!attempt) return false;
  if (!fits(total_with(key, needs), machine)) {
    exited(key, wire::ExitReason::no_room);
    return false;
  }
  attempt->needs = needs;
  attempt->saves = saves;
  attempt->save_s = save_s;
  return true;
}

void AttemptTable::launched(const Key& key) {
  if (Attempt* attempt = find(key)) attempt->phase = Phase::launched;
}

void AttemptTable::ended(const Key& key, wire::ExitReason reason, bool checkpointed) {
  set_exit(key, Phase::ended, reason, checkpointed);
}

void AttemptTable::exited(const Key& key, wire::ExitReason reason, bool checkpointed) {
  set_exit(key, Phase::exited, reason, checkpointed);
}

void AttemptTable::set_exit(const Key& key, Phase phase, wire::ExitReason reason,
                            bool checkpointed) {
  Attempt* attempt = find(key);
  if (!attempt) return;
  attempt->phase = phase;
  attempt->exit_reason = reason;
  attempt->checkpointed = checkpointed;
}

void AttemptTable::next_incarnation() {
  ++incarnation;
  attempts.clear();
  acknowledged.clear();
}

std::vector<wire::TaskStatus> AttemptTable::tasks() const {
  std::vector<wire::TaskStatus> statuses;
  for (const auto& [key, attempt] : attempts) statuses.push_back(status_of(key, attempt));
  return statuses;
}

}  // namespace shunttrail::agent
