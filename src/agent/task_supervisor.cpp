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
#include <fstream>
#include <optional>
#include <sstream>

#include "agent/lease_file.h"
#include "agent/processes.h"
#include "artifacts/store.h"
#include "wire/fields.h"

namespace shunttrail::agent {
namespace fs = std::filesystem;
using wire::json;

std::string encode(const Order& o) {
  return json{{"format", Order::kFormat},      {"task", o.task},       {"attempt", o.attempt},
              {"session", o.session},          {"command", o.command}, {"env", o.env},
              {"retry_exits", o.retry_exits},  {"limit_s", o.limit_s}, {"file_bytes", o.file_bytes},
              {"memory_bytes", o.memory_bytes}}
      .dump();
}
Order decode_order(const std::string& s) {
  return wire::guarded(s, [](const json& j) {
    if (wire::whole(j, "format") != Order::kFormat) throw wire::Malformed("format is unknown");
    Order o;
    o.task = wire::text(j, "task");
    o.attempt = wire::whole(j, "attempt");
    o.session = wire::whole(j, "session");
    o.command = wire::need(j, "command").get<std::vector<std::string>>();
    o.env = wire::need(j, "env").get<std::map<std::string, std::string>>();
    o.retry_exits = wire::need(j, "retry_exits").get<std::vector<int>>();
    o.limit_s = wire::number(j, "limit_s", 0);
    o.file_bytes = wire::whole(j, "file_bytes");
    o.memory_bytes = wire::whole(j, "memory_bytes");
    if (o.command.empty()) throw wire::Malformed("command is empty");
    return o;
  });
}
std::string encode(const Stop& s) { return json{{"save", s.save}, {"grace_s", s.grace_s}}.dump(); }
Stop decode_stop(const std::string& s) {
  return wire::guarded(s, [](const json& j) {
    return Stop{wire::flag(j, "save"), wire::number(j, "grace_s", 0)};
  });
}
std::string encode(const End& e) {
  return json{{"format", End::kFormat},
              {"why", e.why == wire::ExitReason::done      ? "done"
                      : e.why == wire::ExitReason::stopped ? "stopped"
                                                           : "error"},
              {"exit", e.exit},
              {"reason", e.reason},
              {"kept", e.kept},
              {"saved", e.saved},
              {"ran_s", e.ran_s}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}
End decode_end(const std::string& s) {
  return wire::guarded(s, [](const json& j) {
    if (wire::whole(j, "format") != End::kFormat) throw wire::Malformed("format is unknown");
    End e;
    std::string why = wire::text(j, "why");
    e.why = why == "done"      ? wire::ExitReason::done
            : why == "stopped" ? wire::ExitReason::stopped
                               : wire::ExitReason::error;
    e.exit = static_cast<int>(wire::whole(j, "exit"));
    e.reason = wire::text_or(j, "reason", "");
    e.kept = wire::whole(j, "kept");
    e.saved = wire::flag(j, "saved");
    e.ran_s = wire::number(j, "ran_s", 0);
    return e;
  });
}

namespace {

constexpr int kSavedFd = 3;
// A terminal's or an operator's signals to the group; a file that grows too long is an error of
// write.
constexpr int kNotForIt[] = {SIGINT, SIGHUP, SIGTERM, SIGPIPE, SIGXFSZ};
constexpr int kLimitExit = 124;  // as timeout(1) has it

class TaskSupervisor {
 public:
  TaskSupervisor(fs::path dir, const fs::path& page)
      : dir_(std::move(dir)), lease_file_(page, LeaseFile::Open::read) {}

  int run() {
    order_ = decode_order(artifacts::read_whole(dir_ / "order.json"));
    ::prctl(PR_SET_CHILD_SUBREAPER, 1);
    sigset_t set;
    sigemptyset(&set);
    for (int s : {SIGUSR1, SIGCHLD}) sigaddset(&set, s);
    sigprocmask(SIG_BLOCK, &set, nullptr);
    for (int s : kNotForIt) ::signal(s, SIG_IGN);
    signals_ = Fd(::signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK));
    timer_ = Fd(::timerfd_create(CLOCK_BOOTTIME, TFD_CLOEXEC | TFD_NONBLOCK));
    Identity me = identity_of(::getpid());
    artifacts::write_whole(dir_ / "shepherd.json",
                           json{{"pid", me.pid}, {"start", me.start}, {"boot", me.boot}}.dump());
    kept_ = highest_kept(dir_);
    began_ = boot_now();
    if (lease_over()) return finish({wire::ExitReason::error, 0, "the lease had run out", kept_});
    std::string failed = start();
    if (!failed.empty()) return finish({wire::ExitReason::error, 0, failed, kept_});
    look_at_stop();
    while (!end_) turn();
    kill_all();
    drain_saves();
    End e = *end_;
    e.kept = kept_;
    e.saved = saved_;
    e.ran_s = boot_now() - began_;
    return finish(e);
  }

 private:
  fs::path kept(std::uint64_t n) const { return dir_ / ("kept-" + std::to_string(n)); }
  bool lease_over() const {
    return lease_file_.session() != order_.session || boot_now() > lease_file_.until();
  }

  int finish(const End& e) {
    // Until this is on the disk the task counts as running; after it, as ended. A full disk may
    // have room again before the lease is over: what was done is not given up before.
    while (true) {
      try {
        artifacts::write_whole(dir_ / "end.json", encode(e));
        return 0;
      } catch (const std::system_error&) {
        if (lease_over()) throw;
        ::usleep(200000);
      }
    }
  }

  std::string start() {
    int pipe_fds[2], exec_fds[2];
    if (::pipe2(pipe_fds, O_CLOEXEC | O_NONBLOCK) != 0 || ::pipe2(exec_fds, O_CLOEXEC) != 0)
      return std::string("pipe: ") + std::strerror(errno);
    saves_ = Fd(pipe_fds[0]);
    Fd saves_in(pipe_fds[1]), exec_out(exec_fds[0]), exec_in(exec_fds[1]);
    auto open_out = [&](const char* name) {
      return Fd(::open((dir_ / name).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644));
    };
    Fd out = open_out("stdout"), err = open_out("stderr"), in(::open("/dev/null", O_RDONLY));
    if (!out || !err || !in) return std::string("output files: ") + std::strerror(errno);
    // All that needs memory is made before the fork.
    std::vector<std::string> env;
    for (const auto& [k, v] : order_.env) env.push_back(k + "=" + v);
    std::vector<char*> argv, envp;
    for (auto& a : order_.command) argv.push_back(a.data());
    for (auto& e : env) envp.push_back(e.data());
    argv.push_back(nullptr);
    envp.push_back(nullptr);
    const std::string work = dir_ / "work";
    const pid_t parent = ::getpid();
    task_ = ::fork();
    if (task_ < 0) return std::string("fork: ") + std::strerror(errno);
    if (task_ == 0) {
      ::setsid();
      // If the supervisor is killed, nobody keeps the lease: the task goes with it.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent) ::_exit(127);
      auto limit = [](auto what, std::uint64_t most) {
        rlimit r{most, most};
        ::setrlimit(what, &r);
      };
      limit(RLIMIT_CORE, 0);
      if (order_.file_bytes) limit(RLIMIT_FSIZE, order_.file_bytes);
      if (order_.memory_bytes) limit(RLIMIT_DATA, order_.memory_bytes);
      sigset_t none;
      sigemptyset(&none);
      sigprocmask(SIG_SETMASK, &none, nullptr);
      for (int s : kNotForIt) ::signal(s, SIG_DFL);
      // The number that the task is to have may be one of these: above it first.
      int report = ::fcntl(exec_in.get(), F_DUPFD_CLOEXEC, 10);
      int saves = ::fcntl(saves_in.get(), F_DUPFD_CLOEXEC, 10);
      int o = ::fcntl(out.get(), F_DUPFD_CLOEXEC, 10), e = ::fcntl(err.get(), F_DUPFD_CLOEXEC, 10);
      int i = ::fcntl(in.get(), F_DUPFD_CLOEXEC, 10);
      bool ok = ::dup2(i, 0) >= 0 && ::dup2(o, 1) >= 0 && ::dup2(e, 2) >= 0 &&
                ::dup2(saves, kSavedFd) >= 0 && ::chdir(work.c_str()) == 0;
      if (ok) ::execvpe(argv[0], argv.data(), envp.data());
      int why = errno;
      if (::write(report, &why, sizeof why) < 0) ::_exit(126);
      ::_exit(127);
    }
    exec_in = Fd();
    int why = 0;
    ssize_t n;
    do n = ::read(exec_out.get(), &why, sizeof why);
    while (n < 0 && errno == EINTR);
    if (n == 0) return "";
    ::waitpid(task_, nullptr, 0);
    task_ = 0;
    if (why == ENOENT || why == EACCES || why == ENOEXEC) {
      // The same on every machine, as a shell says it; not the machine's fault.
      end_ = End{wire::ExitReason::done, why == ENOENT ? 127 : 126,
                 order_.command[0] + ": " + std::strerror(why)};
      return "";
    }
    return order_.command[0] + ": " + std::strerror(why);
  }

  // The next moment at which something has to be looked at without being told.
  void arm() {
    double at = lease_file_.until();
    if (grace_until_) at = std::min(at, *grace_until_);
    if (order_.limit_s > 0) at = std::min(at, began_ + order_.limit_s);
    at = std::max(at, boot_now()) + 0.001;
    itimerspec t{};
    t.it_value.tv_sec = static_cast<time_t>(at);
    t.it_value.tv_nsec = static_cast<long>((at - std::floor(at)) * 1e9);
    ::timerfd_settime(timer_.get(), TFD_TIMER_ABSTIME, &t, nullptr);
  }

  void turn() {
    arm();
    pollfd fds[] = {{signals_.get(), POLLIN, 0},
                    {timer_.get(), POLLIN, 0},
                    {saves_.get(), static_cast<short>(saves_open_ ? POLLIN : 0), 0}};
    if (::poll(fds, saves_open_ ? 3 : 2, -1) < 0 && errno != EINTR) return;
    std::uint64_t ignored;
    if (::read(timer_.get(), &ignored, sizeof ignored) < 0) ignored = 0;
    if (lease_over()) {
      end_ = End{wire::ExitReason::error, 0, "the lease ran out"};
      return;
    }
    drain_saves();
    signalfd_siginfo info;
    bool asked = false;
    while (::read(signals_.get(), &info, sizeof info) == static_cast<ssize_t>(sizeof info))
      asked |= info.ssi_signo == SIGUSR1;
    if (asked) look_at_stop();
    if (end_) return;
    reap();
    double now = boot_now();
    if (!end_ && grace_until_ && now >= *grace_until_)
      end_ = End{wire::ExitReason::stopped, 0, "it had not saved in time"};
    if (!end_ && order_.limit_s > 0 && now >= began_ + order_.limit_s)
      end_ = End{wire::ExitReason::done, kLimitExit, "it ran into its limit"};
  }

  void look_at_stop() {
    std::string text = artifacts::read_whole(dir_ / "stop.json");
    if (text.empty() || end_) return;
    Stop s;
    try {
      s = decode_stop(text);
    } catch (const wire::Malformed&) {
      s = {};
    }
    if (!s.save) {
      end_ = End{wire::ExitReason::stopped, 0, ""};
    } else if (!grace_until_) {
      grace_until_ = boot_now() + s.grace_s;
      ::kill(task_, SIGUSR1);
    }
  }

  // One line on its descriptor says that save/next is whole.
  void drain_saves() {
    char b[256];
    ssize_t n;
    while ((n = ::read(saves_.get(), b, sizeof b)) > 0)
      for (ssize_t i = 0; i < n; ++i)
        if (b[i] == '\n') take_save();
    if (n == 0) saves_open_ = false;
  }
  void take_save() {
    std::error_code failed;
    fs::path next = dir_ / "save" / "next";
    if (!fs::is_directory(fs::symlink_status(next, failed))) return;
    fs::rename(next, kept(kept_ + 1), failed);
    if (failed) return;
    ++kept_;
    if (grace_until_ && !end_) {
      saved_ = true;
      end_ = End{wire::ExitReason::stopped, 0, ""};
    }
  }

  void reap() {
    int status = 0;
    pid_t pid;
    while ((pid = ::waitpid(-1, &status, WNOHANG)) > 0) {
      if (pid != task_) continue;  // something that it had left behind
      task_ = 0;
      drain_saves();
      if (end_) return;
      int exit = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
      bool again = std::count(order_.retry_exits.begin(), order_.retry_exits.end(), exit) > 0;
      if (WIFSIGNALED(status)) {
        // A SIGKILL that nobody here sent is the machine's doing, above all for lack of memory.
        again = WTERMSIG(status) == SIGKILL;
        end_ = End{again ? wire::ExitReason::error : wire::ExitReason::done, exit,
                   std::string("ended by signal ") + strsignal(WTERMSIG(status))};
      } else {
        end_ = End{again ? wire::ExitReason::error : wire::ExitReason::done, exit,
                   again ? "asked to be retried" : ""};
      }
      // Told to stop, it went with an error instead of saving: not its own answer.
      if (grace_until_ && end_->why == wire::ExitReason::done && exit != 0)
        end_ = End{wire::ExitReason::stopped, exit, "it ended instead of saving"};
    }
  }

  // Its incarnation's processes, and whatever became the supervisor's child by losing its parent.
  void kill_all() {
    while (true) {
      if (task_ > 0) ::kill(-task_, SIGKILL);
      for (pid_t child : children_of(::getpid())) ::kill(child, SIGKILL);
      int status;
      pid_t pid;
      while ((pid = ::waitpid(-1, &status, WNOHANG)) > 0)
        if (pid == task_) task_ = 0;
      if (pid < 0 && errno == ECHILD) return;
      ::usleep(1000);
    }
  }

  fs::path dir_;
  LeaseFile lease_file_;
  Order order_;
  Fd signals_, timer_, saves_;
  bool saves_open_ = true;
  pid_t task_ = 0;
  double began_ = 0;
  std::optional<double> grace_until_;
  std::uint64_t kept_ = 0;
  bool saved_ = false;
  std::optional<End> end_;
};

}  // namespace

std::uint64_t highest_kept(const fs::path& dir) {
  std::uint64_t highest = 0;
  std::error_code none;
  for (const auto& e : fs::directory_iterator(dir, none)) {
    const std::string name = e.path().filename();
    if (!name.starts_with("kept-") || name.size() > 20) continue;
    if (name.find_first_not_of("0123456789", 5) != std::string::npos || name.size() == 5) continue;
    highest = std::max<std::uint64_t>(highest, std::stoull(name.substr(5)));
  }
  return highest;
}

int run_task_supervisor(const fs::path& dir, const fs::path& page) {
  auto lock = try_lock(dir / "lock");
  // Another one has this attempt, or the agent is giving it up.
  if (!lock) return 3;
  if (!fs::exists(dir / "order.json") || fs::exists(dir / "end.json")) return 4;
  try {
    return TaskSupervisor(dir, page).run();
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return 5;
  }
}

}  // namespace shunttrail::agent
