// Uploads of tasks to the artifact store: checkpoints while a task runs and after it has stopped,
// output and result when it is done.
#pragma once
#include "agent/attempt_context.h"

namespace shunttrail::agent {

/// The detail of a task's end if the supervisor has not recorded it.
inline constexpr const char* kSupervisorLost =
    "task supervisor ended without recording how the task ended";

/// Uploads checkpoints: packs each one, stores it under its hash, and then publishes it as the
/// task's latest.
class CheckpointUploader {
 public:
  explicit CheckpointUploader(const AttemptContext& context);

  /// Runs the next step of the upload of the attempt's latest checkpoint.
  void upload(const Key& key, LiveAttempt& attempt);

 private:
  void upload_archive(const Key& key, LiveAttempt& attempt, std::uint64_t number);
  void publish(const Key& key, LiveAttempt& attempt, std::uint64_t number, const std::string& hash);
  void published(const Key& key, LiveAttempt& attempt, std::uint64_t number);

  const AttemptContext& context_;
};

/// Stores the checkpoint or the result of an ended attempt before the end is reported.
class TaskStorage {
 public:
  TaskStorage(const AttemptContext& context, CheckpointUploader& checkpoints);

  /// Runs the next step of an ended attempt. Throws std::exception, usually for a disk error.
  void advance(const Key& key, LiveAttempt& attempt);

 private:
  [[nodiscard]] TaskEnd find_end(const Key& key) const;
  void store_checkpoint(const Key& key, LiveAttempt& attempt);
  void store_result(const Key& key, LiveAttempt& attempt);
  void upload_output(const Key& key, LiveAttempt& attempt, const std::filesystem::path& file,
                     std::optional<std::string> LiveAttempt::*hash);
  void publish_result(const Key& key, LiveAttempt& attempt);

  const AttemptContext& context_;
  CheckpointUploader& checkpoints_;
};

}  // namespace shunttrail::agent
