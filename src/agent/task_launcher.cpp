#include "agent/task_launcher.h"

#include <fcntl.h>
#include <spawn.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <system_error>
#include <vector>

#include "agent/image_cache.h"
#include "agent/task_watcher.h"
#include "artifacts/store.h"
#include "log/log.h"

extern char** environ;

namespace shunttrail::agent {
namespace fs = std::filesystem;
namespace {

constexpr double kBytesPerMb = 1e6;
constexpr double kBytesPerGib = 1024.0 * 1024 * 1024;
constexpr const char* kCheckpointPipe =
    "3";  // descriptor on which a task reports complete checkpoints
// Variables of the agent's environment that a task inherits.
constexpr const char* kInheritedVariables[] = {"PATH", "HOME", "LANG", "LC_ALL", "TZ", "TMPDIR"};

// Returns a null-terminated array of pointers to the strings, in the form that exec expects.
std::vector<char*> pointers(std::vector<std::string>& strings) {
  std::vector<char*> out;
  for (std::string& string : strings) out.push_back(string.data());
  out.push_back(nullptr);
  return out;
}

// The agent's environment, and the variable that identifies the supervisor and all its descendants.
std::vector<std::string> supervisor_environment(const TaskDirectory& directory) {
  std::vector<std::string> out;
  for (char** entry = environ; *entry; ++entry) out.emplace_back(*entry);
  out.push_back(std::string(kTaskDirVariable) + "=" + directory.path.string());
  return out;
}

// Starts the supervisor in a POSIX session of its own and without the agent's descriptors, so that
// it outlives the agent.
pid_t spawn_supervisor(const TaskDirectory& directory, const fs::path& lease_file) {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, "/dev/null", O_WRONLY, 0);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, directory.supervisor_log().c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSID);
  std::vector<std::string> arguments = {"shunttrail-agent", "shepherd", directory.path.string(),
                                        lease_file.string()};
  std::vector<std::string> environment = supervisor_environment(directory);
  pid_t pid = 0;
  const int error = ::posix_spawn(&pid, "/proc/self/exe", &actions, &attributes,
                                  pointers(arguments).data(), pointers(environment).data());
  posix_spawn_file_actions_destroy(&actions);
  posix_spawnattr_destroy(&attributes);
  if (error != 0)
    throw std::system_error(error, std::generic_category(),
                            "start of the task supervisor for " + directory.path.string());
  return pid;
}

}  // namespace

TaskLauncher::TaskLauncher(const AttemptContext& context, const ImageCache& images,
                           TaskWatcher& watcher)
    : context_(context), images_(images), watcher_(watcher) {}

void TaskLauncher::launch(const Key& key, LiveAttempt& attempt) {
  const TaskDirectory directory = context_.paths.task(key);
  if (disk_is_full())
    return context_.fail(key, wire::ExitReason::no_room,
                         "less free disk space than disk-reserve-mb");
  fs::create_directories(directory.work());
  fs::create_directories(directory.save());
  artifacts::replace_file(directory.launch_order(),
                          encode(make_order(key, directory, attempt.description)));
  AttemptTable next = context_.state.attempts();
  next.launched(key);
  // The journal is written before the process exists: after a crash, the next agent process then
  // looks for the supervisor.
  if (!context_.commit_or_retry(std::move(next), "launched", attempt)) return;
  pid_t pid = 0;
  try {
    pid = spawn_supervisor(directory, context_.paths.lease());
  } catch (const std::system_error& error) {
    return context_.fail(key, wire::ExitReason::error, error.what());
  }
  // The supervisor is a child that has not been waited for, so its pid cannot have been reused.
  attempt.supervisor = open_process(identity_of(pid));
  log::info("task started", log_fields(key));
  if (attempt.supervisor) watcher_.attach(key, attempt);
}

bool TaskLauncher::disk_is_full() const {
  const auto available = static_cast<double>(fs::space(context_.paths.dir).available);
  return available < context_.settings.disk_reserve_mb * kBytesPerMb;
}

LaunchOrder TaskLauncher::make_order(const Key& key, const TaskDirectory& directory,
                                     const client_protocol::JobDescription& description) const {
  const Settings& settings = context_.settings;
  LaunchOrder order;
  order.task = key.job + "/" + std::to_string(key.index);
  order.attempt = key.attempt;
  order.incarnation = context_.state.attempts().incarnation;
  order.command = description.command;
  order.retry_exits = description.retry_exits;
  order.limit_s = description.limit_s;
  order.file_bytes = static_cast<std::uint64_t>(settings.file_mb * kBytesPerMb);
  if (settings.memory_limit)
    order.memory_bytes = static_cast<std::uint64_t>(description.job.mem_gb * kBytesPerGib);
  for (const char* name : kInheritedVariables)
    if (const char* value = std::getenv(name)) order.env[name] = value;
  for (const auto& [name, value] : description.env) order.env[name] = value;
  order.env["SHUNT_JOB"] = key.job;
  order.env["SHUNT_TASK"] = std::to_string(key.index);
  order.env["SHUNT_TASKS"] = std::to_string(description.job.tasks);
  order.env["SHUNT_ATTEMPT"] = std::to_string(key.attempt);
  order.env["SHUNT_MACHINE"] = settings.machine;
  order.env["SHUNT_SAVE_DIR"] = directory.save().string();
  order.env["SHUNT_SAVED_FD"] = kCheckpointPipe;
  if (!description.image.empty())
    order.env[kImageDirVariable] = images_.path(description.image).string();
  order.env[kTaskDirVariable] = directory.path.string();
  return order;
}

}  // namespace shunttrail::agent
