// Launches tasks, each under a supervisor process of its own.
#pragma once
#include "agent/attempt_context.h"

namespace shunttrail::agent {

class ImageCache;
class TaskWatcher;

class TaskLauncher {
 public:
  TaskLauncher(const AttemptContext& context, const ImageCache& images, TaskWatcher& watcher);

  /// Records in the journal that a prepared attempt is launched, then starts its supervisor. Throws
  /// std::exception, usually for a disk error.
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
