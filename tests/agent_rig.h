// Test rig: a real agent process on loopback, with an artifact store and an emulated controller in
// the test's own event loop.
#pragma once
#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "agent/agent.h"
#include "artifacts/server.h"
#include "artifacts/store.h"
#include "client_protocol/client_protocol.h"
#include "client_protocol/job_description.h"
#include "net/http.h"

namespace shunttrail::test {
namespace fs = std::filesystem;

// Returns a free endpoint. Ports are below the range that the system uses for outgoing connections,
// and start at another value in each process, so that the port is not taken before it is used.
inline config::Endpoint free_endpoint() {
  static int next = ::getpid() * 131 % 10000;
  while (true) {
    auto port = static_cast<std::uint16_t>(10000 + next++ % 10000);
    int s = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    a.sin_port = htons(port);
    bool ok = ::bind(s, reinterpret_cast<sockaddr*>(&a), sizeof a) == 0;
    ::close(s);
    if (ok) return {"127.0.0.1", port};
  }
}

class Rig {
 public:
  struct Task {
    std::uint64_t attempt = 0,
                  incarnation = 0;  // the requested attempt, and the incarnation it was sent to
    bool sent = false, wanted = true, cancelled = false;
    int done = 0, failed = 0,
        lost = 0;  // ends as done, other ends, ends by loss of the incarnation
    std::string exit_reason;
  };

  explicit Rig(double lease_s = 60, const std::string& extra_settings = "")
      : lease_s_(lease_s), extra_settings_(extra_settings) {
    // A connection that the agent closes early must be a write error, not a signal.
    ::signal(SIGPIPE, SIG_IGN);
    std::string name = fs::temp_directory_path() / "shunt-rig-XXXXXX";
    dir = ::mkdtemp(name.data());
    open_artifact_store();
    open_controller();
  }
  ~Rig() {
    kill_agent();
    agent::kill_all_tasks({dir / "m"});
    controller_.reset();
    artifacts_.reset();
    fs::remove_all(dir);
  }

  // Starts the agent. With `kill_at`, it kills itself at that journal step.
  void start(const std::string& kill_at = "") {
    std::ofstream(dir / "agent.xml")
        << "<shunt-agent><machine>m-1</machine><type>t</type><zone>z</zone><address>127.0.0.1:"
        << address.port << "</address><cpus>4</cpus><mem-gb>8</mem-gb><report-s>0.5</report-s>"
        << "<lease-s>" << lease_s_ << "</lease-s><disk-reserve-mb>0</disk-reserve-mb>"
        << "<memory-limit>false</memory-limit><controllers><controller name='n0' "
           "address='127.0.0.1:"
        << controller_at_.port << "'/></controllers><depot>127.0.0.1:" << artifacts_at_.port
        << "</depot>" << extra_settings_ << "</shunt-agent>";
    const std::string settings = dir / "agent.xml", home = dir / "m", log = dir / "agent.log";
    pid = ::fork();
    if (pid == 0) {
      if (!kill_at.empty()) ::setenv("SHUNT_KILL_AT", kill_at.c_str(), 1);
      int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 2);
      ::execl(SHUNTTRAIL_AGENT, "shunttrail-agent", "--settings", settings.c_str(), "--dir",
              home.c_str(), nullptr);
      ::_exit(127);
    }
  }
  bool agent_ended() {
    if (pid > 0 && ::waitpid(pid, nullptr, WNOHANG) == pid) pid = 0;
    return pid == 0;
  }
  void kill_agent(int signal = SIGKILL) {
    if (pid <= 0) return;
    ::kill(pid, signal);
    ::waitpid(pid, nullptr, 0);
    pid = 0;
  }

  void open_artifact_store() {
    artifacts_ = std::make_unique<artifacts::Server>(loop, artifacts_at_, dir / "depot");
  }
  void close_artifact_store() { artifacts_.reset(); }
  void open_controller() {
    controller_ = std::make_unique<net::Server>(loop, controller_at_, 64 * 1024,
                                                [this](net::ExchangePtr ex) { heartbeat(ex); });
  }
  void close_controller() { controller_.reset(); }

