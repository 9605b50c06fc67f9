// Requests about jobs that have ended, at controllers that hold few of their results in memory: one
// that has just been started, one whose memory is full, and while a job ends. The product's own
// controllers run in simulated time.
#include <gtest/gtest.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "client_protocol/client_protocol.h"
#include "fault_combinations.h"
#include "single_user.h"
#include "wire/codec.h"

namespace shunttrail::test {
namespace {

const config::Endpoint kStateService{"state", 1};
constexpr std::size_t kResultsInMemory = 4000;  // of each controller, see JobResults
constexpr std::size_t kPageEntries = 1000;      // PROTOCOL: keys in a page of the state service
constexpr std::size_t kMaxDependencies = 128;   // README: jobs that a submission may name

// The cluster of FinishedJobs. No machine can be rented: what is accepted does not start.
ClusterOptions without_machines() {
  ClusterOptions options;
  options.machines = 0;
  options.state_rps = 1e6;
  options.state_write_rps = 1e6;
  return options;
}

// A cluster that has run for a while, and jobs that ended before its controllers were started: none
// of them has their results in memory.
class FinishedJobs : public ::testing::Test {
 protected:
  FinishedJobs() { cluster_.run_for(15); }

  static std::string id(std::size_t number) { return "run-" + std::to_string(100000 + number); }
  static bool is_cancelled(std::size_t number) { return number % 10 == 9; }

  void store(const std::string& job, const std::string& record) {
    store_key(state::job_result_key(job), record);
  }
  void store_key(const std::string& key, const std::string& value) {
    transaction_.ops.push_back({key, value, 0});
    if (transaction_.ops.size() == kTransactionOps) flush();
  }
  void flush() {
    if (transaction_.ops.empty()) return;
    const net::Result r =
        user_.request(kStateService, "POST", "/commit", wire::encode_transaction(transaction_));
    ASSERT_EQ(r.status, 200) << r.body;
    transaction_.ops.clear();
  }
  // Stores the results of jobs 0 to `count` - 1, of which every tenth was cancelled.
  void store_results(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      wire::JobResultRecord result;
      result.cancelled = is_cancelled(i);
      result.tasks = 1;
      result.team = "red";
      result.tag = "earlier";
      store(id(i), wire::encode_record(result));
    }
    flush();
  }
  // Returns a submission of a new job with these dependencies.
  std::string submission(std::vector<std::string> dependencies) {
    wire::JobSpec job = spec("red", 1);
    job.id = "run-" + std::to_string(next_job_++);
    job.dependencies = std::move(dependencies);
    return wire::encode_job(job);
  }
  static std::vector<std::string> paths(const std::vector<std::size_t>& jobs,
                                        const std::string& suffix = "") {
    std::vector<std::string> out;
    for (const std::size_t job : jobs) out.push_back("/v2/runs/" + id(job) + suffix);
    return out;
  }
  // Sends a request about each job in the same moment, and expects that each gets its final state.
  void expect_final_states(int node, const char* method, const std::vector<std::size_t>& jobs,
                           const std::string& suffix) {
    const auto answers = user_.request_all(node, method, paths(jobs, suffix));
    std::size_t wrong = 0;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
      const auto expected =
          is_cancelled(jobs[i]) ? wire::JobState::cancelled : wire::JobState::done;
      wrong += answers[i].status != 200 ||
               client_protocol::decode_job_state(answers[i].body).state != expected;
    }
    EXPECT_EQ(wrong, 0u) << "of " << jobs.size();
  }
  static std::vector<std::size_t> numbers(std::size_t first, std::size_t count,
                                          std::size_t step = 1) {
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < count; ++i) out.push_back(first + i * step);
    return out;
  }
  // Returns jobs of these numbers that were not cancelled.
  static std::vector<std::string> done_jobs(std::size_t first, std::size_t count,
                                            std::size_t step = 1) {
    std::vector<std::string> out;
    for (std::size_t n = first; out.size() < count; n += step)
      if (!is_cancelled(n)) out.push_back(id(n));
    return out;
  }

  SimulatedCluster cluster_{7, without_machines()};
  SingleUser user_{cluster_};

 private:
  static constexpr std::size_t kTransactionOps = 16;
  wire::Transaction transaction_;
  int next_job_ = 700000;
};

