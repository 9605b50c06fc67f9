// Drives each attempt from its start command to the report of its end.
#pragma once
#include <vector>

#include "agent/attempt_context.h"
#include "agent/image_cache.h"
#include "agent/task_launcher.h"
#include "agent/task_preparation.h"
#include "agent/task_storage.h"
#include "agent/task_watcher.h"

namespace shunttrail::agent {

/// Runs the steps of all attempts in the attempt table. Each step may be repeated from the journal,
/// by this process or the next.
class TaskRunner {
 public:
  /// Calls `images_changed` when an image becomes ready or has failed.
  TaskRunner(actor::Loop& loop, actor::Actor& mailbox, const Settings& settings,
             const AgentPaths& paths, AgentState& state, std::function<void()> images_changed);
  TaskRunner(const TaskRunner&) = delete;
  TaskRunner& operator=(const TaskRunner&) = delete;

  /// Adds the attempts that the agent's state has recovered.
  void recover();
  /// Runs the next step of every attempt that is due.
  void tick();
  /// Carries out the effects of commands on the attempt table.
  void apply(const std::vector<Effect>& effects);
  void apply(const Effect& effect);
  /// Lets attempts that wait for their image request it again at once.
  void retry_images() { live_.retry_images(); }
  /// Drops all attempts after the incarnation and every process has ended.
  void forget_all() { live_.clear(); }

 private:
  void advance(const Key& key);
  void advance_phase(Phase phase, const Key& key, LiveAttempt& attempt);
  [[nodiscard]] bool is_accepted(const Key& key) const;
  void remove(const Key& key);

  LiveAttempts live_;
  artifacts::Client artifacts_;
  ImageCache images_;
  AttemptContext context_;
  CheckpointUploader checkpoints_;
  TaskWatcher watcher_;
  TaskLauncher launcher_;
  TaskPreparation preparation_;
  TaskStorage storage_;
};

}  // namespace shunttrail::agent
