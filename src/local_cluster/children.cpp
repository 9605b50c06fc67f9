#include "local_cluster/children.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <system_error>

#include "log/log.h"

namespace shunttrail::local_cluster {
namespace {

constexpr double kTickIntervalS = 0.1;
constexpr double kMinRestartDelayS = 0.2, kMaxRestartDelayS = 5;
// A child that ran longer than this is restarted after kMinRestartDelayS.
constexpr double kSettledAfterS = 10;
constexpr double kKillAfterS = 5;  // from the signal of stop() to SIGKILL
constexpr int kExitNotStarted = 127;
constexpr int kExitSignalBase = 128;

// Replaces the forked child by the program. Its output is appended to the file `log`.
[[noreturn]] void exec_child(char* const* argv, const char* log, pid_t parent) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(kExitNotStarted);
  // Signals from the terminal reach only the parent, which stops its children in a fixed order.
  ::setpgid(0, 0);
  const int input = ::open("/dev/null", O_RDONLY);
  const int output = ::open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(input, STDIN_FILENO);
  ::dup2(output, STDOUT_FILENO);
  ::dup2(output, STDERR_FILENO);
  ::close_range(STDERR_FILENO + 1, ~0U, 0);
  ::signal(SIGPIPE, SIG_DFL);
  ::execv(argv[0], argv);
  ::_exit(kExitNotStarted);
}

int exit_status_of(int wait_status) {
  return WIFEXITED(wait_status) ? WEXITSTATUS(wait_status)
                                : kExitSignalBase + WTERMSIG(wait_status);
}

}  // namespace

Children::Children(actor::Loop& loop, std::filesystem::path logs)
    : Actor(loop), logs_(std::move(logs)), timer_(loop, [this] {
        tick();
        timer_.after(kTickIntervalS);
      }) {
  std::filesystem::create_directories(logs_);
  child_signal_.reset(evsignal_new(
      loop.base(), SIGCHLD,
      [](evutil_socket_t, short, void* self) { static_cast<Children*>(self)->reap(); }, this));
  event_add(child_signal_.get(), nullptr);
  timer_.after(kTickIntervalS);
}

Children::~Children() {
  for (auto& [name, child] : children_) {
    if (!child.pid) continue;
    ::kill(child.pid, SIGKILL);
    ::waitpid(child.pid, nullptr, 0);
  }
}

void Children::keep_running(const std::string& name, std::vector<std::string> argv) {
  Child& child = children_[name];
  child.argv = std::move(argv);
  child.restarts_on_exit = true;
  if (!child.pid) start(name, child);
}

void Children::run_once(const std::string& name, std::vector<std::string> argv,
                        std::function<void(int)> on_exit) {
  Child& child = children_[name];
  child.argv = std::move(argv);
  child.on_exit = std::move(on_exit);
  start(name, child);
}

void Children::start(const std::string& name, Child& child) {
  // Memory is allocated before the fork only: allocating in the forked child is unsafe.
  std::vector<char*> argv;
  for (std::string& word : child.argv) argv.push_back(word.data());
  argv.push_back(nullptr);
  const std::string log = logs_ / (name + ".log");
  const pid_t parent = ::getpid();
  const pid_t pid = ::fork();
  if (pid < 0) throw std::system_error(errno, std::generic_category(), "fork");
  if (pid == 0) exec_child(argv.data(), log.c_str(), parent);
  child.pid = pid;
  child.started_at = actor::steady_now();
  child.kill_at = 0;
}

void Children::reap() {
  int status;
  pid_t pid;
  while ((pid = ::waitpid(-1, &status, WNOHANG)) > 0) {
    auto found = std::find_if(children_.begin(), children_.end(),
                              [&](const auto& entry) { return entry.second.pid == pid; });
    if (found != children_.end()) handle_exit(found->first, found->second, exit_status_of(status));
  }
}

void Children::handle_exit(const std::string& name, Child& child, int exit_status) {
  child.pid = 0;
  if (child.restarts_on_exit) return restart_later(name, child, exit_status);
  auto on_exit = std::move(child.on_exit);
  auto on_stopped = std::move(child.on_stopped);
  children_.erase(std::string(name));
  if (on_exit) post([on_exit, exit_status] { on_exit(exit_status); });
  for (auto& callback : on_stopped) post(callback);
}

void Children::restart_later(const std::string& name, Child& child, int exit_status) {
  const double now = actor::steady_now();
  const bool had_settled = now - child.started_at > kSettledAfterS;
  child.restart_delay_s =
      had_settled ? kMinRestartDelayS
                  : std::clamp(2 * child.restart_delay_s, kMinRestartDelayS, kMaxRestartDelayS);
  child.restart_at = now + child.restart_delay_s;
  ++restarts_;
  log::info("child process ended; it is restarted after a delay",
            {{"name", name}, {"status", exit_status}, {"in_s", child.restart_delay_s}});
}

void Children::stop(const std::string& name, int signal, std::function<void()> on_stopped) {
  auto found = children_.find(name);
  if (found == children_.end()) return post(std::move(on_stopped));
  Child& child = found->second;
  child.restarts_on_exit = false;
  if (!child.pid) {
    children_.erase(found);
    return post(std::move(on_stopped));
  }
  child.on_stopped.push_back(std::move(on_stopped));
  child.kill_at = actor::steady_now() + kKillAfterS;
  ::kill(child.pid, signal);
  ::kill(child.pid, SIGCONT);  // a suspended process handles the signal only once it is resumed
}

void Children::tick() {
  const double now = actor::steady_now();
  for (auto& [name, child] : children_) {
    if (child.restarts_on_exit && !child.pid && now >= child.restart_at) start(name, child);
    if (child.pid && child.kill_at > 0 && now > child.kill_at) ::kill(child.pid, SIGKILL);
  }
}

bool Children::running(const std::string& name) const { return pid(name) != 0; }

pid_t Children::pid(const std::string& name) const {
  auto found = children_.find(name);
  return found == children_.end() ? 0 : found->second.pid;
}

std::vector<std::string> Children::names() const {
  std::vector<std::string> names;
  for (const auto& [name, child] : children_) names.push_back(name);
  return names;
}

}  // namespace shunttrail::local_cluster