// Guards against an accepted job that counts as never accepted: after a controller's crash a job
// that awaited eight or more finished jobs was refused for good (422).
TEST(JobResults, AJobThatAwaitsFinishedJobsIsAcceptedAfterARestart) {
  for (const std::size_t count : {1, 7, 8, 12}) {
    SCOPED_TRACE(count);
    SimulatedCluster cluster(3, {});
    cluster.run_for(15);
    wire::JobSpec last = spec("red", 1);
    for (std::size_t i = 0; i < count; ++i)
      last.dependencies.push_back(cluster.users().submit(spec("red", 1), 1));
    cluster.run_for(60);
    for (const auto& [id, job] : cluster.users().jobs()) ASSERT_GE(job.done_reported_at, 0) << id;
    cluster.controllers().stop(1);
    cluster.run_for(6);
    cluster.controllers().start(1);
    cluster.run_for(10);
    const std::string id = cluster.users().submit(std::move(last), 1, 1);
    cluster.run_for(60);
    EXPECT_GE(cluster.users().jobs().at(id).done_reported_at, 0);
    EXPECT_EQ(cluster.rules().broken(), std::vector<std::string>{});
  }
}

// The same with as many dependencies as a submission may name, whose results are on several pages.
TEST_F(FinishedJobs, AreFoundOnAllPages) {
  store_results(3 * kPageEntries);
  const std::size_t step = 3 * kPageEntries / kMaxDependencies;
  EXPECT_EQ(user_.submit(0, submission(done_jobs(0, 2 * kMaxDependencies / 3, step))).status, 201);
  std::vector<std::string> reversed = done_jobs(1, 2 * kMaxDependencies / 3, step);
  std::reverse(reversed.begin(), reversed.end());
  EXPECT_EQ(user_.submit(1, submission(reversed)).status, 201);
  EXPECT_EQ(user_.submit(2, submission(done_jobs(5, kMaxDependencies))).status, 201);
}

// One dependency that was never accepted is told from many that were.
TEST_F(FinishedJobs, DoNotHideAJobThatWasNeverAccepted) {
  store_results(kMaxDependencies);
  std::vector<std::string> dependencies = done_jobs(0, 100);
  dependencies.push_back("run-555555");
  const net::Result refusal = user_.submit(0, submission(dependencies));
  EXPECT_EQ(refusal.status, 422);
  EXPECT_NE(refusal.body.find("never accepted"), std::string::npos) << refusal.body;
}

// Guards against 503 for finished jobs: 200 users who asked in the same moment got 12 to 21
// answers.
TEST_F(FinishedJobs, ManyQueriesAtOnceAreAnswered) {
  store_results(3 * kPageEntries);
  for (const std::size_t count : {7, 8, 200, 1000}) {
    SCOPED_TRACE(count);
    expect_final_states(0, "GET", numbers(count, count, count > 500 ? 1 : 9), "");
  }
}

// The same with withdrawals, which tell how the job has ended.
TEST_F(FinishedJobs, ManyWithdrawalsAtOnceAreAnswered) {
  store_results(3 * kPageEntries);
  expect_final_states(1, "POST", numbers(3, 200, 13), "/withdraw");
  expect_final_states(2, "POST", numbers(0, 8), "/withdraw");
}

// Queries of jobs that were never accepted are told from those of finished jobs.
TEST_F(FinishedJobs, AreToldFromUnknownJobsInManyQueries) {
  store_results(200);
  const auto answers = user_.request_all(0, "GET", paths(numbers(100, 200)));
  for (std::size_t i = 0; i < answers.size(); ++i)
    EXPECT_EQ(answers[i].status, i < 100 ? 200 : 404) << id(100 + i);
}

// Guards against an accepted job that counts as never accepted: the oldest results in a full memory
// were dropped while the results of the submission's other dependencies were read.
TEST_F(FinishedJobs, AFullMemoryHidesNone) {
  store_results(kResultsInMemory + kMaxDependencies);
  expect_final_states(0, "GET", numbers(0, kResultsInMemory), "");
  // The oldest ones in memory, and those that are not in memory.
  std::vector<std::string> dependencies = done_jobs(0, kMaxDependencies / 2);
  for (const std::string& job : done_jobs(kResultsInMemory, kMaxDependencies / 2))
    dependencies.push_back(job);
  EXPECT_EQ(user_.submit(0, submission(dependencies)).status, 201);
}

