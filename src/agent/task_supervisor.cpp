#include "agent/task_supervisor.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <sys/timerfd.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstring>
#include <optional>

#include "agent/lease_file.h"
#include "agent/processes.h"
#include "artifacts/store.h"
#include "wire/codec.h"

namespace shunttrail::agent {
namespace fs = std::filesystem;
namespace {

constexpr int kCheckpointFd = 3;  // the task writes one line here for each complete checkpoint
constexpr int kFirstFreeFd = 10;  // above all descriptors that the task is given
// Signals that a terminal or an operator sends to the process group. With SIGXFSZ ignored, a write
// beyond the file size limit returns an error.
constexpr int kIgnoredSignals[] = {SIGINT, SIGHUP, SIGTERM, SIGPIPE, SIGXFSZ};
constexpr int kExitTimeLimit = 124;  // as in timeout(1)
constexpr int kExitNotFound = 127;   // this and the next two as in a shell
constexpr int kExitNotExecutable = 126;
constexpr int kExitSignalBase = 128;
constexpr useconds_t kEndRetryUs = 200000;
constexpr useconds_t kChildPollIntervalUs = 1000;
constexpr double kTimerSlackS = 0.001;

constexpr int kStatusBusy = 3;
constexpr int kStatusNothingToStart = 4;
constexpr int kStatusError = 5;

std::string describe(const char* operation, int error) {
  return std::string(operation) + ": " + std::strerror(error);
}

std::vector<char*> pointers(std::vector<std::string>& strings) {
  std::vector<char*> out;
  for (std::string& string : strings) out.push_back(string.data());
  out.push_back(nullptr);
  return out;
}

/// Everything that the task's process needs. Prepared before the fork, because the child must not
/// allocate memory.
struct TaskProcess {
  std::vector<std::string> command;
  std::vector<std::string> environment;
  std::string work_dir;
  std::vector<char*> argv;
  std::vector<char*> envp;
  Fd input, output, error;
  Fd checkpoints;  // the write end of the checkpoint pipe
  Fd exec_error;   // receives errno if exec fails; closed by a successful exec
  std::uint64_t file_bytes = 0;
  std::uint64_t memory_bytes = 0;
  pid_t supervisor = 0;
};

void set_limit(__rlimit_resource_t resource, std::uint64_t value) {
  const rlimit limit{value, value};
  ::setrlimit(resource, &limit);
}

// Moves the task's descriptors to the numbers that the task expects. Since the source descriptors
// may already have these numbers, they are first duplicated to higher ones.
bool place_descriptors(const TaskProcess& task) {
  auto raise = [](const Fd& fd) { return ::fcntl(fd.get(), F_DUPFD_CLOEXEC, kFirstFreeFd); };
  const int checkpoints = raise(task.checkpoints);
  const int output = raise(task.output);
  const int error = raise(task.error);
  const int input = raise(task.input);
  return ::dup2(input, STDIN_FILENO) >= 0 && ::dup2(output, STDOUT_FILENO) >= 0 &&
         ::dup2(error, STDERR_FILENO) >= 0 && ::dup2(checkpoints, kCheckpointFd) >= 0;
}

// Executes the task; called in the child.
[[noreturn]] void exec_task(TaskProcess& task) {
  ::setsid();
  // If the supervisor is killed, nothing watches the lease, so the task has to be killed too.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != task.supervisor) ::_exit(kExitNotFound);
  set_limit(RLIMIT_CORE, 0);
  if (task.file_bytes) set_limit(RLIMIT_FSIZE, task.file_bytes);
  if (task.memory_bytes) set_limit(RLIMIT_DATA, task.memory_bytes);
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  for (int signal : kIgnoredSignals) ::signal(signal, SIG_DFL);
  const int report = ::fcntl(task.exec_error.get(), F_DUPFD_CLOEXEC, kFirstFreeFd);
  if (place_descriptors(task) && ::chdir(task.work_dir.c_str()) == 0)
    ::execvpe(task.argv[0], task.argv.data(), task.envp.data());
  const int error = errno;
  if (::write(report, &error, sizeof error) < 0) ::_exit(kExitNotExecutable);
  ::_exit(kExitNotFound);
}

// Returns the errno of a failed exec, or nothing if exec has succeeded.
std::optional<int> read_exec_error(const Fd& pipe) {
  int error = 0;
  ssize_t count;
  do count = ::read(pipe.get(), &error, sizeof error);
  while (count < 0 && errno == EINTR);
  if (count == 0) return std::nullopt;
  return error;
}

class TaskSupervisor {
 public:
  TaskSupervisor(const fs::path& dir, const fs::path& lease_file)
      : directory_{dir}, lease_file_(lease_file, LeaseFile::Open::read) {}

