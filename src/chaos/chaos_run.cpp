#include "chaos/chaos_run.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

#include "agent/processes.h"
#include "artifacts/store.h"
#include "chaos/attempts.h"
#include "cli/service_client.h"

namespace shunttrail::chaos {
namespace fs = std::filesystem;
namespace {

std::string command_of(pid_t pid) {
  std::string s = artifacts::read_whole("/proc/" + std::to_string(pid) + "/cmdline");
  std::replace(s.begin(), s.end(), '\0', ' ');
  return s;
}

double resident_mb(pid_t pid) {
  std::istringstream in(artifacts::read_whole("/proc/" + std::to_string(pid) + "/statm"));
  double pages = 0, resident = 0;
  in >> pages >> resident;
  return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

double cpu_s(pid_t pid) {
  std::string s = artifacts::read_whole("/proc/" + std::to_string(pid) + "/stat");
  auto close = s.rfind(')');
  if (close == std::string::npos) return 0;
  std::istringstream in(s.substr(close + 2));
  std::string skipped;
  for (int i = 3; i < 14; ++i) in >> skipped;
  double user = 0, system = 0;
  in >> user >> system;
  return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

// The set as a process, and who is who below it.
class ClusterUnderTest {
 public:
  ClusterUnderTest(const ChaosPlan& p) : plan_(p) {
    fs::create_directories(p.dir);
    std::ofstream(p.dir / "set.xml")
        << "<shunt-local><zones><zone>a</zone><zone>b</zone></zones><teams><team name='t' cpus='"
        << 4 * p.machines << "' cpus-max='" << 4 * p.machines
        << "'/></teams><types><type name='m4' cpus='4' mem-gb='8' hourly='0.4' spot='0.1' "
           "boot-s='0.3' most='"
        << p.machines << "'/></types><disk-reserve-mb>1</disk-reserve-mb></shunt-local>";
    int out[2];
    if (::pipe2(out, O_CLOEXEC) != 0) throw std::runtime_error("pipe");
    agent::Fd read_end(out[0]), write_end(out[1]);
    const std::string program = p.programs / "shunttrail-local", settings = p.dir / "set.xml",
                      home = p.dir / "set", log = p.dir / "set.log";
    pid_ = ::fork();
    if (pid_ == 0) {
      int err = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out[1], 1);
      ::dup2(err, 2);
      ::execl(program.c_str(), "shunttrail-local", "--dir", home.c_str(), "--settings",
              settings.c_str(), nullptr);
      ::_exit(127);
    }
    write_end = agent::Fd();
    std::string line;
    for (char c; ::read(read_end.get(), &c, 1) == 1 && c != '\n';) line += c;
    if (!line.starts_with("ready ")) throw std::runtime_error("the set does not start: " + line);
    url_ = line.substr(6);
  }
  ~ClusterUnderTest() { end(); }

  void end() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGTERM);
    ::waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
  const std::string& url() const { return url_; }
  std::vector<pid_t> of(const char* program) const {
    std::vector<pid_t> out;
    for (pid_t c : agent::children_of(pid_)) {
      std::string command = command_of(c);
      if (command.find(program) != std::string::npos && command.find(" end ") == std::string::npos)
        out.push_back(c);
    }
    return out;
  }
  std::vector<pid_t> supervisors() const {
    std::vector<pid_t> out;
    std::error_code gone;
    for (const auto& m : fs::directory_iterator(plan_.dir / "set" / "machines", gone))
      for (const auto& t : fs::directory_iterator(m.path() / "tasks", gone)) {
        auto j = nlohmann::json::parse(artifacts::read_whole(t.path() / "shepherd.json"), nullptr,
                                       false);
        if (!j.is_object() || fs::exists(t.path() / "end.json", gone)) continue;
        agent::Identity id{j.value("pid", 0), j.value("start", std::uint64_t{0}),
                           j.value("boot", "")};
        if (agent::open_process(id)) out.push_back(id.pid);
      }
    return out;
  }

 private:
  const ChaosPlan& plan_;
  pid_t pid_ = 0;
  std::string url_;
};

}  // namespace

ChaosResult run(const ChaosPlan& p) {
  std::mt19937 rng(p.seed);
  auto draw = [&](double a, double b) { return std::uniform_real_distribution<>(a, b)(rng); };
  ChaosResult out;
  ClusterUnderTest set(p);
  cli::ServiceClient service(set.url());
  const std::string log = p.dir / "log", locks = p.dir / "locks";
  fs::create_directories(locks);
  std::map<std::string, std::uint32_t> expected;
  double began = actor::steady_now(), next_kill = began + 1, next_look = began;
  while (out.tasks < p.tasks) {
    client_protocol::JobDescription d;
    d.job.id = cli::fresh_id();
    d.job.job_class = "trial";
    d.job.team = "t";
    d.job.image = "none";
    d.job.spot = true;
    d.job.tasks = std::min<std::uint32_t>(p.tasks - out.tasks, 1 + rng() % 60);
    d.job.cpus = 1;
    d.job.mem_gb = 0.5;
    double sleep = draw(0.05, 1.5);
    d.job.estimate_s = sleep;
    std::ostringstream script;
    script << "say() { echo \"$1 $SHUNT_JOB $SHUNT_TASK $SHUNT_ATTEMPT $EPOCHREALTIME\" >> " << log
           << "; }; exec 9>" << locks << "/$SHUNT_JOB.$SHUNT_TASK; flock -n 9 || say overlap; "
           << "say begin; sleep " << sleep << "; say end";
    d.command = {"bash", "-c", script.str()};
    service.submit(d);
    expected[d.job.id] = d.job.tasks;
    out.tasks += d.job.tasks;
    ++out.jobs;
  }
  std::map<std::string, double> seen;
  std::map<pid_t, double> used;
  while (seen.size() < expected.size() && actor::steady_now() - began < p.limit_s) {
    double now = actor::steady_now();
    if (p.kill_every_s > 0 && now >= next_kill) {
      next_kill = now + p.kill_every_s * draw(0.5, 1.5);
      double kind = draw(0, 1);
      auto [from, count] =
          kind < 0.5   ? std::pair(set.of("shunttrail-agent"), &out.agents_killed)
          : kind < 0.8 ? std::pair(set.supervisors(), &out.supervisors_killed)
                       : std::pair(set.of("shunttrail-controller"), &out.controllers_killed);
      if (!from.empty()) {
        ::kill(from[rng() % from.size()], SIGKILL);
        ++*count;
      }
    }
    if (now >= next_look) {
      next_look = now + 0.5;
      for (pid_t a : set.of("shunttrail-agent")) {
        double c = cpu_s(a);
        out.agent_cpu_s += std::max(0.0, c - used[a]);
        used[a] = c;
        out.agent_mb = std::max(out.agent_mb, resident_mb(a));
      }
      for (pid_t s : set.supervisors())
        out.supervisor_mb = std::max(out.supervisor_mb, resident_mb(s));
    }
    for (const auto& [id, n] : expected) {
      if (seen.contains(id)) continue;
      auto a = service.status(id);
      if (a && a->state == wire::JobState::done) seen[id] = actor::wall_now();
      if (actor::steady_now() >= next_kill) break;
    }
    service.sleep(0.05);
  }
  out.took_s = actor::steady_now() - began;
  Attempts history;
  std::ifstream in(log);
  history.read(in);
  out.begins = history.begins();
  out.ends = history.ends();
  std::vector<double> delays;
  for (const auto& [id, at] : seen) {
    delays.push_back(at - history.last_end(id));
    for (std::uint32_t i = 0; i < expected[id]; ++i)
      if (auto r = service.result({id, i})) history.answered(id, i, r->attempt);
  }
  set.end();
  out.faults = history.faults(expected);
  for (const auto& [id, n] : expected)
    if (!seen.contains(id)) out.faults.push_back(id + ": was not done in time");
  std::sort(delays.begin(), delays.end());
  if (!delays.empty()) {
    out.seen_p50_s = delays[delays.size() / 2];
    out.seen_p99_s = delays[std::min(delays.size() - 1, delays.size() * 99 / 100)];
  }
  // Nothing of the set or its tasks may be there any more.
  for (const auto& e : fs::directory_iterator("/proc")) {
    const std::string name = e.path().filename();
    if (name.find_first_not_of("0123456789") != std::string::npos) continue;
    pid_t pid = static_cast<pid_t>(std::stol(name));
    if (pid != ::getpid() && command_of(pid).find(p.dir.string() + "/") != std::string::npos)
      ++out.left_behind;
  }
  if (out.left_behind) out.faults.push_back("processes were left behind");
  return out;
}

std::string to_json(const ChaosResult& o) {
  return nlohmann::json{{"faults", o.faults},
                        {"jobs", o.jobs},
                        {"tasks", o.tasks},
                        {"begins", o.begins},
                        {"ends", o.ends},
                        {"agents_killed", o.agents_killed},
                        {"shepherds_killed", o.supervisors_killed},
                        {"controllers_killed", o.controllers_killed},
                        {"took_s", o.took_s},
                        {"seen_p50_s", o.seen_p50_s},
                        {"seen_p99_s", o.seen_p99_s},
                        {"agent_cpu_s_per_100_tasks", o.agent_cpu_s * 100 / o.tasks},
                        {"agent_mb", o.agent_mb},
                        {"shepherd_mb", o.supervisor_mb},
                        {"left_behind", o.left_behind}}
      .dump(1);
}

}  // namespace shunttrail::chaos