// More queries at once than the memory holds results.
TEST_F(FinishedJobs, MoreQueriesThanTheMemoryHoldsAreAnswered) {
  store_results(3 * kResultsInMemory / 2);
  expect_final_states(0, "GET", numbers(0, 3 * kResultsInMemory / 2), "");
}

// Guards against an accepted job that counts as never accepted: a record that cannot be decoded was
// found and not remembered. Whether the job was accepted cannot be told then, and 503 says so.
TEST_F(FinishedJobs, AnUnreadableRecordIsNotTakenForAMissingOne) {
  store_results(20);
  store("run-200000", R"({"a":"form of a later build"})");
  flush();
  for (const std::size_t others : {0, 15}) {
    SCOPED_TRACE(others);
    std::vector<std::string> dependencies = done_jobs(0, others);
    dependencies.push_back("run-200000");
    EXPECT_EQ(user_.request(0, "POST", "/v2/runs", submission(dependencies)).status, 503);
  }
  EXPECT_EQ(user_.request(0, "GET", "/v2/runs/run-200000").status, 503);
}

// Guards against an accepted job that counts as never accepted: a live job whose record cannot be
// decoded was in no list of live jobs, so that it was answered 404, and a job that awaited it 422.
TEST_F(FinishedJobs, AnUnreadableRecordOfALiveJobIsNotTakenForAMissingOne) {
  const std::string record = R"({"a":"form of a later build"})";
  store_key(state::job_key("run-200000"), record);
  store_key(state::waiting_key("run-200001"), record);
  flush();
  for (const std::string job : {"run-200000", "run-200001"}) {
    SCOPED_TRACE(job);
    EXPECT_EQ(user_.request(0, "GET", "/v2/runs/" + job).status, 503);
    EXPECT_EQ(user_.request(0, "POST", "/v2/runs/" + job + "/withdraw", "{}").status, 503);
    EXPECT_EQ(user_.request(0, "POST", "/v2/runs", submission({job})).status, 503);
  }
}

// Guards against an accepted job that counts as never accepted: it ended while the results of the
// submission's other dependencies were read, so that it was neither live any more nor among those
// that had been looked up.
TEST(JobResults, ADependencyThatEndsWhileOthersAreReadIsNotRefused) {
  ClusterOptions options;
  options.state_latency_s = 0.2;
  SimulatedCluster cluster(5, options);
  auto& sim = cluster.sim();
  cluster.run_for(15);
  // A dependency that does not end: no dependent starts.
  const std::string endless = cluster.users().submit(spec("red", 1), 1e6);
  std::vector<std::string> earlier;
  for (int i = 0; i < 40; ++i) earlier.push_back(cluster.users().submit(spec("blue", 1), 1));
  cluster.run_for(90);
  for (const std::string& job : earlier)
    ASSERT_GE(cluster.users().jobs().at(job).done_reported_at, 0) << job;
  const int node = 2;  // leads the shard of neither team
  cluster.controllers().stop(node);
  cluster.run_for(1);
  cluster.controllers().start(node);
  cluster.run_for(10);

  std::set<std::string> ended_jobs;
  std::vector<std::string> dependents;
  sim.delivery_of = [&, delivery_of = sim.delivery_of](const simulation::Request& request) {
    if (request.path == "/commit")
      for (const auto& op : client_protocol::decode_transaction(request.body).ops) {
        if (!op.key.starts_with(state::kJobResults) || earlier.empty()) continue;
        const std::string ending = op.key.substr(std::string(state::kJobResults).size());
        if (!ended_jobs.insert(ending).second) continue;
        wire::JobSpec dependent = spec("red", 1);
        dependent.dependencies = {ending, earlier.back(), endless};
        earlier.pop_back();
        sim.at(sim.now() + sim.draw(0, 0.15), [&, dependent] {
          dependents.push_back(cluster.users().submit(dependent, 1, node));
        });
      }
    return delivery_of(request);
  };
  for (int i = 0; i < 40; ++i) {
    cluster.users().submit(spec("red", 1), 1);
    cluster.run_for(2);
  }
  cluster.run_for(60);
  EXPECT_EQ(dependents.size(), 40u);
  for (const std::string& id : dependents)
    EXPECT_TRUE(cluster.users().jobs().at(id).accepted) << id;
  EXPECT_EQ(cluster.rules().broken(), std::vector<std::string>{});
}