  int run() {
    order_ = decode_order(artifacts::read_file_or_empty(directory_.launch_order()));
    // Orphans of the task become children of this process.
    ::prctl(PR_SET_CHILD_SUBREAPER, 1);
    open_events();
    artifacts::replace_file(directory_.supervisor_identity(), encode(identity_of(::getpid())));
    highest_checkpoint_ = directory_.highest_checkpoint();
    started_at_ = boot_now();
    if (lease_has_expired()) return finish(failed_start("the lease had run out"));
    const std::string why = start();
    if (!why.empty()) return finish(failed_start(why));
    read_stop_order();
    while (!end_) wait_and_handle();
    kill_all();
    drain_checkpoints();
    TaskEnd end = *end_;
    end.highest_checkpoint = highest_checkpoint_;
    end.saved_after_stop = saved_after_stop_;
    end.ran_s = boot_now() - started_at_;
    return finish(end);
  }

 private:
  void open_events() {
    sigset_t handled;
    sigemptyset(&handled);
    for (int signal : {SIGUSR1, SIGCHLD}) sigaddset(&handled, signal);
    sigprocmask(SIG_BLOCK, &handled, nullptr);
    for (int signal : kIgnoredSignals) ::signal(signal, SIG_IGN);
    signals_ = Fd(::signalfd(-1, &handled, SFD_CLOEXEC | SFD_NONBLOCK));
    timer_ = Fd(::timerfd_create(CLOCK_BOOTTIME, TFD_CLOEXEC | TFD_NONBLOCK));
  }

  bool lease_has_expired() const {
    return lease_file_.incarnation() != order_.incarnation || boot_now() > lease_file_.until();
  }

  TaskEnd failed_start(const std::string& why) const {
    return {wire::ExitReason::error, 0, why, highest_checkpoint_};
  }

  void end(wire::ExitReason reason, int exit_status, const std::string& detail) {
    end_ = TaskEnd{reason, exit_status, detail};
  }

  // Records the end of the task. The task counts as running until the record is on the disk. While
  // the disk is full, the write is retried until the lease expires, so that finished work is not
  // lost early.
  int finish(const TaskEnd& end) const {
    while (true) {
      try {
        artifacts::replace_file(directory_.end(), encode(end));
        return 0;
      } catch (const std::system_error&) {
        if (lease_has_expired()) throw;
        ::usleep(kEndRetryUs);
      }
    }
  }

  // Starts the task. Returns the cause if the machine prevented the start. Returns an empty string
  // if the task has started, or cannot be executed on any machine; in the latter case the end is
  // set.
  std::string start() {
    int checkpoint_pipe[2], exec_pipe[2];
    if (::pipe2(checkpoint_pipe, O_CLOEXEC | O_NONBLOCK) != 0 || ::pipe2(exec_pipe, O_CLOEXEC) != 0)
      return describe("pipe", errno);
    checkpoints_ = Fd(checkpoint_pipe[0]);
    const Fd exec_result(exec_pipe[0]);
    TaskProcess task;
    task.checkpoints = Fd(checkpoint_pipe[1]);
    task.exec_error = Fd(exec_pipe[1]);
    if (!open_files(task)) return describe("output files", errno);
    prepare(task);
    task_ = ::fork();
    if (task_ < 0) return describe("fork", errno);
    if (task_ == 0) exec_task(task);
    task.exec_error = Fd();
    const std::optional<int> error = read_exec_error(exec_result);
    return error ? exec_failed(*error) : "";
  }

