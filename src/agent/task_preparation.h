// The preparation of an attempt before its task runs: fetches the job description, the image, and
// the result or checkpoint of an earlier attempt.
#pragma once
#include <string>

#include "agent/attempt_context.h"
#include "agent/image_cache.h"

namespace shunttrail::agent {

class TaskLauncher;

/// Prepares an accepted attempt until its task can be launched. Each step may be repeated, by this
/// process or the next.
class TaskPreparation {
 public:
  TaskPreparation(const AttemptContext& context, ImageCache& images, TaskLauncher& launcher);

  /// Runs the attempt's next step. Throws std::exception, usually for a disk error.
  void advance(const Key& key, LiveAttempt& attempt);

 private:
  void fetch_description(const Key& key, LiveAttempt& attempt);
  void handle_description(const Key& key, LiveAttempt& attempt, artifacts::Outcome outcome,
                          const std::string& text);
  void fetch_image(const Key& key, LiveAttempt& attempt);
  void find_result(const Key& key, LiveAttempt& attempt);
  void handle_result(const Key& key, LiveAttempt& attempt, artifacts::Outcome outcome);
  void find_checkpoint(const Key& key, LiveAttempt& attempt);
  void download_checkpoint(const Key& key, LiveAttempt& attempt, artifacts::Outcome outcome,
                           const std::string& text);
  void handle_downloaded_checkpoint(const Key& key, LiveAttempt& attempt,
                                    artifacts::Outcome outcome);
  void unpack_checkpoint(const Key& key, LiveAttempt& attempt);
  [[nodiscard]] bool unpack_step(const TaskDirectory& directory, LiveAttempt& attempt);
  void next_step(const Key& key, LiveAttempt& attempt, LiveAttempt::Step step);

  const AttemptContext& context_;
  ImageCache& images_;
  TaskLauncher& launcher_;
};

}  // namespace shunttrail::agent
