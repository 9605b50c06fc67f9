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
constexpr double kTick = 0.1;
constexpr double kPauseLeast = 0.2, kPauseMost = 5;
constexpr double kSettled = 10;   // running for so long, the next pause is short again
constexpr double kKillAfter = 5;  // a signal that was not heeded
}  // namespace

Children::Children(actor::Loop& loop, std::filesystem::path logs)
    : Actor(loop), logs_(std::move(logs)), timer_(loop, [this] {
        tick();
        timer_.after(kTick);
      }) {
  std::filesystem::create_directories(logs_);
  ended_.reset(evsignal_new(
      loop.base(), SIGCHLD,
      [](evutil_socket_t, short, void* self) { static_cast<Children*>(self)->reap(); }, this));
  event_add(ended_.get(), nullptr);
  timer_.after(kTick);
}

Children::~Children() {
  for (auto& [name, c] : children_) {
    if (!c.pid) continue;
    ::kill(c.pid, SIGKILL);
    ::waitpid(c.pid, nullptr, 0);
  }
}

void Children::keep(const std::string& name, std::vector<std::string> argv) {
  Child& c = children_[name];
  c.argv = std::move(argv);
  c.kept = true;
  if (!c.pid) start(name, c);
}

void Children::once(const std::string& name, std::vector<std::string> argv,
                    std::function<void(int)> done) {
  Child& c = children_[name];
  c.argv = std::move(argv);
  c.done = std::move(done);
  start(name, c);
}

void Children::start(const std::string& name, Child& c) {
  // All that needs memory is made before the fork.
  std::vector<char*> argv;
  for (auto& a : c.argv) argv.push_back(a.data());
  argv.push_back(nullptr);
  const std::string file = logs_ / (name + ".log");
  const pid_t parent = ::getpid();
  pid_t pid = ::fork();
  if (pid < 0) throw std::system_error(errno, std::generic_category(), "fork");
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(127);
    // A signal from the terminal is for the parent, which ends the others in their order.
    ::setpgid(0, 0);
    int in = ::open("/dev/null", O_RDONLY),
        out = ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(in, 0);
    ::dup2(out, 1);
    ::dup2(out, 2);
    ::close_range(3, ~0U, 0);
    ::signal(SIGPIPE, SIG_DFL);
    ::execv(argv[0], argv.data());
    ::_exit(127);
  }
  c.pid = pid;
  c.began = actor::steady_now();
  c.kill_at = 0;
}

void Children::reap() {
  int status;
  pid_t pid;
  while ((pid = ::waitpid(-1, &status, WNOHANG)) > 0) {
    auto it = std::find_if(children_.begin(), children_.end(),
                           [&](const auto& c) { return c.second.pid == pid; });
    if (it == children_.end()) continue;
    Child& c = it->second;
    int code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    c.pid = 0;
    if (c.kept) {
      double now = actor::steady_now();
      c.pause =
          now - c.began > kSettled ? kPauseLeast : std::clamp(2 * c.pause, kPauseLeast, kPauseMost);
      c.start_at = now + c.pause;
      ++restarts_;
      log::info("process ended and is started again",
                {{"name", it->first}, {"status", code}, {"in_s", c.pause}});
      continue;
    }
    auto done = std::move(c.done);
    auto gone = std::move(c.gone);
    children_.erase(it);
    if (done) post([done, code] { done(code); });
    for (auto& g : gone) post(g);
  }
}

void Children::stop(const std::string& name, int signal, std::function<void()> gone) {
  auto it = children_.find(name);
  if (it == children_.end()) return post(std::move(gone));
  Child& c = it->second;
  c.kept = false;
  if (!c.pid) {
    children_.erase(it);
    return post(std::move(gone));
  }
  c.gone.push_back(std::move(gone));
  c.kill_at = actor::steady_now() + kKillAfter;
  ::kill(c.pid, signal);
  ::kill(c.pid, SIGCONT);  // one that stands still has to hear it, too
}

void Children::tick() {
  double now = actor::steady_now();
  for (auto& [name, c] : children_) {
    if (c.kept && !c.pid && now >= c.start_at) start(name, c);
    if (c.pid && c.kill_at > 0 && now > c.kill_at) ::kill(c.pid, SIGKILL);
  }
}

bool Children::running(const std::string& name) const { return pid(name) != 0; }
pid_t Children::pid(const std::string& name) const {
  auto it = children_.find(name);
  return it == children_.end() ? 0 : it->second.pid;
}
std::vector<std::string> Children::names() const {
  std::vector<std::string> out;
  for (const auto& [name, c] : children_) out.push_back(name);
  return out;
}

}  // namespace shunttrail::local_cluster