  bool open_files(TaskProcess& task) const {
    auto open_output = [](const fs::path& file) {
      return Fd(::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644));
    };
    task.output = open_output(directory_.standard_output());
    task.error = open_output(directory_.standard_error());
    task.input = Fd(::open("/dev/null", O_RDONLY));
    return task.output && task.error && task.input;
  }

  void prepare(TaskProcess& task) const {
    task.command = order_.command;
    for (const auto& [name, value] : order_.env) task.environment.push_back(name + "=" + value);
    task.argv = pointers(task.command);
    task.envp = pointers(task.environment);
    task.work_dir = directory_.work();
    task.file_bytes = order_.file_bytes;
    task.memory_bytes = order_.memory_bytes;
    task.supervisor = ::getpid();
  }

  std::string exec_failed(int error) {
    ::waitpid(task_, nullptr, 0);
    task_ = 0;
    std::string why = describe(order_.command[0].c_str(), error);
    if (error != ENOENT && error != EACCES && error != ENOEXEC) return why;
    // The command would fail on every machine. It ends with the exit status that a shell uses.
    end(wire::ExitReason::done, error == ENOENT ? kExitNotFound : kExitNotExecutable, why);
    return "";
  }

  // Sets the timer to the next deadline: the end of the lease, the grace period or the time limit.
  void set_deadline_timer() {
    double at = lease_file_.until();
    if (grace_until_) at = std::min(at, *grace_until_);
    if (order_.limit_s > 0) at = std::min(at, started_at_ + order_.limit_s);
    at = std::max(at, boot_now()) + kTimerSlackS;
    itimerspec spec{};
    spec.it_value.tv_sec = static_cast<time_t>(at);
    spec.it_value.tv_nsec = static_cast<long>((at - std::floor(at)) * 1e9);
    ::timerfd_settime(timer_.get(), TFD_TIMER_ABSTIME, &spec, nullptr);
  }

  bool wait_for_events() {
    set_deadline_timer();
    pollfd events[] = {
        {signals_.get(), POLLIN, 0}, {timer_.get(), POLLIN, 0}, {checkpoints_.get(), POLLIN, 0}};
    if (::poll(events, checkpoints_open_ ? 3 : 2, -1) < 0 && errno != EINTR) return false;
    std::uint64_t expirations;
    if (::read(timer_.get(), &expirations, sizeof expirations) < 0) expirations = 0;
    return true;
  }

  // Reads all pending signals. Returns whether the agent has requested that the stop order be read.
  bool drain_signals() {
    signalfd_siginfo info;
    bool asked_to_stop = false;
    while (::read(signals_.get(), &info, sizeof info) == static_cast<ssize_t>(sizeof info))
      asked_to_stop |= info.ssi_signo == SIGUSR1;
    return asked_to_stop;
  }

  void wait_and_handle() {
    if (!wait_for_events()) return;
    if (lease_has_expired()) return end(wire::ExitReason::error, 0, "the lease ran out");
    drain_checkpoints();
    if (drain_signals()) read_stop_order();
    if (end_) return;
    collect_exited_children();
    if (!end_) check_deadlines();
  }

  void check_deadlines() {
    const double now = boot_now();
    if (grace_until_ && now >= *grace_until_)
      end(wire::ExitReason::stopped, 0, "it had not saved in time");
    else if (order_.limit_s > 0 && now >= started_at_ + order_.limit_s)
      end(wire::ExitReason::done, kExitTimeLimit, "it ran into its limit");
  }

  void read_stop_order() {
    const std::string text = artifacts::read_file_or_empty(directory_.stop_order());
    if (text.empty() || end_) return;
    StopOrder order;
    try {
      order = decode_stop(text);
    } catch (const wire::Malformed&) {
      order = {};
    }
    if (!order.save) {
      end(wire::ExitReason::stopped, 0, "");
    } else if (!grace_until_) {
      grace_until_ = boot_now() + order.grace_s;
      ::kill(task_, SIGUSR1);
    }
  }

