#include "chaos/chaos_run.h"

#include <signal.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

#include "chaos/attempts.h"
#include "chaos/cluster_under_test.h"
#include "chaos/process_info.h"
#include "cli/service_client.h"

namespace shunttrail::chaos {
namespace fs = std::filesystem;
namespace {

constexpr std::uint32_t kMaxTasksPerJob = 60;
constexpr double kMinTaskS = 0.05, kMaxTaskS = 1.5;
constexpr double kFirstKillS = 1;
// The time to the next kill is the plan's interval times a factor between these.
constexpr double kMinKillFactor = 0.5, kMaxKillFactor = 1.5;
// Shares of all kills; the rest are kills of controllers.
constexpr double kAgentShare = 0.5, kSupervisorShare = 0.3;
constexpr double kMeasureIntervalS = 0.5;
constexpr double kPollIntervalS = 0.05;

class ChaosRun {
 public:
  explicit ChaosRun(const ChaosPlan& plan)
      : plan_(plan),
        random_(plan.seed),
        cluster_(plan),
        service_(cluster_.url()),
        log_(plan.dir / "log"),
        locks_(plan.dir / "locks") {}

  ChaosResult run() {
    fs::create_directories(locks_);
    const double started_at = actor::steady_now();
    next_kill_at_ = started_at + kFirstKillS;
    next_measure_at_ = started_at;
    while (result_.tasks < plan_.tasks) submit_job();
    while (done_at_.size() < tasks_of_.size() && actor::steady_now() - started_at < plan_.limit_s) {
      const double now = actor::steady_now();
      if (plan_.kill_every_s > 0 && now >= next_kill_at_) kill_one(now);
      if (now >= next_measure_at_) measure(now);
      poll_jobs();
      service_.sleep(kPollIntervalS);
    }
    result_.took_s = actor::steady_now() - started_at;
    check_history();
    check_left_behind();
    return std::move(result_);
  }

 private:
  double draw(double least, double most) {
    return std::uniform_real_distribution<>(least, most)(random_);
  }

  void submit_job() {
    client_protocol::JobDescription description;
    wire::JobSpec& job = description.job;
    job.id = cli::new_job_id();
    job.job_class = "trial";
    job.team = "t";
    job.image = "none";
    job.spot = true;
    job.tasks =
        std::min<std::uint32_t>(plan_.tasks - result_.tasks, 1 + random_() % kMaxTasksPerJob);
    job.cpus = 1;
    job.mem_gb = 0.5;
    job.estimate_s = draw(kMinTaskS, kMaxTaskS);
    description.command = {"bash", "-c", script(job.estimate_s)};
    service_.submit(description);
    tasks_of_[job.id] = job.tasks;
    result_.tasks += job.tasks;
    ++result_.jobs;
  }

  // Returns the shell script of a task: it logs its begin and its end, and "overlap" if another
  // attempt of the same task still holds the task's lock.
  std::string script(double run_s) const {
    std::ostringstream out;
    out << "say() { echo \"$1 $SHUNT_JOB $SHUNT_TASK $SHUNT_ATTEMPT $EPOCHREALTIME\" >> "
        << log_.string() << "; }; exec 9>" << locks_.string()
        << "/$SHUNT_JOB.$SHUNT_TASK; flock -n 9 || say overlap; "
        << "say begin; sleep " << run_s << "; say end";
    return out.str();
  }

  void kill_one(double now) {
    next_kill_at_ = now + plan_.kill_every_s * draw(kMinKillFactor, kMaxKillFactor);
    const double kind = draw(0, 1);
    if (kind < kAgentShare)
      kill_one_of(cluster_.agents(), result_.agents_killed);
    else if (kind < kAgentShare + kSupervisorShare)
      kill_one_of(cluster_.supervisors(), result_.supervisors_killed);
    else
      kill_one_of(cluster_.controllers(), result_.controllers_killed);
  }

  void kill_one_of(const std::vector<pid_t>& candidates, std::uint64_t& killed) {
    if (candidates.empty()) return;
    ::kill(candidates[random_() % candidates.size()], SIGKILL);
    ++killed;
  }

