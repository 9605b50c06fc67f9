// Answers to users: bursts of queries to all controllers, jobs that end while they are cancelled,
// transactions that are applied without an answer, unusual requests, and minutes of one-task jobs.
// The product's own controllers run in simulated time. All answers about a job are checked as one
// linearizable register (RuleChecker::check_answer).
#include <gtest/gtest.h>

#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "client_protocol/client_protocol.h"
#include "fault_combinations.h"
#include "schema/schema.h"
#include "single_user.h"

namespace shunttrail::test {
namespace {

using nlohmann::json;

// ---- histories of short jobs, with users who query, repeat submissions and cancel

struct UserResults {
  std::uint64_t histories = 1;
  std::vector<std::string> broken;
  std::size_t unfinished = 0, accepted = 0, ended = 0;
  std::uint64_t restarts_after_completion = 0, burst_queries = 0, completions_with_requests = 0,
                answers_lost = 0;
  bool level_is_settled = false;
};

using SetOptions = std::function<void(SimulatedCluster&)>;

// Users submit jobs for a minute and a half, most of them with one to three short tasks. Faults
// begin twice in the first minute and a quarter. After their end every controller has to know every
// accepted job, and every accepted job has to end.
UserResults play_user_history(unsigned seed, const SetOptions& set_options,
                              const std::vector<std::string>& named) {
  ClusterOptions options;
  options.controllers = 2 + static_cast<int>(seed % 4);
  options.machines = 4 + static_cast<int>(seed % 5);
  SimulatedCluster cluster(seed, options);
  auto& sim = cluster.sim();
  set_options(cluster);
  cluster.run_for(12);
  std::vector<std::string> jobs;
  for (const auto& fault : named_faults())
    if (std::find(named.begin(), named.end(), fault.name) != named.end())
      for (int round = 0; round < 2; ++round)
        sim.at(cluster.now() + sim.draw(5, 30) + 40 * round, [&cluster, &fault] {
          if (cluster.machines().size() > 0) fault.begin(cluster);
        });
  for (const double until = cluster.now() + 90; cluster.now() < until;) {
    wire::JobSpec job = spec(sim.chance(0.5) ? "red" : "blue", 1 + sim.rng()() % 3);
    job.service = sim.chance(0.05);
    job.gang = !job.service && sim.chance(0.1);
    if (sim.chance(0.2) && !jobs.empty())
      if (const auto& a = jobs[sim.rng()() % jobs.size()];
          cluster.users().jobs().at(a).accepted && !cluster.users().jobs().at(a).spec.service)
        job.dependencies = {a};
    jobs.push_back(cluster.users().submit(std::move(job), sim.draw(0.5, 6)));
    if (sim.chance(0.15)) cluster.users().cancel(jobs[sim.rng()() % jobs.size()]);
    cluster.run_for(sim.draw(0.2, 4));
  }
  cluster.run_for(60);  // longer than the longest fault
  UserResults results;
  cluster.options().late_writes = cluster.options().heartbeat_copies =
      cluster.options().lost_answers = 0;
  cluster.options().query_bursts = cluster.options().requests_at_completion =
      cluster.options().immediate_cancellations = 0;
  cluster.run_for(240);
  cluster.query_all_controllers();
  for (const auto& [id, j] : cluster.users().jobs()) {
    results.accepted += j.accepted;
    const bool ended = j.is_end_reported();
    results.ended += ended;
    if (j.spec.service)
      cluster.users().cancel(id);
    else
      results.unfinished += j.accepted && !ended;
  }
  cluster.run_for(60);
  const net::Result level = SingleUser(cluster).request(config::Endpoint{"state", 1}, "GET",
                                                        std::string("/kv/") + schema::kActiveKey);
  if (level.status == 200) {
    const auto record = schema::decode_record(wire::decode_key(level.body));
    results.level_is_settled = record.active > 0 && record.settled();
  }
  results.broken = cluster.rules().broken();
  results.restarts_after_completion = cluster.rules().restarts_after_completion();
  results.burst_queries = cluster.users().burst_queries();
  results.completions_with_requests = cluster.users().completions_with_requests();
  results.answers_lost = cluster.faults().answers_lost();
  return results;
}

UserResults expect_consistent_answers(unsigned first, unsigned last, const SetOptions& set_options,
                                      const std::vector<std::string>& named = {}) {
  UserResults all;
  read_seed_range(first, last);
  for (unsigned seed = first; seed <= last; ++seed) {
    UserResults results = play_user_history(seed, set_options, named);
    EXPECT_EQ(results.broken, std::vector<std::string>{})
        << "seed " << seed << ": " << join_names(named);
    EXPECT_EQ(results.unfinished, 0u) << "seed " << seed << ": " << join_names(named);
    EXPECT_EQ(results.restarts_after_completion, 0u)
        << "seed " << seed << ": " << join_names(named);
    EXPECT_TRUE(results.level_is_settled) << "seed " << seed << ": " << join_names(named);
    all.burst_queries += results.burst_queries;
    all.completions_with_requests += results.completions_with_requests;
    all.answers_lost += results.answers_lost;
    all.accepted += results.accepted;
    all.ended += results.ended;
  }
  // The histories contain enough jobs for the checks to be meaningful.
  all.histories = last - first + 1;
  EXPECT_GT(all.accepted, all.histories * 20);
  EXPECT_GT(all.ended, all.accepted / 2);
  return all;
}

struct FaultSet {
  const char* name;
  std::vector<std::string> faults;
};
void PrintTo(const FaultSet& set, std::ostream* out) { *out << set.name; }
const auto kFaultSets = ::testing::Values(
    FaultSet{"NoFault", {}}, FaultSet{"LeaderEnds", {"leader ends"}},
    FaultSet{"RollingRestart", {"roll and back"}},
    FaultSet{"SlowStateService", {"slow state service"}}, FaultSet{"LateWrites", {"late writes"}},
    FaultSet{"LeaderRefusedByTheStateService", {"leader refused alone"}},
    FaultSet{"LeaderCutFromTheStateService", {"leader cut from state"}},
    FaultSet{"LateWritesAndLeaderEnds", {"late writes", "leader ends"}},
    FaultSet{"SlowStateServiceAndAllControllersEnd", {"slow state service", "all end"}});
const auto kParameterName = [](const auto& test) { return std::string(test.param.name); };

// Jobs are queried at all controllers within milliseconds and submitted again; some are cancelled
// at once.
class RepeatedQueries : public ::testing::TestWithParam<FaultSet> {};
TEST_P(RepeatedQueries, NeverGetAnOlderState) {
  const UserResults results = expect_consistent_answers(
      1, 25,
      [](SimulatedCluster& cluster) {
        cluster.options().query_bursts = 0.7;
        cluster.options().immediate_cancellations = 0.2;
      },
      GetParam().faults);
  EXPECT_GT(results.burst_queries, results.histories * 400);
}
INSTANTIATE_TEST_SUITE_P(With, RepeatedQueries, kFaultSets, kParameterName);

// A cancellation, a query at each controller and a repeated submission arrive as the last task
// ends.
class ConcurrentRequestsAtJobEnd : public ::testing::TestWithParam<FaultSet> {};
TEST_P(ConcurrentRequestsAtJobEnd, SeeOneOutcome) {
  const UserResults results = expect_consistent_answers(
      101, 125,
      [](SimulatedCluster& cluster) {
        cluster.options().requests_at_completion = 0.8;
        cluster.options().query_bursts = 0.15;
      },
      GetParam().faults);
  EXPECT_GT(results.completions_with_requests, results.histories * 10);
}
INSTANTIATE_TEST_SUITE_P(With, ConcurrentRequestsAtJobEnd, kFaultSets, kParameterName);

// ---- lost answers, by kind of transaction

// Returns the kind of a transaction by its writes and preconditions (docs/safety.md, "Writes that
// are carried out late"): "sheet" writes a placement page, "take" takes over a shard, "raise"
// advances a leader's token, "ready" makes a waiting job runnable, "end" records a job's result,
// "roster" writes an inventory page, "leaving" removes a controller's registration.
std::string kind_of(const std::string& body) {
  const wire::Transaction t = client_protocol::decode_transaction(body);
  std::map<std::string, int> sets, drops, preconditions;
  for (const auto& op : t.ops)
    ++(op.value ? sets : drops)[op.key.substr(0, op.key.starts_with("st/") ? 5 : 4)];
  for (const auto& [key, mod_revision] : t.preconditions) ++preconditions[key.substr(0, 5)];
  auto has_node_precondition = [&](bool exists) {
    return std::any_of(
        t.preconditions.begin(), t.preconditions.end(), [&](const auto& precondition) {
          return precondition.first.starts_with("st/n/") && (precondition.second != 0) == exists;
        });
  };
  if (sets["fin/"] && preconditions["st/o/"]) return "end";
  if (sets["st/a/"] || drops["st/a/"]) return "sheet";
  if (sets["st/j/"] && drops["st/w/"]) return "ready";
  if (sets["fin/"] && drops["st/w/"]) return "waiting cancelled";
  if (sets["fin/"] && drops["st/j/"]) return "cancelled";
  if (sets["fin/"] || sets["st/j/"] || sets["st/w/"]) return "submission";
  if (sets["st/o/"])
    return has_node_precondition(true)    ? "hand over"
           : has_node_precondition(false) ? "take"
                                          : "raise";
  if (sets["st/n/"]) return "registration";
  if (drops["st/n/"]) return "leaving";
  if (sets["st/m/"] || drops["st/m/"]) return "roster";
  if (sets["st/l/"]) return "level";
  return "?";
}

// Nearly all answers to transactions of one kind are lost for a minute and a half while others read
// what these have written: leaders change, users query in bursts and cancel.
struct LostKind {
  const char* name;
  std::string kind;
  std::uint64_t min_lost;  // the least number of lost answers in 25 histories
  double share = 0.7;
};
void PrintTo(const LostKind& lost, std::ostream* out) { *out << lost.name; }
class LostAnswers : public ::testing::TestWithParam<LostKind> {};
TEST_P(LostAnswers, BreakNoRule) {
  const UserResults results = expect_consistent_answers(
      201, 225,
      [](SimulatedCluster& cluster) {
        cluster.options().lost_answers = GetParam().share;
        cluster.options().lose_answer_if = [kind = GetParam().kind](const std::string& body) {
          return kind_of(body) == kind;
        };
        cluster.options().query_bursts = 0.3;
        // Waiting jobs are rarely cancelled otherwise.
        cluster.options().immediate_cancellations =
            GetParam().kind == "waiting cancelled" ? 0.4 : 0.1;
        cluster.options().requests_at_completion = 0.2;
      },
      {"roll and back", "leader cut from state"});
  EXPECT_GE(results.answers_lost * 25, GetParam().min_lost * results.histories);
  RecordProperty("lost", static_cast<int>(results.answers_lost));
}
INSTANTIATE_TEST_SUITE_P(
    Of, LostAnswers,
    ::testing::Values(
        LostKind{"PlacementPages", "sheet", 400}, LostKind{"JobEnds", "end", 400},
        LostKind{"Cancellations", "cancelled", 50},
        LostKind{"CancellationsOfWaitingJobs", "waiting cancelled", 5},
        LostKind{"Submissions", "submission", 400}, LostKind{"JobsBecomingReady", "ready", 20},
        LostKind{"Takeovers", "take", 20}, LostKind{"Handovers", "hand over", 10},
        LostKind{"TokenAdvances", "raise", 50}, LostKind{"Registrations", "registration", 50},
        LostKind{"InventoryPages", "roster", 50}, LostKind{"StateLevels", "level", 25, 1}),
    [](const auto& test) { return std::string(test.param.name); });

// A controller that leaves because it cannot serve the state level is left to other tests; here all
// controllers are of one build.
TEST(LostAnswers, EveryTransactionIsOfAKnownKind) {
  std::map<std::string, int> counts;
  for (unsigned seed = 1; seed <= 6; ++seed)
    play_user_history(seed,
                      [&counts](SimulatedCluster& cluster) {
                        cluster.options().lost_answers = 1e-12;
                        cluster.options().lose_answer_if = [&counts](const std::string& body) {
                          ++counts[kind_of(body)];
                          return false;
                        };
                      },
                      {"roll and back", "leader ends"});
  for (const auto& [kind, count] : counts) RecordProperty(kind, count);
  EXPECT_FALSE(counts.contains("?"));
  EXPECT_EQ(counts.size(), 12u);
}

// Guards against a job that never becomes ready. A controller accepted a job without knowing that
// the job which it depends on had ended, and every controller had read that end before the new
// job's key. None of them told its dependency graph of the end, and none read it again, so that the
// job stayed waiting and each query about it was answered 503.
TEST(JobResults, ADependentOfAJobThatIsJustEndingRuns) {
  for (const int controllers : {1, 2, 3}) {
    SCOPED_TRACE(controllers);
    ClusterOptions options;
    options.controllers = controllers;
    options.state_latency_s = 0.2;
    SimulatedCluster cluster(5, options);
    auto& sim = cluster.sim();
    cluster.run_for(15);
    std::set<std::string> ended_jobs;
    std::size_t written_with_dependency = 0;
    sim.delivery_of = [delivery_of = sim.delivery_of, &cluster, &sim, &ended_jobs,
                       &written_with_dependency](const simulation::Request& request) {
      if (request.path != "/commit") return delivery_of(request);
      const std::string kind = kind_of(request.body);
      written_with_dependency += request.body.find("\"needs\"") != std::string::npos;
      if (kind == "end")
        for (const auto& op : client_protocol::decode_transaction(request.body).ops) {
          if (!op.key.starts_with("fin/")) continue;
          const std::string ended_job = op.key.substr(4);
          if (!cluster.users().jobs().at(ended_job).spec.dependencies.empty() ||
              !ended_jobs.insert(ended_job).second)
            continue;
          const int leader = std::stoi(request.from.substr(5));
          sim.at(sim.now() + sim.draw(0, 0.15), [&cluster, ended_job, leader] {
            wire::JobSpec dependent = spec("red", 1);
            dependent.dependencies = {ended_job};
            cluster.users().submit(std::move(dependent), 1, leader);
          });
          for (int n = 0; n < cluster.options().controllers; ++n)
            if (n != leader)
              sim.at(sim.now() + sim.draw(0.05, 0.4),
                     [&cluster, ended_job, n] { cluster.users().query_once(ended_job, n); });
        }
      return delivery_of(request);
    };
    for (int i = 0; i < 40; ++i) {
      cluster.users().submit(spec("red", 1), 1);
      cluster.run_for(2);
    }
    cluster.run_for(120);
    EXPECT_EQ(ended_jobs.size(), 40u);
    EXPECT_GT(written_with_dependency,
              10u);  // a job that is known to have ended is no dependency in the record
    for (const auto& [id, j] : cluster.users().jobs()) EXPECT_GE(j.done_reported_at, 0) << id;
    EXPECT_EQ(cluster.rules().broken(), std::vector<std::string>{});
  }
}

// ---- unusual requests

// Returns a complete submission, as in PROTOCOL, that fits the cluster.
json complete_submission(const std::string& id) {
  return {{"uid", id},
          {"consist", "c"},
          {"crew", "red"},
          {"haul", "batch"},
          {"precedence", "high"},
          {"cars", 2},
          {"vcpus", 1.5},
          {"cards", 0.0},
          {"mem_gb", 2.0},
          {"manifest", "img-07"},
          {"size_gb", 0.2},
          {"stock_types", {"t4"}},
          {"yard", nullptr},
          {"same_place", false},
          {"scatter", false},
          {"borrowed_stock", true},
          {"run_s", 4.0},
          {"milepost_s", 30.0},
          {"couple_s", 4.0},
          {"due_s", 900.0}};
}

// The invalid values of a field in the protocol's table, as JSON text. An optional field may be
// null or missing.
struct Field {
  const char* name;
  bool optional;
  std::vector<std::string> invalid;
};
const std::vector<Field>& fields() {
  static const auto append = [](std::vector<std::string> all,
                                const std::vector<std::string>& more) {
    all.insert(all.end(), more.begin(), more.end());
    return all;
  };
  static const std::vector<std::string> invalid_texts = {"\"\"", "0",       "1.5", "true",
                                                         "[]",   "[\"a\"]", "{}",  "\"a\\u0000b\""};
  static const std::vector<std::string> invalid_enum_values =
      append(invalid_texts, {"\"x\"", "\"HIGH\"", "\"batch \""});
  static const std::vector<std::string> invalid_amounts = {"-1",    "-0.001", "-1e300", "1e300",
                                                           "1e999", "NaN",    "\"4\"",  "true",
                                                           "false", "[]",     "[1]",    "{}"};
  static const std::vector<std::string> invalid_counts = {
      "0",     "-1",     "1.5",  "0.5",  "100001", "4294967297", "18446744073709551615",
      "1e300", "\"16\"", "true", "[16]", "{}",     "-0.0"};
  static const std::vector<std::string> invalid_flags = {"0",  "1",  "\"true\"", "\"\"",
                                                         "[]", "{}", "[true]"};
  static const std::vector<Field> all = {
      {"uid", false,
       append(invalid_texts, {"\"run-\"", "\"job-1\"", "\"run-1/2\"", "\"run-1a\"", "\"RUN-1\"",
                              "\" run-1\"", "\"run-1 \"", "\"run--1\"", "\"run-+1\"", "\"run-1.5\"",
                              "\"run-" + std::string(300, '1') + "\""})},
      {"consist", false, invalid_texts},
      {"crew", false, invalid_texts},
      {"haul", false, invalid_enum_values},
      {"precedence", false, invalid_enum_values},
      {"cars", false, invalid_counts},
      {"vcpus", false, invalid_amounts},
      {"cards", false, invalid_amounts},
      {"mem_gb", false, invalid_amounts},
      {"manifest", false, invalid_texts},
      {"size_gb", false, invalid_amounts},
      {"stock_types",
       true,
       {"\"t4\"", "4", "true", "false", "{}", "{\"t4\":1}", "[4]", "[null]", "[[]]", "[\"\"]",
        "[\"t4\",4]"}},
      {"yard", true, invalid_texts},
      {"same_place", false, invalid_flags},
      {"scatter", false, invalid_flags},
      {"borrowed_stock", false, invalid_flags},
      {"run_s", false, invalid_amounts},
      {"milepost_s", false, invalid_amounts},
      {"couple_s", false, invalid_amounts},
      {"due_s", true, invalid_amounts}};
  return all;
}

// Returns the job's body with this JSON text as the field's value.
std::string body_with(const json& job, const std::string& field, const std::string& value) {
  std::string out = "{";
  for (auto it = job.begin(); it != job.end(); ++it)
    out += (out.size() > 1 ? "," : "") + json(it.key()).dump() + ":" +
           (it.key() == field ? value : it.value().dump());
  return out + "}";
}

struct OddRequests : ::testing::Test {
  SimulatedCluster cluster{7, options()};
  SingleUser user{cluster};
  int next = 0;
  static ClusterOptions options() {
    ClusterOptions options;
    wire::MachineType single_zone_type{"u4", options.machine_cpus, 0, 64, 0.4, 0.1, 3, {"a"}};
    options.more_types = {{single_zone_type, 2}};
    return options;
  }
  OddRequests() { cluster.run_for(12); }
  std::string new_id() { return "run-" + std::to_string(700000 + next++); }
  int node() { return next % cluster.options().controllers; }
  // Expects that the submission is refused with this status and that another controller does not
  // know the job afterwards.
  void expect_refused(int status, const std::string& id, const std::string& body) {
    EXPECT_EQ(user.submit(node(), body).status, status) << body;
    if (!id.empty()) {
      EXPECT_EQ(user.request((node() + 1) % 3, "GET", "/v2/runs/" + id).status, 404) << body;
    }
  }
  void expect_accepted(const std::string& body) {
    EXPECT_EQ(user.submit(node(), body).status, 201) << body;
  }
};

TEST_F(OddRequests, MissingOrInvalidFieldsAreRefusedAsMalformed) {
  for (const Field& field : fields()) {
    const bool has_id = std::string(field.name) != "uid";
    auto id = [&] { return has_id ? new_id() : ""; };
    if (!field.optional) {
      std::string job_id = new_id();
      json without_field = complete_submission(job_id);
      without_field.erase(field.name);
      expect_refused(400, has_id ? job_id : "", without_field.dump());
      job_id = id();
      expect_refused(400, job_id, body_with(complete_submission(job_id), field.name, "null"));
    }
    for (const auto& invalid : field.invalid) {
      const std::string job_id = id();
      expect_refused(400, job_id, body_with(complete_submission(job_id), field.name, invalid));
    }
  }
  for (const char* body :
       {"", "null", "3", "\"run-1\"", "[]", "{", "{}", "[{}]", "{\"uid\":\"run-1\"}", "\xff"})
    expect_refused(400, "", body);
  EXPECT_EQ(cluster.rules().starts(), 0u);
}

TEST_F(OddRequests, OptionalFieldsMayBeOmittedAndUnknownFieldsAreIgnored) {
  for (const Field& field : fields())
    if (field.optional) {
      json without_field = complete_submission(new_id());
      without_field.erase(field.name);
      expect_accepted(without_field.dump());
      expect_accepted(body_with(complete_submission(new_id()), field.name, "null"));
    }
  json with_unknown_fields = complete_submission(new_id());
  with_unknown_fields["horn"] = {1, nullptr, {{"a", "b"}}};
  with_unknown_fields["cars "] = -1;
  expect_accepted(with_unknown_fields.dump());
  json minimal = complete_submission(new_id());
  for (const char* field : {"cards", "run_s", "milepost_s", "couple_s", "due_s", "size_gb"})
    minimal[field] = 0;
  minimal["stock_types"] = {"t4", "t4", "none"};
  minimal["vcpus"] = 4;  // a whole machine
  minimal["mem_gb"] = 64;
  expect_accepted(minimal.dump());
}

TEST_F(OddRequests, JobsThatCanNeverRunAreRefused) {
  auto changed = [&](const std::string& id, const json& change) {
    json job = complete_submission(id);
    job.update(change);
    return job.dump();
  };
  const std::vector<json> impossible = {
      {{"crew", "nobody"}},
      {{"vcpus", 4.0000001}},
      {{"vcpus", 5}},
      {{"vcpus", 1e9}},
      {{"cards", 0.001}},
      {{"mem_gb", 64.0000001}},
      {{"mem_gb", 1e9}},
      {{"stock_types", json::array()}},
      {{"stock_types", {"none"}}},
      {{"stock_types", {"T4"}}},
      {{"yard", "z"}},
      {{"yard", "A"}},
      {{"yard", "b"}, {"stock_types", {"u4"}}},
      {{"haul", "service"}, {"cars", 11}},
      {{"haul", "service"}, {"cars", 100000}, {"vcpus", 0.001}},
      {{"haul", "group"}, {"cars", 11}},
      {{"haul", "group"}, {"cars", 2}, {"same_place", true}, {"scatter", true}},
      {{"haul", "service"}, {"cars", 2}, {"same_place", true}, {"scatter", true}},
      {{"haul", "group"}, {"cars", 3}, {"yard", "a"}, {"scatter", true}},
      {{"haul", "service"}, {"cars", 3}, {"yard", "a"}, {"scatter", true}},
      {{"haul", "group"}, {"cars", 2}, {"stock_types", {"u4"}}, {"scatter", true}},
      {{"haul", "service"}, {"cars", 2}, {"stock_types", {"u4"}}, {"scatter", true}},
  };
  for (const json& change : impossible) {
    const std::string id = new_id();
    expect_refused(422, id, changed(id, change));
  }
  EXPECT_EQ(cluster.rules().starts(), 0u);
  // Jobs that differ little from these and can run.
  const std::vector<json> possible = {
      {{"vcpus", 4}},
      {{"mem_gb", 64}},
      {{"stock_types", {"none", "u4"}}},
      {{"yard", "a"}, {"stock_types", {"u4"}}},
      {{"cars", 100}},  // a job array needs the quota for one task at a time
      {{"haul", "service"}, {"cars", 10}, {"vcpus", 1.6}},
      {{"haul", "group"}, {"cars", 10}, {"vcpus", 1.6}},
      {{"same_place", true},
       {"scatter", true}},  // tasks of a job array may run one after the other
      {{"yard", "a"}, {"scatter", true}},
      {{"haul", "group"}, {"cars", 1}, {"same_place", true}, {"scatter", true}},
      {{"haul", "service"}, {"cars", 1}, {"yard", "a"}, {"scatter", true}},
      {{"haul", "group"}, {"cars", 2}, {"scatter", true}},
      {{"haul", "group"}, {"cars", 2}, {"same_place", true}, {"stock_types", {"u4"}}},
  };
  for (const json& change : possible) expect_accepted(changed(new_id(), change));
}

// Any submission with the id of an accepted job is a retry, at any controller and at any time.
TEST_F(OddRequests, AnyBodyWithAKnownJobIdGetsTheJobsState) {
  std::uint64_t requests = 0;
  for (int i = 0; i < 12; ++i) {
    // These controllers have not read the job yet and cannot query the state service.
    if (i > 5) cluster.faults().cut(1, FaultInjector::state, 4);
    if (i > 8) cluster.faults().refuse(2, 4);
    const std::string id = cluster.users().submit(spec("red", 1 + i % 3), 1, 0);
    while (cluster.users().jobs().at(id).first_reported_at < 0) cluster.run_for(0.005);
    for (int n = 0; n < 12; ++n, ++requests)
      cluster.users().submit_once(id, n % 3, cluster.users().altered_body(id));
    if (i % 3 == 0) cluster.users().cancel(id);
    for (int n = 0; n < 12; ++n, ++requests) {
      cluster.run_for(0.2);
      cluster.users().submit_once(id, n % 3, cluster.users().altered_body(id));
    }
  }
  cluster.run_for(120);
  for (const auto& [id, job] : cluster.users().jobs()) {
    EXPECT_TRUE(job.is_end_reported()) << id;
    const json answer = json::parse(user.submit(node(), cluster.users().altered_body(id)).body);
    EXPECT_EQ(answer.at("uid"), id);
    EXPECT_EQ(answer.at("signal"), job.done_reported_at >= 0 ? "done" : "cancelled");
  }
  EXPECT_EQ(cluster.rules().broken(), std::vector<std::string>{});
}

// Every cancellation gets an outcome, even one that arrives together with the submission itself.
TEST_F(OddRequests, ACancellationDuringTheSubmissionGetsAnOutcome) {
  cluster.sim().delivery_of = [delivery_of = cluster.sim().delivery_of,
                               this](const simulation::Request& r) {
    auto delivery = delivery_of(r);
    if (r.path == "/v2/runs") delivery.request_delay_s += cluster.sim().draw(0, 0.03);
    return delivery;
  };
  for (int i = 0; i < 150; ++i) {
    const std::string id = cluster.users().submit(spec("red", 1), 1, i % 3);
    for (int n = 1; n <= 1 + i % 2; ++n)
      cluster.sim().at(cluster.now() + cluster.sim().draw(0, 0.012),
                       [this, id, i, n] { cluster.users().cancel_once(id, (i + n) % 3); });
    cluster.run_for(0.3);
  }
  cluster.run_for(60);
  std::size_t cancelled = 0, done = 0;
  for (const auto& [id, job] : cluster.users().jobs()) {
    cancelled += job.cancelled_reported_at >= 0;
    done += job.done_reported_at >= 0;
  }
  EXPECT_EQ(cancelled + done, 150u);
  EXPECT_GT(cancelled, 15u);
  EXPECT_GT(done, 15u);
  EXPECT_EQ(cluster.rules().broken(), std::vector<std::string>{});
}

// Queries and cancellations of jobs that nobody submitted, and cancellations of a job that is done.
TEST_F(OddRequests, UnknownJobsAreNotFoundAndADoneJobStaysDone) {
  const std::string id = cluster.users().submit(spec("red", 2), 1);
  cluster.run_for(60);
  ASSERT_GE(cluster.users().jobs().at(id).done_reported_at, 0);
  for (int n = 0; n < 3; ++n) {
    for (const char* path :
         {"/v2/runs/run-9", "/v2/runs/run-", "/v2/runs/", "/v2/runs/x", "/v2/runs/run-900000/2"}) {
      EXPECT_EQ(user.request(n, "GET", path).status, 404) << path;
      EXPECT_EQ(user.request(n, "POST", std::string(path) + "/withdraw", "{}").status, 404) << path;
    }
    for (const char* body : {"{}", "", "[]", "no JSON"}) {
      const net::Result r = user.request(n, "POST", "/v2/runs/" + id + "/withdraw", body);
      EXPECT_EQ(r.status, 200);
      EXPECT_EQ(client_protocol::decode_job_state(r.body).state, wire::JobState::done);
    }
  }
  EXPECT_EQ(cluster.rules().broken(), std::vector<std::string>{});
}

// ---- minutes of one-task jobs

// Four jobs a second are submitted, and a quarter of them is cancelled. Apart from result records,
// the contents of the state service depend on the number of unfinished jobs, not on that of all
// jobs.
TEST(ManySmallJobs, LeaveOnlyTheirResultRecords) {
  ClusterOptions options;
  options.machines = 12;
  options.team_limit = 24;
  SimulatedCluster cluster(11, options);
  SingleUser user(cluster);
  struct StoredState {
    std::size_t keys = 0, bytes = 0, result_records = 0, jobs = 0;
  };
  auto read_stored_state = [&] {
    StoredState stored;
    for (const char* prefix : {"st/", "fin/"}) {
      std::string after;
      for (bool has_more = true; has_more;) {
        const net::Result r =
            user.request(config::Endpoint{"state", 1}, "GET", wire::keys_path(prefix, after));
        const json page = json::parse(r.body);
        for (const auto& entry : page.at("entries")) {
          after = entry.at("k").get<std::string>();
          if (after.starts_with("fin/")) {
            ++stored.result_records;
            continue;
          }
          ++stored.keys;
          stored.jobs += after.starts_with("st/j/") || after.starts_with("st/w/");
          stored.bytes += after.size() + entry.at("value").dump().size();
        }
        has_more = page.at("has_next");
      }
    }
    return stored;
  };
  cluster.run_for(20);
  std::size_t submitted = 0, cancelled = 0;
  StoredState largest[2];  // the maxima in each half of the time
  for (int second = 0; second < 240; ++second) {
    for (int i = 0; i < 4; ++i) {
      const std::string id =
          cluster.users().submit(spec(i % 2 ? "red" : "blue", 1), cluster.sim().draw(1, 5));
      ++submitted;
      if (i == second % 4) {
        ++cancelled;
        cluster.sim().at(cluster.now() + cluster.sim().draw(0, 6),
                         [&cluster, id] { cluster.users().cancel(id); });
      }
      cluster.run_for(0.25);
    }
    const StoredState now = read_stored_state();
    StoredState& half = largest[second / 120];
    half.keys = std::max(half.keys, now.keys);
    half.bytes = std::max(half.bytes, now.bytes);
    half.jobs = std::max(half.jobs, now.jobs);
  }
  cluster.run_for(60);
  std::size_t ended = 0, reported_cancelled = 0;
  for (const auto& [id, job] : cluster.users().jobs()) {
    ended += job.is_end_reported();
    reported_cancelled += job.cancelled_reported_at >= 0;
  }
  EXPECT_EQ(submitted, 960u);
  EXPECT_EQ(ended, submitted);
  EXPECT_GT(reported_cancelled, cancelled / 3);
  EXPECT_LE(reported_cancelled, cancelled);
  const StoredState after = read_stored_state();
  EXPECT_EQ(after.jobs, 0u);
  EXPECT_EQ(after.result_records, submitted);
  // The state is bounded by the unfinished jobs: no more in the second half than in the first.
  EXPECT_LT(largest[1].keys, largest[0].keys * 1.5 + 10);
  EXPECT_LT(largest[1].bytes, largest[0].bytes * 1.5 + 4096);
  cluster.query_all_controllers();
  EXPECT_EQ(cluster.rules().broken(), std::vector<std::string>{});
  EXPECT_EQ(cluster.rules().restarts_after_completion(), 0u);
  EXPECT_EQ(cluster.machines().leases_lost(), 0u);
}

}  // namespace
}  // namespace shunttrail::test
