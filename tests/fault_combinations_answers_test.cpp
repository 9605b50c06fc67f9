// What users are told: close looks at all nodes, ends that are met by cancellations, transactions
// whose answer alone is lost, odd requests, minutes of one-task jobs. The library's own controllers
// in simulated time; what any user was told about a job is checked as one register
// (RuleChecker::check_answer).
#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "client_protocol/client_protocol.h"
#include "fault_combinations.h"
#include "schema/schema.h"

namespace shunttrail::test {
namespace {

using nlohmann::json;

// A user of its own beside the cluster's: one question, and its answer.
class Asker {
 public:
  explicit Asker(SimulatedCluster& cluster) : cluster_(cluster), host_(cluster.sim(), "asker") {}
  net::Result ask(const config::Endpoint& to, const char* method, const std::string& path,
                  const std::string& body = "") {
    std::optional<net::Result> answer;
    auto kept = host_.request(to, method, path, body, 5,
                              [&answer](net::Result r) { answer = std::move(r); });
    while (!answer) cluster_.run_for(0.02);
    return *answer;
  }
  net::Result ask(int node, const char* method, const std::string& path,
                  const std::string& body = "") {
    return ask(config::Endpoint{"node-" + std::to_string(node), 80}, method, path, body);
  }
  // Until it is decided: 503 says that it cannot be yet.
  net::Result submit(int node, const std::string& body) {
    for (int tries = 0; tries < 10; ++tries) {
      net::Result r = ask(node, "POST", "/v2/runs", body);
      if (r.status != 503) return r;
      cluster_.run_for(1);
    }
    return {};
  }

