#include "agent/task_preparation.h"

#include <filesystem>

#include "agent/task_launcher.h"
#include "log/log.h"
#include "wire/codec.h"

namespace shunttrail::agent {
namespace fs = std::filesystem;
using artifacts::Outcome;
using Named = artifacts::Store::Named;
using Step = LiveAttempt::Step;
namespace {

constexpr std::uint64_t kMaxCheckpointBytes = std::uint64_t{1} << 40;

}  // namespace

TaskPreparation::TaskPreparation(const AttemptContext& context, ImageCache& images,
                                 TaskLauncher& launcher)
    : context_(context), images_(images), launcher_(launcher) {}

void TaskPreparation::advance(const Key& key, LiveAttempt& attempt) {
  switch (attempt.step) {
    case Step::fetch_description:
      return fetch_description(key, attempt);
    case Step::fetch_image:
      return fetch_image(key, attempt);
    case Step::find_result:
      return find_result(key, attempt);
    case Step::find_checkpoint:
      return find_checkpoint(key, attempt);
    case Step::unpack_checkpoint:
      return unpack_checkpoint(key, attempt);
    case Step::launch:
      return launcher_.launch(key, attempt);
  }
}

void TaskPreparation::next_step(const Key& key, LiveAttempt& attempt, Step step) {
  attempt.step = step;
  context_.advance(key);
}

void TaskPreparation::fetch_description(const Key& key, LiveAttempt& attempt) {
  attempt.awaits_answer = true;
  context_.artifacts.get_name(
      client_protocol::description_name(key.job),
      context_.mailbox.reply<Outcome, Named>(
          [this, key, find = context_.live.finder(key)](Outcome outcome, Named description) {
            if (LiveAttempt* found = find())
              handle_description(key, *found, outcome, description.value);
          }));
}

void TaskPreparation::handle_description(const Key& key, LiveAttempt& attempt, Outcome outcome,
                                         const std::string& text) {
  if (outcome == Outcome::unavailable) return context_.retry_later(attempt);
  if (outcome != Outcome::ok)
    return context_.fail(key, wire::ExitReason::unknown,
                         "the artifact store has no description of the job");
  try {
    attempt.description = client_protocol::decode_description(text);
  } catch (const wire::Malformed& error) {
    return context_.fail(key, wire::ExitReason::error,
                         std::string("the job description is malformed: ") + error.what());
  }
  const wire::JobSpec& job = attempt.description.job;
  if (job.id != key.job || key.index >= job.tasks)
    return context_.fail(key, wire::ExitReason::unknown,
                         "the job description is of another job, or has fewer tasks");
  AttemptTable next = context_.state.attempts();
  const bool fits = next.described(key, {job.cpus, job.gpus, job.mem_gb}, job.checkpoint_s > 0,
                                   job.save_s, context_.settings.capacity);
  if (!context_.commit_or_retry(std::move(next), "described", attempt)) return;
  if (!fits)
    return log::info("attempt refused: not enough free capacity on the machine", log_fields(key));
  next_step(key, attempt, Step::fetch_image);
}

void TaskPreparation::fetch_image(const Key& key, LiveAttempt& attempt) {
  if (!attempt.description.image.empty()) {
    std::string why;
    switch (images_.request(attempt.description.image, why)) {
      case ImageCache::State::fetching:
        return context_.retry_later(attempt);
      case ImageCache::State::failed:
        return context_.fail(key, wire::ExitReason::error, why);
      case ImageCache::State::ready:
        break;
    }
  }
  next_step(key, attempt, Step::find_result);
}

void TaskPreparation::find_result(const Key& key, LiveAttempt& attempt) {
  attempt.awaits_answer = true;
  context_.artifacts.get_name(
      client_protocol::result_name(key.task()),
      context_.mailbox.reply<Outcome, Named>(
          [this, key, find = context_.live.finder(key)](Outcome outcome, Named) {
            if (LiveAttempt* found = find()) handle_result(key, *found, outcome);
          }));
}

void TaskPreparation::handle_result(const Key& key, LiveAttempt& attempt, Outcome outcome) {
  if (outcome == Outcome::ok) {
    log::info("task not run: an earlier attempt has stored its result", log_fields(key));
    AttemptTable next = context_.state.attempts();
    next.exited(key, wire::ExitReason::done);
    context_.commit_or_retry(std::move(next), "exited", attempt);
    return;
  }
  if (outcome != Outcome::absent) return context_.retry_later(attempt);
  const bool saves_checkpoints = attempt.description.job.checkpoint_s > 0;
  next_step(key, attempt, saves_checkpoints ? Step::find_checkpoint : Step::launch);
}

void TaskPreparation::find_checkpoint(const Key& key, LiveAttempt& attempt) {
  attempt.awaits_answer = true;
  const TaskDirectory directory = context_.paths.task(key);
  fs::remove_all(directory.path);
  fs::create_directories(directory.save());
  context_.artifacts.get_name(
      client_protocol::checkpoint_name(key.task()),
      context_.mailbox.reply<Outcome, Named>(
          [this, key, find = context_.live.finder(key)](Outcome outcome, Named checkpoint) {
            if (LiveAttempt* found = find())
              download_checkpoint(key, *found, outcome, checkpoint.value);
          }));
}

void TaskPreparation::download_checkpoint(const Key& key, LiveAttempt& attempt, Outcome outcome,
                                          const std::string& text) {
  if (outcome == Outcome::absent) return next_step(key, attempt, Step::launch);
  const auto checkpoint = nlohmann::json::parse(text, nullptr, false);
  if (outcome != Outcome::ok || !checkpoint.is_object()) return context_.retry_later(attempt);
  attempt.awaits_answer = true;
  context_.artifacts.get_file(
      checkpoint.value("hash", ""), context_.paths.task(key).downloaded_checkpoint(),
      context_.mailbox.reply<Outcome>(
          [this, key, find = context_.live.finder(key)](Outcome downloaded) {
            if (LiveAttempt* found = find()) handle_downloaded_checkpoint(key, *found, downloaded);
          }));
}

void TaskPreparation::handle_downloaded_checkpoint(const Key& key, LiveAttempt& attempt,
                                                   Outcome outcome) {
  if (outcome == Outcome::unavailable) return context_.retry_later(attempt);
  if (outcome == Outcome::ok) return next_step(key, attempt, Step::unpack_checkpoint);
  // The task starts from the beginning rather than from an invalid checkpoint.
  log::error("checkpoint to restore is missing or damaged; task starts from the beginning",
             log_fields(key));
  next_step(key, attempt, Step::launch);
}

void TaskPreparation::unpack_checkpoint(const Key& key, LiveAttempt& attempt) {
  const TaskDirectory directory = context_.paths.task(key);
  try {
    if (!unpack_step(directory, attempt)) {
      attempt.awaits_answer = true;
      return context_.mailbox.post([this, key, find = context_.live.finder(key)] {
        if (find()) context_.advance(key);
      });
    }
  } catch (const artifacts::BadArchive& error) {
    log::error("checkpoint to restore cannot be unpacked; task starts from the beginning",
               log_fields(key, error.what()));
    fs::remove_all(directory.unpacked_checkpoint());
  }
  attempt.unpacker.reset();
  fs::remove(directory.downloaded_checkpoint());
  next_step(key, attempt, Step::launch);
}

// Unpacks a part of the checkpoint. Returns true once it is complete and in the directory in which
// the task looks for it.
bool TaskPreparation::unpack_step(const TaskDirectory& directory, LiveAttempt& attempt) {
  if (!attempt.unpacker) {
    fs::remove_all(directory.unpacked_checkpoint());
    attempt.unpacker = std::make_unique<artifacts::Unpacker>(
        directory.downloaded_checkpoint(), directory.unpacked_checkpoint(), kMaxCheckpointBytes);
  }
  if (!attempt.unpacker->step()) return false;
  fs::rename(directory.unpacked_checkpoint(), directory.restored_checkpoint());
  return true;
}

}  // namespace shunttrail::agent
