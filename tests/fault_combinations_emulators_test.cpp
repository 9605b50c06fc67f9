// The emulators of the worker and the state service on their own: checkpoints, hangs, leases, rate
// limits and watches.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "client_protocol/client_protocol.h"
#include "emulators/state.h"
#include "emulators/worker.h"
#include "simulation/simulation.h"
#include "wire/codec.h"

namespace shunttrail::test {
namespace {

using emulators::WorkerEmulator;
using simulation::Host;
using simulation::Simulation;
using wire::TaskState;

// One worker and a controller, which answers heartbeats 200 without commands while
// `answers_heartbeats` is set and sends direct commands.
struct WorkerBench {
  Simulation sim;
  Host node{sim, "node-0"}, machine{sim, "w-1"};
  bool answers_heartbeats = true;
  std::vector<TaskState> states;  // of all tasks, in the order of the changes
  WorkerEmulator::Work work{1, 0.5, 100, 10, 6};
  std::unique_ptr<net::Server> server;
  std::unique_ptr<WorkerEmulator> worker;
  std::vector<net::Network::Handle> handles;

  explicit WorkerBench(unsigned seed = 1) : sim(seed) {
    server = std::make_unique<net::Server>(node.loop(), config::Endpoint{"node-0", 80}, 64 * 1024,
                                           [this](const net::ExchangePtr& ex) {
                                             if (answers_heartbeats)
                                               ex->send({200, R"({"staff":1,"orders":[]})", 0});
                                           });
    WorkerEmulator::Settings s;
    s.name = "m-1";
    s.at = {"w-1", 9};
    s.heartbeat_s = 2;
    s.lease_s = 15;
    s.nodes = {{"node-0", {"node-0", 80}}};
    machine.shuffle_after_freezes();
    worker = std::make_unique<WorkerEmulator>(
        machine.loop(), s, [this](const wire::TaskId&) { return work; }, 1,
        WorkerEmulator::Observer{[this](const WorkerEmulator&, const WorkerEmulator::Task& t,
                                        TaskState) { states.push_back(t.state); },
                                 [](const WorkerEmulator&, const WorkerEmulator::Task&) {}});
    sim.run_until(1);
  }
  void send_command(const char* operation, double grace_s = 0, std::uint64_t incarnation = 1,
                    int task = 0) {
    const std::string body = R"({"staff":1,"shift":)" + std::to_string(incarnation) +
                             R"(,"orders":[{"order":")" + operation + R"(","car":"run-100000/)" +
                             std::to_string(task) + R"(","departure":1,"brake_s":)" +
                             std::to_string(grace_s) + "}]}";
    handles.push_back(node.request({"w-1", 9}, "POST", "/orders", body, 60, [](net::Result) {}));
  }
  void run_for(double seconds) { sim.run_until(sim.now() + seconds); }
  TaskState state() const {
    return worker->tasks().empty() ? TaskState::exited : worker->tasks().front().state;
  }
};

TEST(WorkerEmulator, ATaskStoppedWithEnoughGraceSavesItsProgress) {
  WorkerBench bench;
  bench.send_command("start");
  bench.run_for(2);
  ASSERT_EQ(bench.state(), TaskState::running);
  bench.send_command("halt", 6);
  bench.run_for(5.9);
  EXPECT_EQ(bench.state(), TaskState::saving);
  bench.run_for(0.2);
  ASSERT_EQ(bench.state(), TaskState::exited);
  EXPECT_TRUE(bench.worker->tasks().front().progress_saved);
  EXPECT_EQ(bench.worker->tasks().front().exit_reason, wire::ExitReason::stopped);
}

TEST(WorkerEmulator, ATaskStoppedWithoutGraceOrCheckpointsEndsAtOnce) {
  for (const bool checkpoints : {true, false}) {
    WorkerBench bench;
    bench.work.checkpoint_s = checkpoints ? 10 : 0;
    bench.send_command("start");
    bench.run_for(2);
    bench.send_command("halt", checkpoints ? 5.9 : 60);
    bench.run_for(0.1);
    ASSERT_EQ(bench.state(), TaskState::exited);
    EXPECT_FALSE(bench.worker->tasks().front().progress_saved);
  }
}

// Another stop with a grace period does not extend the save; one without ends it.
TEST(WorkerEmulator, ASavingTaskIsEndedOnlyByAStopWithoutGrace) {
  for (const double second_grace_s : {30.0, 1.0, 0.0}) {
    WorkerBench bench;
    bench.send_command("start");
    bench.run_for(2);
    bench.send_command("halt", 20);
    bench.run_for(4);
    bench.send_command("halt", second_grace_s);
    bench.run_for(0.1);
    EXPECT_EQ(bench.state(), second_grace_s > 0 ? TaskState::saving : TaskState::exited)
        << second_grace_s;
    bench.run_for(2);
    ASSERT_EQ(bench.state(), TaskState::exited) << second_grace_s;
    EXPECT_EQ(bench.worker->tasks().front().progress_saved, second_grace_s > 0) << second_grace_s;
  }
}

// When a machine resumes, the commands that came during the hang, its due tasks, its lease timer
// and its heartbeat are handled in any order. No task runs after the lease's expiry, and no start
// command for the old incarnation is accepted.
TEST(WorkerEmulator, NoTaskSurvivesAnExpiredLease) {
  for (unsigned seed = 1; seed <= 40; ++seed) {
    WorkerBench bench(seed);
    bench.work.run_s = 4;
    bench.send_command("start");
    bench.run_for(2);
    bench.states.clear();
    bench.machine.freeze(bench.sim.now() + 20);
    bench.run_for(1);
    bench.send_command("start", 0, 1, 1);
    bench.run_for(18.5);
    EXPECT_TRUE(bench.worker->tasks().empty());
    bench.run_for(1);
    EXPECT_EQ(bench.worker->incarnation(), 2u);
    EXPECT_TRUE(bench.worker->tasks().empty());
    EXPECT_EQ(bench.states, std::vector<TaskState>{}) << seed;
  }
}

