/// The users of a simulated cluster. They submit, query and cancel jobs through any controller.
/// Every answer is checked against the rules.
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
  /// Sends each request to a random controller.
  static constexpr int kAnyNode = -1;

  SimulatedUsers(Simulation& simulation, const ClusterOptions& options,
                 const SimulatedControllers& controllers, JobRecords& jobs, RuleChecker& rules);

  // ---- requests with retries

  /// Submits the job under a new id, which is returned. The submission is repeated for up to a
  /// minute until it is accepted; from then on the job is polled. `run_s`: see JobRecords::work_of.
  std::string submit(wire::JobSpec spec, double run_s, int node = kAnyNode);
  /// Cancels the job. The request is repeated, through any controller, until it is answered.
  void cancel(const std::string& job, int node = kAnyNode);
  /// Sends queries about the job to all controllers in turn for half a second, 1 to 50 ms apart.
  /// Some steps repeat the submission instead and, if the job has ended, cancel it.
  void start_query_burst(const std::string& job);
  /// Queries every controller about every accepted job until it answers. A controller that does not
  /// answer within `kAnswerDeadlineS` breaks the rule `forgotten`. The caller has to let
  /// `query_all_controllers_s()` seconds of simulated time pass afterwards.
  void query_all_controllers();
  [[nodiscard]] static double query_all_controllers_s();

  // ---- single requests

  void query_once(const std::string& job, int node);
  /// Repeats the job's submission; with `body` instead of the job's own body if it is not empty.
  void submit_once(const std::string& job, int node, const std::string& body = "");
  void cancel_once(const std::string& job, int node);
  /// Returns a body with the job's id that differs from its own: another number of tasks, a
  /// specification that can never run, or a missing field.
  std::string altered_body(const std::string& job);

  // ---- events

  /// A task of the job has completed on a machine for the first time.
  void task_completed(const std::string& job);

  /// The number of steps of all query bursts.
  [[nodiscard]] std::uint64_t burst_queries() const { return burst_queries_; }
  /// The number of jobs that got other requests during their completion
  /// (`ClusterOptions::requests_at_completion`).
  [[nodiscard]] std::uint64_t completions_with_requests() const {
    return completions_with_requests_;
  }
  [[nodiscard]] const std::map<std::string, SimulatedJob>& jobs() const { return jobs_.all(); }

 private:
  using Callback = std::function<void(net::Result)>;
  /// The controllers that still have to answer a query about a job.
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
  std::map<std::uint64_t, net::Network::Handle> in_flight_;  // by request number
  std::uint64_t next_job_ = 0, requests_ = 0;
  std::uint64_t burst_queries_ = 0, completions_with_requests_ = 0;
};

}  // namespace shunttrail::simulation