// ---- random histories

// Users submit jobs that depend on up to sixteen earlier ones in any state, and ask about or cancel
// many jobs in the same moment, while controllers end and are started again.
class DependentJobsHistory {
 public:
  explicit DependentJobsHistory(unsigned seed) : cluster_(seed, {}) {}

  void play() {
    cluster_.run_for(12);
    for (const double until = cluster_.now() + 120; cluster_.now() < until;) {
      submit();
      if (sim_.chance(0.15)) cluster_.users().cancel(random_job());
      if (sim_.chance(0.15)) request_many();
      if (sim_.chance(0.12)) restart_controller();
      cluster_.run_for(sim_.draw(0.2, 3));
    }
    cluster_.run_for(240);
    cluster_.query_all_controllers();
  }
  void expect_all_ended() const {
    EXPECT_EQ(cluster_.rules().broken(), std::vector<std::string>{});
    for (const auto& [id, job] : cluster_.users().jobs()) {
      EXPECT_TRUE(job.accepted) << id;
      EXPECT_TRUE(job.is_end_reported()) << id;
    }
  }
  [[nodiscard]] std::size_t wide_submissions() const { return wide_submissions_; }
  [[nodiscard]] std::size_t many_requests() const { return many_requests_; }

 private:
  static constexpr std::size_t kWideDependencies = 8;  // as many results are read as a range

  int random_node() {
    return static_cast<int>(sim_.rng()() % static_cast<unsigned>(cluster_.options().controllers));
  }
  const std::string& random_job() { return jobs_[sim_.rng()() % jobs_.size()]; }

  void submit() {
    wire::JobSpec job = spec(sim_.chance(0.5) ? "red" : "blue", 1);
    std::set<std::string> dependencies;
    const std::size_t draws = sim_.chance(0.4) && !jobs_.empty() ? 1 + sim_.rng()() % 16 : 0;
    for (std::size_t i = 0; i < draws; ++i)
      if (const std::string& other = random_job(); cluster_.users().jobs().at(other).accepted)
        dependencies.insert(other);
    wide_submissions_ += dependencies.size() >= kWideDependencies;
    job.dependencies.assign(dependencies.begin(), dependencies.end());
    jobs_.push_back(cluster_.users().submit(std::move(job), sim_.draw(0.5, 6)));
  }
  void request_many() {
    ++many_requests_;
    const int node = random_node();
    const bool cancels = sim_.chance(0.3);
    for (const std::string& id : jobs_) {
      const SimulatedJob& job = cluster_.users().jobs().at(id);
      const bool has_ended = job.is_end_reported();
      if (cancels && has_ended)
        cluster_.users().cancel_once(id, node);
      else
        cluster_.users().query_once(id, node);
    }
  }
  void restart_controller() {
    const int node = random_node();
    cluster_.controllers().stop(node);
    sim_.at(cluster_.now() + sim_.draw(0.1, 6),
            [this, node] { cluster_.controllers().start(node); });
  }

  SimulatedCluster cluster_;
  simulation::Simulation& sim_ = cluster_.sim();
  std::vector<std::string> jobs_;
  std::size_t wide_submissions_ = 0;
  std::size_t many_requests_ = 0;
};

// Guards against an accepted job that counts as never accepted: histories had no submission that
// depends on many jobs, and did not ask about many jobs in the same moment.
TEST(DependentJobs, AreAcceptedAndEndWhileControllersRestart) {
  std::size_t histories = 0;
  std::size_t wide_submissions = 0;
  std::size_t many_requests = 0;
  each_seed(12, [&](unsigned seed) {
    DependentJobsHistory history(seed);
    history.play();
    history.expect_all_ended();
    ++histories;
    wide_submissions += history.wide_submissions();
    many_requests += history.many_requests();
  });
  // The histories contain what they are meant to contain.
  EXPECT_GT(wide_submissions, 4 * histories);
  EXPECT_GT(many_requests, 4 * histories);
}

}  // namespace
}  // namespace shunttrail::test
