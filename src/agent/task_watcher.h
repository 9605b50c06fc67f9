// Watches launched tasks: detects their end, stops them, and determines how they ended.
#pragma once
#include "agent/attempt_context.h"

namespace shunttrail::agent {

class CheckpointUploader;

/// The variable in which a task finds the directory of its image.
inline constexpr const char* kImageDirVariable = "SHUNT_IMAGE_DIR";

/// Watches supervisors by pidfds, because pids may be reused.
class TaskWatcher {
 public:
  TaskWatcher(const AttemptContext& context, CheckpointUploader& checkpoints);

  /// Runs the next step of a launched attempt. Finds its supervisor if an earlier process of the
  /// agent has started it. Throws std::exception, usually for a disk error.
  void advance(const Key& key, LiveAttempt& attempt);
  /// Registers for the end of the supervisor whose pidfd the attempt holds.
  void attach(const Key& key, LiveAttempt& attempt);
  /// Requests that the task's supervisor stop the task.
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