 private:
  SimulatedCluster& cluster_;
  simulation::Host host_;
};

// ---- histories of short jobs, with users who ask, repeat and cancel

struct Users {
  std::uint64_t histories = 1;
  std::vector<std::string> broken;
  std::size_t unfinished = 0, accepted = 0, over = 0;
  std::uint64_t restarts_after_completion = 0, looks = 0, ends = 0, lost = 0;
  bool level_settled = false;
};

using Tweak = std::function<void(SimulatedCluster&)>;

// Jobs come for a minute and a half, most of one to three short tasks; faults begin within the
// first; then it is quiet, and every accepted job has to be known everywhere, and to be over.
Users play_users(unsigned seed, const Tweak& tweak, const std::vector<std::string>& named) {
  ClusterOptions options;
  options.controllers = 2 + static_cast<int>(seed % 4);
  options.machines = 4 + static_cast<int>(seed % 5);
  SimulatedCluster cluster(seed, options);
  auto& sim = cluster.sim();
  tweak(cluster);
  cluster.run_for(12);
  std::vector<std::string> jobs;
  for (const auto& t : named_faults())
    if (std::find(named.begin(), named.end(), t.name) != named.end())
      for (int round = 0; round < 2; ++round)
        sim.at(cluster.now() + sim.draw(5, 30) + 40 * round, [&cluster, &t] {
          if (cluster.machines().size() > 0) t.begin(cluster);
        });
  for (const double until = cluster.now() + 90; cluster.now() < until;) {
    wire::JobSpec s = spec(sim.chance(0.5) ? "red" : "blue", 1 + sim.rng()() % 3);
    s.service = sim.chance(0.05);
    s.gang = !s.service && sim.chance(0.1);
    if (sim.chance(0.2) && !jobs.empty())
      if (const auto& a = jobs[sim.rng()() % jobs.size()];
          cluster.users().jobs().at(a).accepted && !cluster.users().jobs().at(a).spec.service)
        s.dependencies = {a};
    jobs.push_back(cluster.users().submit(std::move(s), sim.draw(0.5, 6)));
    if (sim.chance(0.15)) cluster.users().cancel(jobs[sim.rng()() % jobs.size()]);
    cluster.run_for(sim.draw(0.2, 4));
  }
  cluster.run_for(60);  // the longest fault is over
  Users out;
  cluster.options().late_writes = cluster.options().heartbeat_copies =
      cluster.options().lost_answers = 0;
  cluster.options().query_bursts = cluster.options().requests_at_completion =
      cluster.options().immediate_cancellations = 0;
  cluster.run_for(240);
  cluster.query_all_controllers();
  for (const auto& [id, j] : cluster.users().jobs()) {
    out.accepted += j.accepted;
    const bool over = j.done_reported_at >= 0 || j.cancelled_reported_at >= 0;
    out.over += over;
    if (j.spec.service)
      cluster.users().cancel(id);
    else
      out.unfinished += j.accepted && !over;
  }
  cluster.run_for(60);
  const net::Result level = Asker(cluster).ask(config::Endpoint{"state", 1}, "GET",
                                               std::string("/kv/") + schema::kActiveKey);
  if (level.status == 200) {
    const auto record = schema::decode_record(wire::decode_key(level.body));
    out.level_settled = record.active > 0 && record.settled();
  }
  out.broken = cluster.rules().broken();
  out.restarts_after_completion = cluster.rules().restarts_after_completion();
  out.looks = cluster.users().burst_queries();
  out.ends = cluster.users().completions_with_requests();
  out.lost = cluster.faults().answers_lost();
  return out;
}

Users expect_users(unsigned first, unsigned last, const Tweak& tweak,
                   const std::vector<std::string>& named = {}) {
  Users all;
  // SHUNTTRAIL_HISTORIES=FIRST-LAST plays these histories instead.
  if (const char* more = std::getenv("SHUNTTRAIL_HISTORIES"))
    if (std::sscanf(more, "%u-%u", &first, &last) != 2) ADD_FAILURE() << more;
  for (unsigned seed = first; seed <= last; ++seed) {
    Users u = play_users(seed, tweak, named);
    EXPECT_EQ(u.broken, std::vector<std::string>{}) << "seed " << seed << ": " << text(named);
    EXPECT_EQ(u.unfinished, 0u) << "seed " << seed << ": " << text(named);
    EXPECT_EQ(u.restarts_after_completion, 0u) << "seed " << seed << ": " << text(named);
    EXPECT_TRUE(u.level_settled) << "seed " << seed << ": " << text(named);
    all.looks += u.looks;
    all.ends += u.ends;
    all.lost += u.lost;
    all.accepted += u.accepted;
    all.over += u.over;
  }
  // Enough of them to say something.
  all.histories = last - first + 1;
  EXPECT_GT(all.accepted, all.histories * 20);
  EXPECT_GT(all.over, all.accepted / 2);
  return all;
}

struct With {
  const char* name;
  std::vector<std::string> faults;
};
void PrintTo(const With& w, std::ostream* out) { *out << w.name; }
const auto kFaults = ::testing::Values(
    With{"Nothing", {}}, With{"ALeaderThatEnds", {"leader ends"}},
    With{"ARollAndBack", {"roll and back"}}, With{"ASlowStateService", {"slow state service"}},
    With{"LateWrites", {"late writes"}}, With{"ALeaderRefusedAlone", {"leader refused alone"}},
    With{"ALeaderCutFromState", {"leader cut from state"}},
    With{"LateWritesAndALeaderThatEnds", {"late writes", "leader ends"}},
    With{"ASlowStateServiceAndAllEnd", {"slow state service", "all end"}});
const auto kName = [](const auto& i) { return std::string(i.param.name); };

// Asked at all nodes within milliseconds, submitted again, some called off at once.
class RepeatedQuestions : public ::testing::TestWithParam<With> {};
TEST_P(RepeatedQuestions, NeverGetAnOlderAnswer) {
  const Users u = expect_users(
      1, 25,
      [](SimulatedCluster& cluster) {
        cluster.options().query_bursts = 0.7;
        cluster.options().immediate_cancellations = 0.2;
      },
      GetParam().faults);
  EXPECT_GT(u.looks, u.histories * 400);
}
INSTANTIATE_TEST_SUITE_P(With, RepeatedQuestions, kFaults, kName);

// A cancellation, a question at each node, a repeated submission, at the moment of the last task's
// end.
class ConcurrentRequestsAtJobEnd : public ::testing::TestWithParam<With> {};
TEST_P(ConcurrentRequestsAtJobEnd, SeeOneOutcome) {
  const Users u = expect_users(
      101, 125,
      [](SimulatedCluster& cluster) {
        cluster.options().requests_at_completion = 0.8;
        cluster.options().query_bursts = 0.15;
      },
      GetParam().faults);
  EXPECT_GT(u.ends, u.histories * 10);
}
INSTANTIATE_TEST_SUITE_P(With, ConcurrentRequestsAtJobEnd, kFaults, kName);

// ---- lost answers, by kind of transaction

// By what it writes and preconditions: docs/safety.md, "Writes that are carried out late".
std::string kind_of(const std::string& body) {
  const wire::Transaction t = client_protocol::decode_transaction(body);
  std::map<std::string, int> sets, drops, guards;
  for (const auto& op : t.ops)
    ++(op.value ? sets : drops)[op.key.substr(0, op.key.starts_with("st/") ? 5 : 4)];
  for (const auto& [key, mod_revision] : t.preconditions) ++guards[key.substr(0, 5)];
  auto node_guard = [&](bool there) {
    return std::any_of(t.preconditions.begin(), t.preconditions.end(), [&](const auto& g) {
      return g.first.starts_with("st/n/") && (g.second != 0) == there;
    });
  };
  if (sets["fin/"] && guards["st/o/"]) return "end";
  if (sets["st/a/"] || drops["st/a/"]) return "sheet";
  if (sets["st/j/"] && drops["st/w/"]) return "ready";
  if (sets["fin/"] && drops["st/w/"]) return "waiting cancelled";
  if (sets["fin/"] && drops["st/j/"]) return "cancelled";
  if (sets["fin/"] || sets["st/j/"] || sets["st/w/"]) return "submission";
  if (sets["st/o/"]) return node_guard(true) ? "hand over" : node_guard(false) ? "take" : "raise";
  if (sets["st/n/"]) return "registration";
  if (drops["st/n/"]) return "leaving";
  if (sets["st/m/"] || drops["st/m/"]) return "roster";
  if (sets["st/l/"]) return "level";
  return "?";
}

// Of one kind alone, nearly all answers are lost for a minute and a half, while others read what it
// wrote: shards change hands, users look closely and call off.
struct Lost {
  const char* name;
  std::string kind;
  std::uint64_t least;  // so many in 25 histories
  double share = 0.7;
};
void PrintTo(const Lost& l, std::ostream* out) { *out << l.name; }
class LostAnswers : public ::testing::TestWithParam<Lost> {};
TEST_P(LostAnswers, MisleadNobody) {
  const Users u = expect_users(
      201, 225,
      [](SimulatedCluster& cluster) {
        cluster.options().lost_answers = GetParam().share;
        cluster.options().lose_answer_if = [kind = GetParam().kind](const std::string& body) {
          return kind_of(body) == kind;
        };
        cluster.options().query_bursts = 0.3;
        // What waits is rarely called off otherwise.
        cluster.options().immediate_cancellations =
            GetParam().kind == "waiting cancelled" ? 0.4 : 0.1;
        cluster.options().requests_at_completion = 0.2;
      },
      {"roll and back", "leader cut from state"});
  EXPECT_GE(u.lost * 25, GetParam().least * u.histories);
  RecordProperty("lost", static_cast<int>(u.lost));
}
INSTANTIATE_TEST_SUITE_P(
    Of, LostAnswers,
    ::testing::Values(Lost{"StartsAndResults", "sheet", 400}, Lost{"Ends", "end", 400},
                      Lost{"Cancellations", "cancelled", 50},
                      Lost{"CancellationsOfWhatWaits", "waiting cancelled", 5},
                      Lost{"Submissions", "submission", 400}, Lost{"WhatIsReady", "ready", 20},
                      Lost{"Takeovers", "take", 20}, Lost{"HandOvers", "hand over", 10},
                      Lost{"RaisedTokens", "raise", 50}, Lost{"Registrations", "registration", 50},
                      Lost{"RosterPages", "roster", 50}, Lost{"Levels", "level", 25, 1}),
    [](const auto& i) { return std::string(i.param.name); });

// A node that cannot serve leaves in other tests (levels_test.cpp): here all are of one build.
TEST(LostAnswers, EveryTransactionIsOfAKnownKind) {
  std::map<std::string, int> seen;
  for (unsigned seed = 1; seed <= 6; ++seed)
    play_users(seed,
               [&seen](SimulatedCluster& cluster) {
                 cluster.options().lost_answers = 1e-12;
                 cluster.options().lose_answer_if = [&seen](const std::string& body) {
                   ++seen[kind_of(body)];
                   return false;
                 };
               },
               {"roll and back", "leader ends"});
  for (const auto& [kind, n] : seen) RecordProperty(kind, n);
  EXPECT_FALSE(seen.contains("?"));
  EXPECT_EQ(seen.size(), 12u);
}

// A job was accepted by a node that did not know yet that what it names had ended, and every node
// had read that end before the new job's key: none told its pipelines of it then, and none read it
// again. The job stood still, and each question about it was answered 503.
TEST(JobResults, AJobThatDependsOnOneThatIsJustEndingRuns) {
  for (const int controllers : {1, 2, 3}) {
    SCOPED_TRACE(controllers);
    ClusterOptions options;
    options.controllers = controllers;
    options.state_latency_s = 0.2;
    SimulatedCluster cluster(5, options);
    auto& sim = cluster.sim();
    cluster.run_for(15);
    std::set<std::string> named;
    std::size_t waited = 0;
    sim.delivery_of = [delivery_of = sim.delivery_of, &cluster, &sim, &named,
                       &waited](const simulation::Request& r) {
      if (r.path != "/commit") return delivery_of(r);
      const std::string kind = kind_of(r.body);
      waited += r.body.find("\"needs\"") != std::string::npos;
      if (kind == "end")
        for (const auto& op : client_protocol::decode_transaction(r.body).ops) {
          if (!op.key.starts_with("fin/")) continue;
          const std::string ending = op.key.substr(4);
          if (!cluster.users().jobs().at(ending).spec.dependencies.empty() ||
              !named.insert(ending).second)
            continue;
          const int owner = std::stoi(r.from.substr(5));
          sim.at(sim.now() + sim.draw(0, 0.15), [&cluster, ending, owner] {
            wire::JobSpec s = spec("red", 1);
            s.dependencies = {ending};
            cluster.users().submit(std::move(s), 1, owner);
          });
          for (int n = 0; n < cluster.options().controllers; ++n)
            if (n != owner)
              sim.at(sim.now() + sim.draw(0.05, 0.4),
                     [&cluster, ending, n] { cluster.users().query_once(ending, n); });
        }
      return delivery_of(r);
    };
    for (int i = 0; i < 40; ++i) {
      cluster.users().submit(spec("red", 1), 1);
      cluster.run_for(2);
    }
    cluster.run_for(120);
    EXPECT_EQ(named.size(), 40u);
    EXPECT_GT(waited, 10u);  // had to: what was known to be over is not awaited
    for (const auto& [id, j] : cluster.users().jobs()) EXPECT_GE(j.done_reported_at, 0) << id;
    EXPECT_EQ(cluster.rules().broken(), std::vector<std::string>{});
  }
}

// ---- odd requests

// A whole submission, as PROTOCOL shows one, that fits the cluster.
json whole_job(const std::string& id) {
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

// What each field of the protocol's table must not be, as JSON text. Of a field that may be null
// nothing is wrong with its lack.
struct Field {
  const char* name;
  bool may_lack;
  std::vector<std::string> bad;
};
const std::vector<Field>& fields() {
  static const auto with = [](std::vector<std::string> all, const std::vector<std::string>& more) {
    all.insert(all.end(), more.begin(), more.end());
    return all;
  };
  static const std::vector<std::string> no_text = {"\"\"", "0",       "1.5", "true",
                                                   "[]",   "[\"a\"]", "{}",  "\"a\\u0000b\""};
  static const std::vector<std::string> no_word =
      with(no_text, {"\"x\"", "\"HIGH\"", "\"batch \""});
  static const std::vector<std::string> no_amount = {"-1",    "-0.001", "-1e300", "1e300",
                                                     "1e999", "NaN",    "\"4\"",  "true",
                                                     "false", "[]",     "[1]",    "{}"};
  static const std::vector<std::string> no_count = {
      "0",     "-1",     "1.5",  "0.5",  "100001", "4294967297", "18446744073709551615",
      "1e300", "\"16\"", "true", "[16]", "{}",     "-0.0"};
  static const std::vector<std::string> no_flag = {"0",  "1",  "\"true\"", "\"\"",
                                                   "[]", "{}", "[true]"};
  static const std::vector<Field> all = {
      {"uid", false,
       with(no_text, {"\"run-\"", "\"job-1\"", "\"run-1/2\"", "\"run-1a\"", "\"RUN-1\"",
                      "\" run-1\"", "\"run-1 \"", "\"run--1\"", "\"run-+1\"", "\"run-1.5\"",
                      "\"run-" + std::string(300, '1') + "\""})},
      {"consist", false, no_text},
      {"crew", false, no_text},
      {"haul", false, no_word},
      {"precedence", false, no_word},
      {"cars", false, no_count},
      {"vcpus", false, no_amount},
      {"cards", false, no_amount},
      {"mem_gb", false, no_amount},
      {"manifest", false, no_text},
      {"size_gb", false, no_amount},
      {"stock_types",
       true,
       {"\"t4\"", "4", "true", "false", "{}", "{\"t4\":1}", "[4]", "[null]", "[[]]", "[\"\"]",
        "[\"t4\",4]"}},
      {"yard", true, no_text},
      {"same_place", false, no_flag},
      {"scatter", false, no_flag},
      {"borrowed_stock", false, no_flag},
      {"run_s", false, no_amount},
      {"milepost_s", false, no_amount},
      {"couple_s", false, no_amount},
      {"due_s", true, no_amount}};
  return all;
}

// The body with this text in the field's place.
std::string body_with(const json& job, const std::string& field, const std::string& value) {
  std::string out = "{";
  for (auto it = job.begin(); it != job.end(); ++it)
    out += (out.size() > 1 ? "," : "") + json(it.key()).dump() + ":" +
           (it.key() == field ? value : it.value().dump());
  return out + "}";
}

struct OddRequests : ::testing::Test {
  SimulatedCluster cluster{7, options()};
  Asker user{cluster};
  int next = 0;
  static ClusterOptions options() {
    ClusterOptions s;
    wire::MachineType lone{"u4", s.machine_cpus, 0, 64, 0.4, 0.1, 3, {"a"}};
    s.more_types = {{lone, 2}};
    return s;
  }
  OddRequests() { cluster.run_for(12); }
  std::string fresh() { return "run-" + std::to_string(700000 + next++); }
  int node() { return next % cluster.options().controllers; }
  // Refused so, and unknown at another node afterwards.
  void refused(int status, const std::string& id, const std::string& body) {
    EXPECT_EQ(user.submit(node(), body).status, status) << body;
    if (!id.empty()) {
      EXPECT_EQ(user.ask((node() + 1) % 3, "GET", "/v2/runs/" + id).status, 404) << body;
    }
  }
  void accepted(const std::string& body) {
    EXPECT_EQ(user.submit(node(), body).status, 201) << body;
  }
};

TEST_F(OddRequests, AFieldThatIsMissingOrWrongIsMalformed) {
  for (const Field& f : fields()) {
    const bool named = std::string(f.name) != "uid";
    auto id = [&] { return named ? fresh() : ""; };
    if (!f.may_lack) {
      std::string i = fresh();
      json lacking = whole_job(i);
      lacking.erase(f.name);
      refused(400, named ? i : "", lacking.dump());
      i = id();
      refused(400, i, body_with(whole_job(i), f.name, "null"));
    }
    for (const auto& bad : f.bad) {
      const std::string i = id();
      refused(400, i, body_with(whole_job(i), f.name, bad));
    }
  }
  for (const char* body :
       {"", "null", "3", "\"run-1\"", "[]", "{", "{}", "[{}]", "{\"uid\":\"run-1\"}", "\xff"})
    refused(400, "", body);
  EXPECT_EQ(cluster.rules().starts(), 0u);
}

TEST_F(OddRequests, WhatMayBeNullMayBeOmittedAndWhatIsUnknownIsIgnored) {
  for (const Field& f : fields())
    if (f.may_lack) {
      json lacking = whole_job(fresh());
      lacking.erase(f.name);
      accepted(lacking.dump());
      accepted(body_with(whole_job(fresh()), f.name, "null"));
    }
  json more = whole_job(fresh());
  more["horn"] = {1, nullptr, {{"a", "b"}}};
  more["cars "] = -1;
  accepted(more.dump());
  json least = whole_job(fresh());
  for (const char* f : {"cards", "run_s", "milepost_s", "couple_s", "due_s", "size_gb"})
    least[f] = 0;
  least["stock_types"] = {"t4", "t4", "none"};
  least["vcpus"] = 4;  // a whole machine
  least["mem_gb"] = 64;
  accepted(least.dump());
}

TEST_F(OddRequests, WhatCanNeverRunIsRefused) {
  auto changed = [&](const std::string& id, const json& change) {
    json j = whole_job(id);
    j.update(change);
    return j.dump();
  };
  const std::vector<json> never = {
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
  for (const json& change : never) {
    const std::string id = fresh();
    refused(422, id, changed(id, change));
  }
  EXPECT_EQ(cluster.rules().starts(), 0u);
  // Their neighbours can run.
  const std::vector<json> can = {
      {{"vcpus", 4}},
      {{"mem_gb", 64}},
      {{"stock_types", {"none", "u4"}}},
      {{"yard", "a"}, {"stock_types", {"u4"}}},
      {{"cars", 100}},  // an array: one task within the limit
      {{"haul", "service"}, {"cars", 10}, {"vcpus", 1.6}},
      {{"haul", "group"}, {"cars", 10}, {"vcpus", 1.6}},
      {{"same_place", true}, {"scatter", true}},  // an array's tasks may run one after the other
      {{"yard", "a"}, {"scatter", true}},
      {{"haul", "group"}, {"cars", 1}, {"same_place", true}, {"scatter", true}},
      {{"haul", "service"}, {"cars", 1}, {"yard", "a"}, {"scatter", true}},
      {{"haul", "group"}, {"cars", 2}, {"scatter", true}},
      {{"haul", "group"}, {"cars", 2}, {"same_place", true}, {"stock_types", {"u4"}}},
  };
  for (const json& change : can) accepted(changed(fresh(), change));
}

// Whatever comes under the name of an accepted job is a retry: at any node, however soon or late.
TEST_F(OddRequests, AnyBodyUnderAKnownNameGetsTheJobsState) {
  std::uint64_t asked = 0;
  for (int i = 0; i < 12; ++i) {
    // Nodes that have not heard of it yet, and can't ask.
    if (i > 5) cluster.faults().cut(1, FaultInjector::state, 4);
    if (i > 8) cluster.faults().refuse(2, 4);
    const std::string id = cluster.users().submit(spec("red", 1 + i % 3), 1, 0);
    while (cluster.users().jobs().at(id).first_reported_at < 0) cluster.run_for(0.005);
    for (int n = 0; n < 12; ++n, ++asked)
      cluster.users().submit_once(id, n % 3, cluster.users().altered_body(id));
    if (i % 3 == 0) cluster.users().cancel(id);
    for (int n = 0; n < 12; ++n, ++asked) {
      cluster.run_for(0.2);
      cluster.users().submit_once(id, n % 3, cluster.users().altered_body(id));
    }
  }
  cluster.run_for(120);
  for (const auto& [id, j] : cluster.users().jobs()) {
    EXPECT_TRUE(j.done_reported_at >= 0 || j.cancelled_reported_at >= 0) << id;
    const json answer = json::parse(user.submit(node(), cluster.users().altered_body(id)).body);
    EXPECT_EQ(answer.at("uid"), id);
    EXPECT_EQ(answer.at("signal"), j.done_reported_at >= 0 ? "done" : "cancelled");
  }
  EXPECT_EQ(cluster.rules().broken(), std::vector<std::string>{});
}

// A cancellation is answered by an outcome, also one that comes beside the submission itself.
TEST_F(OddRequests, ACancellationBesideTheSubmission) {
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
  for (const auto& [id, j] : cluster.users().jobs()) {
    cancelled += j.cancelled_reported_at >= 0;
    done += j.done_reported_at >= 0;
  }
  EXPECT_EQ(cancelled + done, 150u);
  EXPECT_GT(cancelled, 15u);
  EXPECT_GT(done, 15u);
  EXPECT_EQ(cluster.rules().broken(), std::vector<std::string>{});
}

// Questions about jobs that nobody submitted; cancellations of them, and of what is done.
TEST_F(OddRequests, NobodysJobsAreUnknownAndADoneOneStaysDone) {
  const std::string id = cluster.users().submit(spec("red", 2), 1);
  cluster.run_for(60);
  ASSERT_GE(cluster.users().jobs().at(id).done_reported_at, 0);
  for (int n = 0; n < 3; ++n) {
    for (const char* path :
         {"/v2/runs/run-9", "/v2/runs/run-", "/v2/runs/", "/v2/runs/x", "/v2/runs/run-900000/2"}) {
      EXPECT_EQ(user.ask(n, "GET", path).status, 404) << path;
      EXPECT_EQ(user.ask(n, "POST", std::string(path) + "/withdraw", "{}").status, 404) << path;
    }
    for (const char* body : {"{}", "", "[]", "no JSON"}) {
      const net::Result r = user.ask(n, "POST", "/v2/runs/" + id + "/withdraw", body);
      EXPECT_EQ(r.status, 200);
      EXPECT_EQ(client_protocol::decode_job_state(r.body).state, wire::JobState::done);
    }
  }
  EXPECT_EQ(cluster.rules().broken(), std::vector<std::string>{});
}

// ---- minutes of one-task jobs

// Four a second, a quarter of them called off. What the state service holds beside the final
// records depends on what is unfinished, not on what has been.
TEST(ManySmallJobs, LeaveNothingButTheirResultRecords) {
  ClusterOptions options;
  options.machines = 12;
  options.team_limit = 24;
  SimulatedCluster cluster(11, options);
  Asker user(cluster);
  struct Held {
    std::size_t keys = 0, bytes = 0, finals = 0, jobs = 0;
  };
  auto held = [&] {
    Held h;
    for (const char* prefix : {"st/", "fin/"}) {
      std::string after;
      for (bool more = true; more;) {
        const net::Result r =
            user.ask(config::Endpoint{"state", 1}, "GET", wire::keys_path(prefix, after));
        const json page = json::parse(r.body);
        for (const auto& e : page.at("entries")) {
          after = e.at("k").get<std::string>();
          if (after.starts_with("fin/")) {
            ++h.finals;
            continue;
          }
          ++h.keys;
          h.jobs += after.starts_with("st/j/") || after.starts_with("st/w/");
          h.bytes += after.size() + e.at("value").dump().size();
        }
        more = page.at("has_next");
      }
    }
    return h;
  };
  cluster.run_for(20);
  std::size_t submitted = 0, cancelled = 0;
  Held most[2];  // in each half of the time
  for (int s = 0; s < 240; ++s) {
    for (int i = 0; i < 4; ++i) {
      const std::string id =
          cluster.users().submit(spec(i % 2 ? "red" : "blue", 1), cluster.sim().draw(1, 5));
      ++submitted;
      if (i == s % 4) {
        ++cancelled;
        cluster.sim().at(cluster.now() + cluster.sim().draw(0, 6),
                         [&cluster, id] { cluster.users().cancel(id); });
      }
      cluster.run_for(0.25);
    }
    const Held now = held();
    Held& m = most[s / 120];
    m.keys = std::max(m.keys, now.keys);
    m.bytes = std::max(m.bytes, now.bytes);
    m.jobs = std::max(m.jobs, now.jobs);
  }
  cluster.run_for(60);
  std::size_t over = 0, said_cancelled = 0;
  for (const auto& [id, j] : cluster.users().jobs()) {
    over += j.done_reported_at >= 0 || j.cancelled_reported_at >= 0;
    said_cancelled += j.cancelled_reported_at >= 0;
  }
  EXPECT_EQ(submitted, 960u);
  EXPECT_EQ(over, submitted);
  EXPECT_GT(said_cancelled, cancelled / 3);
  EXPECT_LE(said_cancelled, cancelled);
  const Held after = held();
  EXPECT_EQ(after.jobs, 0u);
  EXPECT_EQ(after.finals, submitted);
  // Bounded by what is unfinished: no more in the second half than in the first.
  EXPECT_LT(most[1].keys, most[0].keys * 1.5 + 10);
  EXPECT_LT(most[1].bytes, most[0].bytes * 1.5 + 4096);
  cluster.query_all_controllers();
  EXPECT_EQ(cluster.rules().broken(), std::vector<std::string>{});
  EXPECT_EQ(cluster.rules().restarts_after_completion(), 0u);
  EXPECT_EQ(cluster.machines().leases_lost(), 0u);
}

}  // namespace
}  // namespace shunttrail::test
