#include "agent/task_watcher.h"

#include <signal.h>

#include <algorithm>
#include <filesystem>

#include "agent/task_storage.h"
#include "artifacts/store.h"
#include "log/log.h"
#include "wire/codec.h"

namespace shunttrail::agent {
namespace fs = std::filesystem;
namespace {

constexpr double kFindRetryDelayS = 0.2;  // between searches for a supervisor
constexpr double kSupervisorGraceS = 2;   // beyond the task's own grace; then it is killed

}  // namespace

TaskWatcher::TaskWatcher(const AttemptContext& context, CheckpointUploader& checkpoints)
    : context_(context), checkpoints_(checkpoints) {}

void TaskWatcher::advance(const Key& key, LiveAttempt& attempt) {
  if (attempt.supervisor)
    watch_supervisor(key, attempt);
  else
    find_supervisor(key, attempt);
}

void TaskWatcher::watch_supervisor(const Key& key, LiveAttempt& attempt) {
  // A supervisor that hangs, for example after SIGSTOP, must not keep its task alive.
  if (attempt.supervisor_deadline && boot_now() > *attempt.supervisor_deadline)
    signal_process(attempt.supervisor, SIGKILL);
  if (context_.state.attempts().attempts.at(key).saves) checkpoints_.upload(key, attempt);
}

// Determines whether a launched task still has a supervisor, and attaches to it if so.
void TaskWatcher::find_supervisor(const Key& key, LiveAttempt& attempt) {
  const TaskDirectory directory = context_.paths.task(key);
  if (fs::exists(directory.end())) return supervisor_ended(key);
  // The lock shows whether the supervisor is alive, even if its pid has been reused.
  fs::create_directories(directory.path);
  if (auto lock = try_lock(directory.lock())) {
    // No supervisor is alive. Since the launch order is removed under the lock, one that starts
    // late will not run the task.
    fs::remove(directory.launch_order());
    return supervisor_ended(key);
  }
  attempt.supervisor = open_process(read_identity(directory.supervisor_identity()));
  // The supervisor has not recorded its identity yet, or is just ending.
  if (!attempt.supervisor) return context_.retry_later(attempt, kFindRetryDelayS);
  attach(key, attempt);
  find_image(directory, attempt);
  repeat_stop(key, attempt);
}

void TaskWatcher::find_image(const TaskDirectory& directory, LiveAttempt& attempt) const {
  try {
    const LaunchOrder order = decode_order(artifacts::read_file_or_empty(directory.launch_order()));
    if (auto image = order.env.find(kImageDirVariable); image != order.env.end())
      attempt.description.image = fs::path(image->second).filename();
  } catch (const wire::Malformed&) {
    // The launch order is missing or damaged. The task runs on, but its image is unknown.
  }
}

// Repeats a recorded stop request, because the previous agent process may have been killed before
// it reached the supervisor.
void TaskWatcher::repeat_stop(const Key& key, LiveAttempt& attempt) {
  const Attempt& recorded = context_.state.attempts().attempts.at(key);
  if (!recorded.stopping) return;
  double grace_s = 0;
  if (recorded.saving) {
    grace_s = std::max(recorded.save_s, context_.settings.report_s);
    attempt.checkpoint_deadline = boot_now() + grace_s;
  }
  stop(key, {recorded.saving, grace_s});
}

void TaskWatcher::attach(const Key& key, LiveAttempt& attempt) {
  attempt.supervisor_ended =
      std::make_unique<std::function<void()>>([this, key, serial = attempt.serial] {
        context_.mailbox.post([this, key, serial] {
          LiveAttempt* found = context_.live.find(key);
          if (!found || found->serial != serial) return;
          found->supervisor_event.reset();
          found->supervisor = Fd();
          supervisor_ended(key);
        });
      });
  attempt.supervisor_event.reset(event_new(
      context_.loop.base(), attempt.supervisor.get(), EV_READ,
      [](evutil_socket_t, short, void* callback) {
        (*static_cast<std::function<void()>*>(callback))();
      },
      attempt.supervisor_ended.get()));
  event_add(attempt.supervisor_event.get(), nullptr);
}

void TaskWatcher::stop(const Key& key, const StopOrder& order) {
  LiveAttempt& attempt = context_.live.get(key);
  attempt.supervisor_deadline = boot_now() + order.grace_s + kSupervisorGraceS;
  try {
    artifacts::replace_file(context_.paths.task(key).stop_order(), encode(order));
  } catch (const std::exception& error) {
    // A full disk must not keep a task alive: if the stop order cannot be written, the supervisor
    // is killed, and the task with it.
    log::error("stop order cannot be written; killing the task", log_fields(key, error.what()));
    signal_process(attempt.supervisor, SIGKILL);
    return;
  }
  signal_process(attempt.supervisor, SIGUSR1);
}

// Determines how the task ended. Returns false if some of its processes are still alive.
bool TaskWatcher::read_end(const Key& key, TaskEnd& end) const {
  const TaskDirectory directory = context_.paths.task(key);
  try {
    end = decode_end(artifacts::read_file_or_empty(directory.end()));
    return true;
  } catch (const wire::Malformed&) {
    // The supervisor was killed, and the task's main process with it. Other processes of the task
    // may still be alive.
    if (!kill_task_processes(directory.path)) return false;
    const bool was_stopping = context_.state.attempts().attempts.at(key).stopping;
    end = {was_stopping ? wire::ExitReason::stopped : wire::ExitReason::error, 0, kSupervisorLost};
    end.highest_checkpoint = directory.highest_checkpoint();
    return true;
  }
}

// Handles the end of the supervisor.
void TaskWatcher::supervisor_ended(const Key& key) {
  const auto& attempts = context_.state.attempts().attempts;
  auto recorded = attempts.find(key);
  if (recorded == attempts.end() || recorded->second.phase != Phase::launched) return;
  LiveAttempt& attempt = context_.live.get(key);
  TaskEnd end;
  if (!read_end(key, end)) return context_.retry_later(attempt);
  attempt.end = end;
  nlohmann::json fields = log_fields(key, exit_reason_name(end.exit_reason));
  fields["exit"] = end.exit_status;
  fields["ran_s"] = end.ran_s;
  fields["reason"] = end.detail;
  log::info("task ended", fields);
  AttemptTable next = context_.state.attempts();
  const bool has_result = end.exit_reason == wire::ExitReason::done;
  const bool has_new_checkpoint = end.highest_checkpoint > attempt.uploaded_checkpoint;
  if (has_result || has_new_checkpoint)
    next.ended(key, end.exit_reason, false);
  else
    next.exited(key, end.exit_reason,
                end.exit_reason == wire::ExitReason::stopped && end.highest_checkpoint > 0);
  if (context_.commit_or_retry(std::move(next), "ended", attempt)) context_.advance(key);
}

}  // namespace shunttrail::agent
