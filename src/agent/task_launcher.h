// The launch of a task under a supervisor of its own.
#pragma once
#include "agent/attempt_context.h"

namespace shunttrail::agent {

class ImageCache;
class TaskWatcher;

class TaskLauncher {
 public:
  TaskLauncher(const AttemptContext& context, const ImageCache& images, TaskWatcher& watcher);

  /// Starts the supervisor of a prepared attempt; the attempt is launched in the journal first.
  /// Throws std::exception, mostly for the disk.
  void launch(const Key& key, LiveAttempt& attempt);

 private:
  [[nodiscard]] LaunchOrder make_order(const Key& key, const TaskDirectory& directory,
                                       const client_protocol::JobDescription& description) const;
  [[nodiscard]] bool disk_is_full() const;

  const AttemptContext& context_;
  const ImageCache& images_;
  TaskWatcher& watcher_;
};

}  // namespace shunttrail::agent
