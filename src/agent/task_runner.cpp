#include "agent/task_runner.h"

#include <filesystem>
#include <set>

#include "log/log.h"

namespace shunttrail::agent {

TaskRunner::TaskRunner(actor::Loop& loop, actor::Actor& mailbox, const Settings& settings,
                       const AgentPaths& paths, AgentState& state,
                       std::function<void()> images_changed)
    : artifacts_(loop, settings.artifacts),
      images_(loop, artifacts_, paths.images(), settings.cache_gb, std::move(images_changed)),
      context_{loop,  mailbox, settings,   paths,
               state, live_,   artifacts_, [this](const Key& key) { advance(key); }},
      checkpoints_(context_),
      watcher_(context_, checkpoints_),
      launcher_(context_, images_, watcher_),
      preparation_(context_, images_, launcher_),
      storage_(context_, checkpoints_) {}

void TaskRunner::recover() {
  for (const auto& [key, attempt] : context_.state.attempts().attempts) live_.get(key);
}

void TaskRunner::tick() {
  std::vector<Key> keys;
  std::set<std::string> used_images;
  for (const auto& [key, attempt] : context_.state.attempts().attempts) {
    if (attempt.phase == Phase::exited) continue;
    keys.push_back(key);
    const LiveAttempt* live = live_.find(key);
    if (live && !live->description.image.empty()) used_images.insert(live->description.image);
  }
  images_.keep(used_images);
  for (const Key& key : keys) advance(key);
}

void TaskRunner::advance(const Key& key) {
  const auto& attempts = context_.state.attempts().attempts;
  auto recorded = attempts.find(key);
  if (recorded == attempts.end() || recorded->second.phase == Phase::exited) return;
  const Phase phase = recorded->second.phase;
  LiveAttempt& attempt = live_.get(key);
  if (attempt.awaits_answer || boot_now() < attempt.retry_at) return;
  try {
    advance_phase(phase, key, attempt);
  } catch (const std::exception& error) {
    // Usually a disk error. The step is retried, unless the task has never run: then the attempt
    // fails, and the task may run on another machine.
    log::error("step of the attempt failed", log_fields(key, error.what()));
    if (is_accepted(key)) return context_.fail(key, wire::ExitReason::error, error.what());
    if (LiveAttempt* failed = live_.find(key)) context_.retry_later(*failed);
  }
}

// Looks the attempt up again, because a step may have replaced the attempt table.
bool TaskRunner::is_accepted(const Key& key) const {
  const auto& attempts = context_.state.attempts().attempts;
  auto recorded = attempts.find(key);
  return recorded != attempts.end() && recorded->second.phase == Phase::accepted;
}

void TaskRunner::advance_phase(Phase phase, const Key& key, LiveAttempt& attempt) {
  switch (phase) {
    case Phase::accepted:
      return preparation_.advance(key, attempt);
    case Phase::launched:
      return watcher_.advance(key, attempt);
    case Phase::ended:
      return storage_.advance(key, attempt);
    case Phase::exited:
      return;
  }
}

void TaskRunner::apply(const std::vector<Effect>& effects) {
  for (const Effect& effect : effects) apply(effect);
}

void TaskRunner::apply(const Effect& effect) {
  const Key& key = effect.key;
  switch (effect.kind) {
    case Effect::Kind::fetch:
      live_.get(key);
      context_.mailbox.post([this, key] { advance(key); });
      return;
    case Effect::Kind::abandon:
      live_.erase(key);
      return;
    case Effect::Kind::save:
      live_.get(key).checkpoint_deadline = boot_now() + effect.grace_s;
      watcher_.stop(key, {true, effect.grace_s});
      return;
    case Effect::Kind::kill:
      watcher_.stop(key, {false, 0});
      return;
    case Effect::Kind::drop:
      remove(key);
      return;
  }
}

void TaskRunner::remove(const Key& key) {
  live_.erase(key);
  std::error_code ignored;
  std::filesystem::remove_all(context_.paths.task(key).path, ignored);
}

}  // namespace shunttrail::agent