TEST(WorkerEmulator, AMachineThatResumesWithinItsLeaseHandlesEventsInAnyOrder) {
  std::set<std::vector<TaskState>> orders;
  for (unsigned seed = 1; seed <= 40; ++seed) {
    WorkerBench bench(seed);
    bench.work.run_s = 4;
    bench.work.checkpoint_s = 0;
    bench.send_command("start");
    bench.run_for(2);
    bench.states.clear();
    bench.machine.freeze(bench.sim.now() + 8);
    bench.run_for(1);
    bench.send_command("halt");
    bench.send_command("start", 0, 1, 1);
    bench.run_for(7.2);
    EXPECT_EQ(bench.worker->incarnation(), 1u);
    EXPECT_EQ(bench.worker->tasks().size(), 2u);
    orders.insert(bench.states);
  }
  EXPECT_GT(orders.size(), 1u);
}

// Answers that arrive after the heartbeat's time-out are dropped, so the lease expires.
TEST(WorkerEmulator, AnAnswerDelayedByAHangDoesNotRenewTheLease) {
  for (unsigned seed = 1; seed <= 40; ++seed) {
    WorkerBench bench(seed);
    bench.run_for(1.3);  // in some histories a heartbeat is in transit at this time
    bench.answers_heartbeats = true;
    bench.machine.freeze(bench.sim.now() + 14);
    bench.run_for(0.5);
    bench.answers_heartbeats = false;
    bench.run_for(15);
    EXPECT_EQ(bench.worker->incarnation(), 2u) << seed;
  }
}

TEST(StateServiceEmulator, RequestsAboveTheRateLimitsAreRefused) {
  Simulation sim(1);
  Host service(sim, "state"), client(sim, "node-0");
  emulators::StateServiceEmulator state(service.loop(), {"state", 1}, "");
  state.set_rate_limits(10, 4);
  std::vector<int> gets, writes;
  std::vector<net::Network::Handle> handles;
  auto request = [&](const char* method, const char* path, const std::string& body,
                     std::vector<int>& to) {
    handles.push_back(client.request({"state", 1}, method, path, body, 5,
                                     [&to](net::Result r) { to.push_back(r.status); }));
    sim.run_until(sim.now() + 0.01);
  };
  // A burst holds one second's worth. Transactions with failed preconditions count too.
  const std::string write =
      R"({"guards":[{"k":"a","stamp":7}],"writes":[{"drop":"a"},{"drop":"b"}]})";
  for (int i = 0; i < 3; ++i) request("POST", "/commit", write, writes);
  EXPECT_EQ(writes, (std::vector<int>{409, 409, 429}));
  for (int i = 0; i < 9; ++i) request("GET", "/kv/a", "", gets);
  EXPECT_EQ(std::count(gets.begin(), gets.end(), 404), 8);
  EXPECT_EQ(gets.back(), 429);
  sim.run_until(sim.now() + 0.6);
  request("POST", "/commit", write, writes);
  EXPECT_EQ(writes.back(), 409);
}

// Guards against a watch that times out in the same tick in which a lease expires and is answered
// with the new revision but without the event. Events were sent one turn later than time-outs were
// handled, so the client never saw the deletion. In a simulated cluster a leader's node key was
// deleted at revision 16 while another controller's cache had revision 16 and still the key, so
// that nobody took the shard until the leader itself was back (seen in
// FaultCombinations.ALeaderFrozenAsItLearnsOfItsSuccessorRenewsNoLease with other seeds: 3 of 120).
TEST(StateServiceEmulator, AWatchThatTimesOutAsALeaseExpiresReportsTheDeletion) {
  int watches_with_event = 0;
  for (int block_ms = 600; block_ms <= 1400; block_ms += 10) {
    SCOPED_TRACE("block_ms " + std::to_string(block_ms));
    Simulation sim(1);
    Host service(sim, "state"), client(sim, "node-0");
    emulators::StateServiceEmulator state(service.loop(), {"state", 1}, "");
    std::vector<net::Network::Handle> handles;
    auto request = [&](const char* method, const std::string& path, const std::string& body,
                       std::function<void(net::Result)> then) {
      handles.push_back(client.request({"state", 1}, method, path, body, 5, std::move(then)));
      sim.run_until(sim.now() + 0.01);
    };
    request("POST", "/holds", R"({"life_ms":1000})", [](const net::Result&) {});
    request("POST", "/commit", R"({"guards":[],"writes":[{"set":"st/n/a","value":{},"block":1}]})",
            [](const net::Result& r) { EXPECT_EQ(r.status, 200); });
    std::optional<wire::WatchAnswer> answer;
    request("GET", "/watch?starts=st/&after=1&block_ms=" + std::to_string(block_ms), "",
            [&](const net::Result& r) { answer = wire::decode_watch(r.body); });
    sim.run_until(sim.now() + 3);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->events.size(), answer->revision > 1 ? 1u : 0u);
    watches_with_event += static_cast<int>(answer->events.size());
  }
  EXPECT_GT(watches_with_event, 20);
}

}  // namespace
}  // namespace shunttrail::test
