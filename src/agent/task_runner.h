// The life of each attempt, from its start command to what is reported about its end.
#pragma once
#include <vector>

#include "agent/attempt_context.h"
#include "agent/image_cache.h"
#include "agent/task_launcher.h"
#include "agent/task_preparation.h"
#include "agent/task_storage.h"
#include "agent/task_watcher.h"

namespace shunttrail::agent {

/// Takes the steps of all attempts in the attempt table. Each step may be begun again from the
/// journal, by this process or the next.
class TaskRunner {
 public:
  /// `images_changed` is called when an image is there or has failed.
  TaskRunner(actor::Loop& loop, actor::Actor& mailbox, const Settings& settings,
             const AgentPaths& paths, AgentState& state, std::function<void()> images_changed);
  TaskRunner(const TaskRunner&) = delete;
  TaskRunner& operator=(const TaskRunner&) = delete;

  /// Takes up the attempts that the agent's state has recovered.
  void recover();
  /// Every attempt's next step, where it is time for it.
  void tick();
  /// Does what a command to the attempt table has asked for.
  void apply(const std::vector<Effect>& effects);
  void apply(const Effect& effect);
  /// Attempts that wait for their image may ask for it at once.
  void retry_images() { live_.retry_images(); }
  /// The incarnation is over and every process is gone.
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
