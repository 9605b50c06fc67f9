// A launched task: whether it still runs, how it is stopped, and how it ended.
#pragma once
#include "agent/attempt_context.h"

namespace shunttrail::agent {

class CheckpointUploader;

/// The variable in which a task finds the directory of its image.
inline constexpr const char* kImageDirVariable = "SHUNT_IMAGE_DIR";

/// Watches supervisors by handles on their processes, never by process numbers alone.
class TaskWatcher {
 public:
  TaskWatcher(const AttemptContext& context, CheckpointUploader& checkpoints);

  /// Looks after a launched attempt; finds its supervisor if an earlier process of the agent has
  /// started it. Throws std::exception, mostly for the disk.
  void advance(const Key& key, LiveAttempt& attempt);
  /// Waits for the end of the supervisor whose handle the attempt has.
  void attach(const Key& key, LiveAttempt& attempt);
  /// Tells the task's supervisor to stop it.
  void stop(const Key& key, const StopOrder& order);

 private:
  void watch_supervisor(const Key& key, LiveAttempt& attempt);
  void find_supervisor(const Key& key, LiveAttempt& attempt);
  void find_image(const TaskDirectory& directory, LiveAttempt& attempt) const;
  void repeat_stop(const Key& key, LiveAttempt& attempt);
  void supervisor_ended(const Key& key);
  [[nodiscard]] bool read_end(const Key& key, TaskEnd& end) const;

  const AttemptContext& context_;
  CheckpointUploader& checkpoints_;
};

}  // namespace shunttrail::agent
