/// The users of a simulated cluster: they submit jobs, ask about them and cancel them, through any
/// controller. Every answer is checked against the rules.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "net/http.h"
#include "simulation/cluster_options.h"
#include "simulation/job_records.h"
#include "simulation/rule_checker.h"
#include "simulation/simulated_controllers.h"
#include "simulation/simulation.h"

namespace shunttrail::simulation {

class SimulatedUsers {
 public:
  /// Stands for a controller that is drawn for each request.
  static constexpr int kAnyNode = -1;

  SimulatedUsers(Simulation& simulation, const ClusterOptions& options,
                 const SimulatedControllers& controllers, JobRecords& jobs, RuleChecker& rules);

  // ---- requests that are repeated

  /// Gives the job an id, which is returned, and submits it; repeated for a minute until it is
  /// accepted, and asked about from then on. `run_s`: see JobRecords::work_of.
  std::string submit(wire::JobSpec spec, double run_s, int node = kAnyNode);
  /// Repeated, through any controller, until it is answered.
  void cancel(const std::string& job, int node = kAnyNode);
  /// For half a second, 1 to 50 ms apart: questions to all controllers, with repeated submissions
  /// and, of what is over, cancellations among them.
  void start_query_burst(const std::string& job);
  /// Asks every controller about every accepted job until it answers; whoever does not within
  /// `kForgottenS` breaks a rule. Simulated time has to pass after this: `ask_everywhere_s()`.
  void query_all_controllers();
  [[nodiscard]] static double query_all_controllers_s();

  // ---- single requests

  void query_once(const std::string& job, int node);
  /// Submits the job again, or this body, if it is not empty.
  void submit_once(const std::string& job, int node, const std::string& body = "");
  void cancel_once(const std::string& job, int node);
  /// A body under the job's id that it never had: other tasks, what can never run, a missing field.
  std::string altered_body(const std::string& job);

  // ---- what happens elsewhere

  /// A task has completed on a machine, for the first time.
  void task_completed(const std::string& job);

  /// Rounds of questions that `ask_all_repeatedly` has made.
  [[nodiscard]] std::uint64_t burst_queries() const { return burst_queries_; }
  /// Jobs whose completion met other requests (`ClusterOptions::meet_ends`).
  [[nodiscard]] std::uint64_t completions_with_requests() const {
    return completions_with_requests_;
  }
  [[nodiscard]] const std::map<std::string, SimulatedJob>& jobs() const { return jobs_.all(); }

 private:
  using Callback = std::function<void(net::Result)>;
  /// Controllers that still have to answer about a job.
  struct PendingAnswers {
    std::string job;
    std::set<int> nodes;
    double began_at;
  };

  void send(int node, const char* method, const std::string& path, const std::string& body,
            double timeout_s, Callback done);
  int random_node();
  bool happens(double share) { return share > 0 && simulation_.chance(share); }
  void submit_with_retries(const std::string& id, int node, double until);
  void cancel_with_retries(const std::string& id, int node);
  void poll(const std::string& id);
  void continue_query_burst(const std::string& id, int step, double until);
  void query_pending(const std::shared_ptr<PendingAnswers>& pending);
  void send_requests_at_completion(const std::string& id);
  void handle_answer(const std::string& id, const net::Result& result, double asked_at,
                     UserRequest request = UserRequest::state);
  void record_state(const std::string& id, SimulatedJob& job, wire::JobState state);

  Simulation& simulation_;
  const ClusterOptions& options_;
  const SimulatedControllers& controllers_;
  JobRecords& jobs_;
  RuleChecker& rules_;
  Host host_;
  std::map<std::uint64_t, net::Network::Handle> in_flight_;  // requests, by number
  std::uint64_t next_job_ = 0, requests_ = 0;
  std::uint64_t burst_queries_ = 0, completions_with_requests_ = 0;
};

}  // namespace shunttrail::simulation
