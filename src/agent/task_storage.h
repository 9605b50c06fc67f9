// What tasks leave is put into the artifact store: checkpoints while they run and when they have
// stopped, output and result when they are done.
#pragma once
#include "agent/attempt_context.h"

namespace shunttrail::agent {

/// The detail of a task's end that nobody has written down.
inline constexpr const char* kSupervisorLost = "its shepherd was lost";

/// Uploads checkpoints: packed, then stored by their hash, then named as the task's latest.
class CheckpointUploader {
 public:
  explicit CheckpointUploader(const AttemptContext& context);

  /// Takes the next step towards the attempt's latest checkpoint being in the artifact store.
  void upload(const Key& key, LiveAttempt& attempt);

 private:
  void upload_archive(const Key& key, LiveAttempt& attempt, std::uint64_t number);
  void publish(const Key& key, LiveAttempt& attempt, std::uint64_t number, const std::string& hash);
  void published(const Key& key, LiveAttempt& attempt, std::uint64_t number);

  const AttemptContext& context_;
};

/// Stores what an ended attempt leaves, before its end is reported as such.
class TaskStorage {
 public:
  TaskStorage(const AttemptContext& context, CheckpointUploader& checkpoints);

  /// Takes the next step of an ended attempt. Throws std::exception, mostly for the disk.
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