  // Each line that the task writes to its checkpoint descriptor reports that save/next is complete.
  void drain_checkpoints() {
    char buffer[256];
    ssize_t count;
    while ((count = ::read(checkpoints_.get(), buffer, sizeof buffer)) > 0)
      for (ssize_t i = 0; i < count; ++i)
        if (buffer[i] == '\n') accept_checkpoint();
    if (count == 0) checkpoints_open_ = false;
  }

  void accept_checkpoint() {
    std::error_code failed;
    const fs::path next = directory_.next_checkpoint();
    if (!fs::is_directory(fs::symlink_status(next, failed))) return;
    fs::rename(next, directory_.checkpoint(highest_checkpoint_ + 1), failed);
    if (failed) return;
    ++highest_checkpoint_;
    if (grace_until_ && !end_) {
      saved_after_stop_ = true;
      end(wire::ExitReason::stopped, 0, "");
    }
  }

  void collect_exited_children() {
    int status = 0;
    pid_t pid;
    while ((pid = ::waitpid(-1, &status, WNOHANG)) > 0) {
      if (pid != task_) continue;  // an orphan of the task
      task_ = 0;
      drain_checkpoints();
      if (end_) return;
      task_exited(status);
    }
  }

  void task_exited(int status) {
    if (WIFSIGNALED(status))
      ended_by_signal(WTERMSIG(status));
    else
      ended_by_exit(WEXITSTATUS(status));
    // The task was asked to save and stop, and ended with an error. That does not count as its
    // result, so the attempt is reported as stopped.
    const int exit_status = end_->exit_status;
    if (grace_until_ && end_->exit_reason == wire::ExitReason::done && exit_status != 0)
      end(wire::ExitReason::stopped, exit_status, "it ended instead of saving");
  }

  void ended_by_signal(int signal) {
    // A SIGKILL that the supervisor did not send comes from the machine, usually because memory ran
    // out.
    const bool is_machines_fault = signal == SIGKILL;
    end(is_machines_fault ? wire::ExitReason::error : wire::ExitReason::done,
        kExitSignalBase + signal, std::string("ended by signal ") + strsignal(signal));
  }

  void ended_by_exit(int exit_status) {
    const auto& retried = order_.retry_exits;
    if (std::find(retried.begin(), retried.end(), exit_status) != retried.end())
      end(wire::ExitReason::error, exit_status, "asked to be retried");
    else
      end(wire::ExitReason::done, exit_status, "");
  }

  // Kills the task's process group and its orphans, which have become the supervisor's children,
  // and waits until all have ended.
  void kill_all() {
    while (true) {
      if (task_ > 0) ::kill(-task_, SIGKILL);
      for (pid_t child : children_of(::getpid())) ::kill(child, SIGKILL);
      pid_t pid;
      while ((pid = ::waitpid(-1, nullptr, WNOHANG)) > 0)
        if (pid == task_) task_ = 0;
      if (pid < 0 && errno == ECHILD) return;
      ::usleep(kChildPollIntervalUs);
    }
  }

  const TaskDirectory directory_;
  const LeaseFile lease_file_;
  LaunchOrder order_;
  Fd signals_;
  Fd timer_;
  Fd checkpoints_;  // read end of the checkpoint pipe
  bool checkpoints_open_ = true;
  pid_t task_ = 0;  // 0 before the start and after the end
  double started_at_ = 0;
  std::optional<double> grace_until_;  // after a stop request: the end of the time to save
  std::uint64_t highest_checkpoint_ = 0;
  bool saved_after_stop_ = false;
  std::optional<TaskEnd> end_;
};

}  // namespace

int run_task_supervisor(const fs::path& dir, const fs::path& lease_file) {
  const TaskDirectory directory{dir};
  auto lock = try_lock(directory.lock());
  // Another supervisor runs this attempt, or the agent is giving the attempt up.
  if (!lock) return kStatusBusy;
  if (!fs::exists(directory.launch_order()) || fs::exists(directory.end()))
    return kStatusNothingToStart;
  try {
    return TaskSupervisor(dir, lease_file).run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "task supervisor for %s failed: %s\n", dir.c_str(), error.what());
    return kStatusError;
  }
}

}  // namespace shunttrail::agent