  // Adds a job of one task that runs this script. The task logs its begin and its end, and
  // "overlap" if another attempt of it is running.
  std::string add(const std::string& script, double save_every_s = 0,
                  const std::string& image = "") {
    client_protocol::JobDescription d;
    std::string id = "run-" + std::to_string(100001 + jobs_++);
    d.job.id = id;
    d.job.job_class = "c";
    d.job.team = "t";
    d.job.image = "none";
    d.job.cpus = 1;
    d.job.mem_gb = 1;
    d.job.checkpoint_s = save_every_s;
    d.job.save_s = save_every_s > 0 ? 1 : 0;
    d.image = image;
    d.command = {"bash", "-c",
                 "exec 9>" + (dir / "lock").string() +
                     ".$SHUNT_JOB; flock -n 9 || echo overlap >> " + log().string() +
                     "; echo begin $SHUNT_JOB $SHUNT_ATTEMPT >> " + log().string() + "; " + script +
                     "; e=$?; echo end $SHUNT_JOB $SHUNT_ATTEMPT >> " + log().string() +
                     "; exit $e"};
    artifacts::Store(dir / "depot")
        .put_name(client_protocol::description_name(id), {client_protocol::encode_description(d)});
    tasks[id].attempt = 1;
    return id;
  }
  fs::path log() const { return dir / "log"; }
  int logged(const std::string& word) const {
    std::istringstream in(artifacts::read_file_or_empty(log()));
    int n = 0;
    for (std::string line; std::getline(in, line);) n += line.starts_with(word);
    return n;
  }

  // Returns whether no process of the task is left. Every process of a task, also a detached one,
  // holds the task's lock.
  bool nothing_left_of(const std::string& id) const {
    return agent::try_lock(dir / ("lock." + id)).has_value();
  }

  // Runs the event loop until the condition holds. The time limit is generous, because the tests
  // check no durations.
  bool until(const std::function<bool()>& over, double seconds = 60) {
    double end = actor::steady_now() + seconds;
    while (!over()) {
      if (actor::steady_now() > end) return false;
      event_base_loop(loop.base(), EVLOOP_NONBLOCK);
      ::usleep(1000);
    }
    return true;
  }
  bool until_done(const std::string& id) {
    return until([&] { return tasks[id].done > 0; });
  }
  bool until_logged(const std::string& word, int n = 1) {
    return until([&] { return logged(word) >= n; });
  }
  // Sends a direct command to the agent, or a GET if the body is empty; returns the answer.
  net::Result send_command(const std::string& body, const char* path = "/orders") {
    net::Client client(loop, address, 1, 1);
    net::Result out;
    bool answered = false;
    client.request(body.empty() ? "GET" : "POST", path, body, 10, [&](net::Result r) {
      out = std::move(r);
      answered = true;
    });
    until([&] { return answered; });
    return out;
  }
  wire::Heartbeat status() { return wire::decode_heartbeat(send_command("", "/status").body); }

  actor::Loop loop;
  fs::path dir;
  config::Endpoint address = free_endpoint();
  pid_t pid = 0;
  std::uint64_t token = 5;
  std::map<std::string, Task> tasks;
  wire::Heartbeat last_heartbeat;
  int heartbeats = 0;
  double grace_s = 20;

 private:
  // Emulates a controller: starts wanted tasks until the agent reports them, acknowledges exited
  // attempts, and starts another attempt of each task that is not done.
  void heartbeat(net::ExchangePtr ex) {
    last_heartbeat = wire::decode_heartbeat(ex->body);
    ++heartbeats;
    std::vector<wire::Command> commands;
    std::map<std::string, wire::TaskStatus> reported;
    for (const auto& status : last_heartbeat.tasks) {
      if (status.state == wire::TaskState::exited)
        commands.push_back({wire::Command::Op::acknowledge, status.task, status.attempt, 0});
      Task& task = tasks[status.task.job];
      if (status.attempt == task.attempt && task.sent) reported[status.task.job] = status;
    }
    for (auto& [id, task] : tasks) {
      if (task.sent && last_heartbeat.incarnation > task.incarnation) {
        ++task.lost;
        ++task.attempt;
        task.sent = false;
      }
      auto it = reported.find(id);
      if (it != reported.end() && it->second.state == wire::TaskState::exited) {
        task.exit_reason = std::to_string(static_cast<int>(it->second.exit_reason)) +
                           (it->second.checkpointed ? "kept" : "");
        if (it->second.exit_reason == wire::ExitReason::done) {
          ++task.done;
          task.wanted = false;
        } else {
          ++task.failed;
          ++task.attempt;
        }
        task.sent = false;
      } else if (it != reported.end() && task.cancelled) {
        commands.push_back({wire::Command::Op::stop, {id, 0}, task.attempt, grace_s});
      } else if (it == reported.end() && task.wanted && !task.cancelled) {
        commands.push_back({wire::Command::Op::start, {id, 0}, task.attempt, 0});
        task.sent = true;
        task.incarnation = last_heartbeat.incarnation;
      }
    }
    ex->send({200, wire::encode_heartbeat_response(token, commands), 0});
  }

  double lease_s_;
  std::string extra_settings_;
  int jobs_ = 0;
  config::Endpoint artifacts_at_ = free_endpoint(), controller_at_ = free_endpoint();
  std::unique_ptr<artifacts::Server> artifacts_;
  std::unique_ptr<net::Server> controller_;
};

}  // namespace shunttrail::test