  void measure(double now) {
    next_measure_at_ = now + kMeasureIntervalS;
    for (pid_t agent : cluster_.agents()) {
      const double used_s = cpu_s(agent);
      double& known_s = cpu_s_of_[agent];
      result_.agent_cpu_s += std::max(0.0, used_s - known_s);
      known_s = used_s;
      result_.agent_mb = std::max(result_.agent_mb, resident_mb(agent));
    }
    for (pid_t supervisor : cluster_.supervisors())
      result_.supervisor_mb = std::max(result_.supervisor_mb, resident_mb(supervisor));
  }

  // Polls the unfinished jobs, and returns early if the next kill is due.
  void poll_jobs() {
    for (const auto& [id, tasks] : tasks_of_) {
      if (done_at_.contains(id)) continue;
      const auto answer = service_.status(id);
      if (answer && answer->state == wire::JobState::done) done_at_[id] = actor::wall_now();
      if (actor::steady_now() >= next_kill_at_) break;
    }
  }

  void check_history() {
    AttemptHistory history;
    std::ifstream log(log_);
    history.read(log);
    result_.begins = history.begins();
    result_.ends = history.ends();
    std::vector<double> delays_s;
    for (const auto& [id, at] : done_at_) {
      delays_s.push_back(at - history.last_end(id));
      for (std::uint32_t task = 0; task < tasks_of_.at(id); ++task)
        if (auto result = service_.result({id, task}))
          history.record_result(id, task, result->attempt);
    }
    cluster_.end();
    result_.faults = history.faults(tasks_of_);
    for (const auto& [id, tasks] : tasks_of_)
      if (!done_at_.contains(id))
        result_.faults.push_back(id + ": was not done within the time limit of the run");
    set_delays(std::move(delays_s));
  }

  void set_delays(std::vector<double> delays_s) {
    if (delays_s.empty()) return;
    std::sort(delays_s.begin(), delays_s.end());
    result_.seen_p50_s = delays_s[delays_s.size() / 2];
    result_.seen_p99_s = delays_s[std::min(delays_s.size() - 1, delays_s.size() * 99 / 100)];
  }

  // After the cluster has stopped, no process of the cluster or of its tasks may remain.
  void check_left_behind() {
    result_.left_behind = count_processes_with(plan_.dir.string() + "/");
    if (result_.left_behind)
      result_.faults.push_back(std::to_string(result_.left_behind) + " processes were left behind");
  }

  const ChaosPlan& plan_;
  std::mt19937 random_;
  ClusterUnderTest cluster_;
  cli::ServiceClient service_;
  const fs::path log_, locks_;
  std::map<std::string, std::uint32_t> tasks_of_;  // number of tasks, by job id
  std::map<std::string, double> done_at_;  // wall-clock time at which the user saw the job done
  std::map<pid_t, double> cpu_s_of_;       // CPU time of each agent at its last measurement
  double next_kill_at_ = 0;
  double next_measure_at_ = 0;
  ChaosResult result_;
};

}  // namespace

ChaosResult run(const ChaosPlan& plan) { return ChaosRun(plan).run(); }

std::string to_json(const ChaosResult& result) {
  return nlohmann::json{{"faults", result.faults},
                        {"jobs", result.jobs},
                        {"tasks", result.tasks},
                        {"begins", result.begins},
                        {"ends", result.ends},
                        {"agents_killed", result.agents_killed},
                        {"shepherds_killed", result.supervisors_killed},
                        {"controllers_killed", result.controllers_killed},
                        {"took_s", result.took_s},
                        {"seen_p50_s", result.seen_p50_s},
                        {"seen_p99_s", result.seen_p99_s},
                        {"agent_cpu_s_per_100_tasks", result.agent_cpu_s * 100 / result.tasks},
                        {"agent_mb", result.agent_mb},
                        {"shepherd_mb", result.supervisor_mb},
                        {"left_behind", result.left_behind}}
      .dump(1);
}

}  // namespace shunttrail::chaos
