#include "agent/task_storage.h"

#include <algorithm>
#include <filesystem>

#include "log/log.h"
#include "wire/codec.h"

namespace shunttrail::agent {
namespace fs = std::filesystem;
using artifacts::Outcome;
using Named = artifacts::Store::Named;

CheckpointUploader::CheckpointUploader(const AttemptContext& context) : context_(context) {}

void CheckpointUploader::upload(const Key& key, LiveAttempt& attempt) {
  const TaskDirectory directory = context_.paths.task(key);
  // A checkpoint that is being packed is finished before a later one is begun.
  const std::uint64_t number =
      attempt.packer ? attempt.packing_checkpoint : directory.highest_checkpoint();
  if (number <= attempt.uploaded_checkpoint) return;
  attempt.packing_checkpoint = number;
  try {
    if (!attempt.packer)
      attempt.packer = std::make_unique<artifacts::Packer>(directory.checkpoint(number),
                                                           directory.packed_checkpoint());
    if (!attempt.packer->step()) {
      attempt.awaits_answer = true;
      return context_.mailbox.post([this, key, find = context_.live.finder(key)] {
        if (LiveAttempt* found = find()) upload(key, *found);
      });
    }
  } catch (const std::exception& error) {
    // A disk error. Packing is retried; the end of the task does not wait for it.
    log::error("checkpoint cannot be packed for upload", log_fields(key, error.what()));
    attempt.packer.reset();
    return context_.retry_later(attempt);
  }
  attempt.packer.reset();
  upload_archive(key, attempt, number);
}

void CheckpointUploader::upload_archive(const Key& key, LiveAttempt& attempt,
                                        std::uint64_t number) {
  attempt.awaits_answer = true;
  context_.artifacts.put_file(
      context_.paths.task(key).packed_checkpoint(),
      context_.mailbox.reply<Outcome, std::string>(
          [this, key, number, find = context_.live.finder(key)](Outcome outcome, std::string hash) {
            LiveAttempt* found = find();
            if (!found) return;
            if (outcome != Outcome::ok) return context_.retry_later(*found);
            publish(key, *found, number, hash);
          }));
}

void CheckpointUploader::publish(const Key& key, LiveAttempt& attempt, std::uint64_t number,
                                 const std::string& hash) {
  attempt.awaits_answer = true;
  const nlohmann::json value = {{"hash", hash}, {"machine", context_.settings.machine}};
  context_.artifacts.put_name(
      client_protocol::checkpoint_name(key.task()), {value.dump(), key.attempt, number},
      context_.mailbox.reply<Outcome, Named>(
          [this, key, number, find = context_.live.finder(key)](Outcome outcome, Named) {
            LiveAttempt* found = find();
            if (!found) return;
            if (outcome == Outcome::unavailable) return context_.retry_later(*found);
            published(key, *found, number);
          }));
}

void CheckpointUploader::published(const Key& key, LiveAttempt& attempt, std::uint64_t number) {
  const TaskDirectory directory = context_.paths.task(key);
  // The latest checkpoint stays on disk: if the supervisor does not record the end of the task, the
  // number of the last checkpoint is read from the directory.
  for (std::uint64_t older = std::max<std::uint64_t>(attempt.uploaded_checkpoint, 1);
       older < number; ++older) {
    std::error_code ignored;
    fs::remove_all(directory.checkpoint(older), ignored);
  }
  attempt.uploaded_checkpoint = number;
  nlohmann::json fields = log_fields(key);
  fields["n"] = number;
  log::info("checkpoint uploaded to the artifact store", fields);
  context_.advance(key);
}

TaskStorage::TaskStorage(const AttemptContext& context, CheckpointUploader& checkpoints)
    : context_(context), checkpoints_(checkpoints) {}

void TaskStorage::advance(const Key& key, LiveAttempt& attempt) {
  if (!attempt.end) attempt.end = find_end(key);
  if (attempt.end->exit_reason == wire::ExitReason::done)
    store_result(key, attempt);
  else
    store_checkpoint(key, attempt);
}

// Returns the end of the attempt, as determined by an earlier process of the agent.
TaskEnd TaskStorage::find_end(const Key& key) const {
  const TaskDirectory directory = context_.paths.task(key);
  try {
    return decode_end(artifacts::read_file_or_empty(directory.end()));
  } catch (const wire::Malformed&) {
    // The supervisor has not recorded the end, and the agent has restarted since: the journal holds
    // the exit reason that was determined then.
    const wire::ExitReason recorded = context_.state.attempts().attempts.at(key).exit_reason;
    const bool has_no_result = recorded == wire::ExitReason::done;
    return {has_no_result ? wire::ExitReason::error : recorded, 0, kSupervisorLost,
            directory.highest_checkpoint()};
  }
}

void TaskStorage::store_checkpoint(const Key& key, LiveAttempt& attempt) {
  const double now = boot_now();
  if (!attempt.checkpoint_deadline)
    attempt.checkpoint_deadline = now + context_.settings.lease_s / 2;
  const bool is_lost = now > *attempt.checkpoint_deadline;
  const bool is_stored = attempt.end->highest_checkpoint <= attempt.uploaded_checkpoint;
  if (!is_stored && !is_lost) return checkpoints_.upload(key, attempt);
  AttemptTable next = context_.state.attempts();
  next.exited(key, attempt.end->exit_reason, attempt.uploaded_checkpoint > 0);
  context_.commit_or_retry(std::move(next), "exited", attempt);
}

void TaskStorage::store_result(const Key& key, LiveAttempt& attempt) {
  const TaskDirectory directory = context_.paths.task(key);
  if (!attempt.stdout_hash)
    return upload_output(key, attempt, directory.standard_output(), &LiveAttempt::stdout_hash);
  if (!attempt.stderr_hash)
    return upload_output(key, attempt, directory.standard_error(), &LiveAttempt::stderr_hash);
  publish_result(key, attempt);
}

void TaskStorage::upload_output(const Key& key, LiveAttempt& attempt, const fs::path& file,
                                std::optional<std::string> LiveAttempt::*hash) {
  attempt.awaits_answer = true;
  context_.artifacts.put_file(
      file,
      context_.mailbox.reply<Outcome, std::string>(
          [this, key, hash, find = context_.live.finder(key)](Outcome outcome, std::string stored) {
            LiveAttempt* found = find();
            if (!found) return;
            if (outcome == Outcome::unavailable || outcome == Outcome::refused)
              return context_.retry_later(*found);
            found->*hash = outcome == Outcome::ok ? stored : "";
            context_.advance(key);
          }));
}

void TaskStorage::publish_result(const Key& key, LiveAttempt& attempt) {
  const client_protocol::TaskResult result{
      key.attempt,         context_.settings.machine, attempt.end->exit_status,
      attempt.end->detail, *attempt.stdout_hash,      *attempt.stderr_hash,
      attempt.end->ran_s};
  attempt.awaits_answer = true;
  context_.artifacts.put_name(
      client_protocol::result_name(key.task()), {client_protocol::encode_result(result)},
      context_.mailbox.reply<Outcome, Named>(
          [this, key, find = context_.live.finder(key)](Outcome outcome, Named) {
            LiveAttempt* found = find();
            if (!found) return;
            if (outcome == Outcome::unavailable) return context_.retry_later(*found);
            // `refused`: the result of an earlier attempt was stored first, and that one is valid.
            AttemptTable next = context_.state.attempts();
            next.exited(key, wire::ExitReason::done);
            context_.commit_or_retry(std::move(next), "exited", *found);
          }));
}

}  // namespace shunttrail::agent
