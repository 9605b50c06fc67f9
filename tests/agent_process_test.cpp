// Tests of the agent with real agent, supervisor and task processes, which are killed, suspended,
// disconnected and restarted. No test depends on durations, except for leases that have to expire.
#include <sys/resource.h>

#include "agent_rig.h"
#include "artifacts/archive.h"

namespace shunttrail::test {
namespace {

class KillPoint : public testing::TestWithParam<const char*> {};

// An agent that is killed at any durable step and restarted loses no task, runs none twice and
// reports one end.
TEST_P(KillPoint, RestartedAgentRunsTheTaskOnceAndReportsOneEnd) {
  Rig rig;
  std::string id = rig.add("echo out; sleep 0.3");
  rig.start(GetParam());
  bool killed = false;
  ASSERT_TRUE(rig.until([&] {
    if (rig.agent_ended()) {
      killed = true;
      rig.start();
    }
    // The acknowledgement is journaled too, so the test waits for a heartbeat without the task.
    return rig.tasks[id].done > 0 && killed && rig.last_heartbeat.tasks.empty();
  })) << artifacts::read_file_or_empty(rig.dir / "agent.log");
  EXPECT_EQ(rig.tasks[id].done, 1);
  EXPECT_EQ(rig.tasks[id].lost, 0);
  EXPECT_EQ(rig.last_heartbeat.incarnation, 1u);
  EXPECT_EQ(rig.logged("begin"), 1);
  EXPECT_EQ(rig.logged("end"), 1);
  EXPECT_EQ(rig.logged("overlap"), 0);
  // The journal says launched, but the agent was killed before it started the supervisor: that
  // attempt ends with an error.
  EXPECT_EQ(rig.tasks[id].failed, std::string(GetParam()) == "launched.after" ? 1 : 0);
}
INSTANTIATE_TEST_SUITE_P(EveryStep, KillPoint,
                         testing::Values("begin.before", "begin.after", "seq.before", "seq.after",
                                         "orders.before", "orders.after", "described.before",
                                         "described.after", "launched.before", "launched.after",
                                         "ended.before", "ended.after", "exited.before",
                                         "exited.after", "orders.before:2", "orders.after:2"));

TEST(AgentProcess, TaskContinuesWhileTheAgentIsDead) {
  Rig rig;
  std::string id = rig.add("until [ -e " + (rig.dir / "go").string() + " ]; do sleep 0.05; done");
  rig.start();
  ASSERT_TRUE(rig.until_logged("begin"));
  rig.kill_agent();
  std::ofstream(rig.dir / "go");  // the task ends while no agent is running
  ASSERT_TRUE(rig.until_logged("end"));
  rig.start();
  ASSERT_TRUE(rig.until_done(id));
  EXPECT_EQ(rig.tasks[id].attempt, 1u);
  EXPECT_EQ(rig.logged("begin"), 1);
}

// Regression test: while the agent is dead, only the supervisor can enforce the end of the lease.
TEST(AgentProcess, LeaseExpiryEndsTasksOfADeadAgentAndBeginsTheNextIncarnation) {
  Rig rig(3);
  std::string id = rig.add("sleep 1000");
  rig.start();
  ASSERT_TRUE(rig.until_logged("begin"));
  ASSERT_TRUE(rig.until([&] { return rig.last_heartbeat.tasks.size() == 1; }));
  rig.kill_agent();
  const fs::path task = rig.dir / "m" / "tasks" / (id + ".0.1");
  ASSERT_TRUE(rig.until([&] { return fs::exists(task / "end.json"); }));
  EXPECT_TRUE(rig.nothing_left_of(id));
  rig.start();
  ASSERT_TRUE(rig.until([&] { return rig.tasks[id].lost == 1; }));
  EXPECT_EQ(rig.last_heartbeat.incarnation, 2u);
  EXPECT_EQ(rig.logged("overlap"), 0);
}

TEST(AgentProcess, AgentHungBeyondItsLeaseBeginsTheNextIncarnation) {
  Rig rig(3);
  std::string id = rig.add("sleep 1000");
  rig.start();
  ASSERT_TRUE(rig.until_logged("begin"));
  ASSERT_TRUE(rig.until([&] { return rig.last_heartbeat.tasks.size() == 1; }));
  ::kill(rig.pid, SIGSTOP);
  const fs::path task = rig.dir / "m" / "tasks" / (id + ".0.1");
  ASSERT_TRUE(rig.until([&] { return fs::exists(task / "end.json"); }));
  int heartbeats_before = rig.heartbeats;
  ::kill(rig.pid, SIGCONT);
  ASSERT_TRUE(rig.until(
      [&] { return rig.heartbeats > heartbeats_before && rig.last_heartbeat.incarnation == 2; }));
  ASSERT_TRUE(rig.until([&] { return rig.logged("begin") == 2; }));
  EXPECT_EQ(rig.logged("overlap"), 0);
}

// Regression test: the next incarnation began while a task of the previous one was still running.
// The lease had expired, but the task's supervisor was suspended and did not enforce it.
TEST(AgentProcess, IncarnationBeginsOnlyAfterTasksOfThePreviousOneHaveEnded) {
  Rig rig(3);
  std::string id = rig.add("sleep 1000");
  rig.start();
  ASSERT_TRUE(rig.until_logged("begin"));
  ASSERT_TRUE(rig.until([&] { return rig.last_heartbeat.tasks.size() == 1; }));
  auto supervisor = nlohmann::json::parse(
      artifacts::read_file_or_empty(rig.dir / "m" / "tasks" / (id + ".0.1") / "shepherd.json"));
  ::kill(supervisor["pid"].get<pid_t>(), SIGSTOP);
  rig.kill_agent();
  double until = agent::LeaseFile(rig.dir / "m" / "lease", agent::LeaseFile::Open::read).until();
  ASSERT_TRUE(rig.until([&] { return agent::boot_now() > until; }));
  EXPECT_FALSE(rig.nothing_left_of(id));
  rig.tasks[id].wanted = false;
  rig.start();
  ASSERT_TRUE(rig.until([&] { return rig.last_heartbeat.incarnation == 2; }));
  EXPECT_TRUE(rig.nothing_left_of(id));
}

TEST(AgentProcess, UnusableDirectoryIsLoggedAndEndsTheAgent) {
  Rig rig;
  std::ofstream(rig.dir / "m") << "a file";
  rig.start();
  ASSERT_TRUE(rig.until([&] { return rig.agent_ended(); }));
  EXPECT_NE(artifacts::read_file_or_empty(rig.dir / "agent.log").find("agent stopped by an error"),
            std::string::npos);
}

// If the supervisor is killed, the task's main process dies with it, and the agent kills the
// processes that the task had moved to POSIX sessions of their own.
TEST(AgentProcess, KilledSupervisorLeavesNoProcessOfItsTask) {
  Rig rig;
  std::string id = rig.add("[ $SHUNT_ATTEMPT = 2 ] && exit 0; setsid sleep 1000 & echo forked >> " +
                           rig.log().string() + "; sleep 1000");
  rig.start();
  ASSERT_TRUE(rig.until_logged("forked"));
  auto supervisor = nlohmann::json::parse(
      artifacts::read_file_or_empty(rig.dir / "m" / "tasks" / (id + ".0.1") / "shepherd.json"));
  ::kill(supervisor["pid"].get<pid_t>(), SIGKILL);
  ASSERT_TRUE(rig.until_done(id));
  EXPECT_EQ(rig.tasks[id].failed, 1);
  EXPECT_EQ(rig.logged("overlap"), 0);  // the detached process held the lock, too
}

// The task ignores signals, and the process that it has started is no longer its child.
TEST(AgentProcess, StopKillsATaskThatIgnoresSignalsAndItsDetachedProcesses) {
  Rig rig;
  std::string id = rig.add(
      "trap '' TERM INT HUP USR1; (setsid bash -c 'trap \"\" TERM; sleep 1000' &); echo forked "
      ">> " +
          rig.log().string() + "; while true; do sleep 1; done",
      5);
  rig.grace_s = 1;
  rig.start();
  ASSERT_TRUE(rig.until_logged("forked"));
  rig.tasks[id].cancelled = true;
  ASSERT_TRUE(rig.until([&] { return rig.tasks[id].failed == 1; }));
  EXPECT_EQ(rig.tasks[id].exit_reason, std::to_string(static_cast<int>(wire::ExitReason::stopped)));
  EXPECT_TRUE(rig.nothing_left_of(id));
}

// The agent does not wait for a suspended supervisor: a cancelled task has to end in time.
TEST(AgentProcess, StopKillsASuspendedSupervisorAndItsTask) {
  Rig rig;
  std::string id = rig.add("sleep 1000");
  rig.start();
  ASSERT_TRUE(rig.until_logged("begin"));
  auto supervisor = nlohmann::json::parse(
      artifacts::read_file_or_empty(rig.dir / "m" / "tasks" / (id + ".0.1") / "shepherd.json"));
  ::kill(supervisor["pid"].get<pid_t>(), SIGSTOP);
  rig.tasks[id].cancelled = true;
  ASSERT_TRUE(rig.until([&] { return rig.tasks[id].failed == 1; }));
  EXPECT_TRUE(rig.nothing_left_of(id));
}

TEST(AgentProcess, StoppedTaskSavesACheckpointAndTheNextAttemptRestoresIt) {
  Rig rig;
  std::string id =
      rig.add("n=$(cat $SHUNT_SAVE_DIR/last/n 2>/dev/null || echo 0); echo from $n >> " +
                  rig.log().string() +
                  "; [ $n = 7 ] && exit 0; save() { mkdir $SHUNT_SAVE_DIR/next; echo 7 > "
                  "$SHUNT_SAVE_DIR/next/n; echo saved >&3; }; trap save USR1; echo ready >> " +
                  rig.log().string() + "; while true; do sleep 0.05; done",
              30);
  rig.start();
  ASSERT_TRUE(rig.until_logged("ready"));
  rig.tasks[id].cancelled = true;
  ASSERT_TRUE(rig.until([&] { return rig.tasks[id].failed == 1; }));
  EXPECT_EQ(rig.tasks[id].exit_reason,
            std::to_string(static_cast<int>(wire::ExitReason::stopped)) + "kept");
  rig.tasks[id].cancelled = false;
  ASSERT_TRUE(rig.until_done(id)) << artifacts::read_file_or_empty(rig.dir / "agent.log");
  EXPECT_EQ(rig.logged("from 0"), 1);
  EXPECT_EQ(rig.logged("from 7"), 1);
}

// Checkpoints are uploaded while the task runs, so the loss of the machine does not lose them.
TEST(AgentProcess, TaskOfALostMachineContinuesFromItsLastCheckpoint) {
  Rig rig;
  std::string id =
      rig.add("n=$(cat $SHUNT_SAVE_DIR/last/n 2>/dev/null || echo 0); echo from $n >> " +
                  rig.log().string() +
                  "; while [ $n -lt 3 ]; do n=$((n+1)); mkdir $SHUNT_SAVE_DIR/next; echo $n > "
                  "$SHUNT_SAVE_DIR/next/n; echo >&3; while [ -e $SHUNT_SAVE_DIR/next ]; do sleep "
                  "0.01; done; "
                  "[ $n = 2 ] && [ $SHUNT_ATTEMPT = 1 ] && sleep 1000; done; true",
              1);
  rig.start();
  ASSERT_TRUE(rig.until([&] {
    auto checkpoint =
        artifacts::Store(rig.dir / "depot").get_name(client_protocol::checkpoint_name({id, 0}));
    return checkpoint && checkpoint->part == 2;
  })) << artifacts::read_file_or_empty(rig.dir / "agent.log");
  rig.kill_agent();
  ASSERT_TRUE(agent::kill_all_tasks({rig.dir / "m"}));  // as after a power failure
  fs::remove_all(rig.dir / "m");
  rig.tasks[id].attempt = 2;
  rig.tasks[id].sent = false;
  rig.start();
  ASSERT_TRUE(rig.until_done(id)) << artifacts::read_file_or_empty(rig.dir / "agent.log");
  EXPECT_EQ(rig.logged("from 2"), 1);
}

// Regression test: the attempt had no end.json, and the restarted agent looked for it forever.
TEST(AgentProcess, CheckpointIsUploadedAfterSupervisorAndAgentWereKilled) {
  Rig rig;
  std::string id = rig.add(
      "[ $SHUNT_ATTEMPT = 2 ] && { echo from $(cat $SHUNT_SAVE_DIR/last/n) >> " +
          rig.log().string() + "; exit 0; }; until [ -e " + (rig.dir / "go").string() +
          " ]; do sleep 0.05; done; mkdir $SHUNT_SAVE_DIR/next; echo 1 > $SHUNT_SAVE_DIR/next/n; "
          "echo >&3; while [ -e $SHUNT_SAVE_DIR/next ]; do sleep 0.01; done; echo saved >> " +
          rig.log().string() + "; sleep 1000",
      30);
  rig.start();
  ASSERT_TRUE(rig.until_logged("begin"));
  rig.close_artifact_store();
  std::ofstream(rig.dir / "go");
  ASSERT_TRUE(rig.until_logged("saved"));
  auto supervisor = nlohmann::json::parse(
      artifacts::read_file_or_empty(rig.dir / "m" / "tasks" / (id + ".0.1") / "shepherd.json"));
  ::kill(supervisor["pid"].get<pid_t>(), SIGKILL);
  ASSERT_TRUE(rig.until([&] {
    return artifacts::read_file_or_empty(rig.dir / "agent.log").find("task ended") !=
           std::string::npos;
  }));
  rig.kill_agent();
  rig.start();
  rig.open_artifact_store();
  ASSERT_TRUE(rig.until_done(id)) << artifacts::read_file_or_empty(rig.dir / "agent.log");
  EXPECT_EQ(rig.tasks[id].failed, 1);
  EXPECT_EQ(rig.logged("from 1"), 1);
}

// Regression test: after a checkpoint could not be packed, the attempt kept waiting for an answer,
// and its end was never reported.
TEST(AgentProcess, CheckpointThatCannotBePackedDoesNotDelayTheEnd) {
  Rig rig;
  std::string id = rig.add("until [ -e " + (rig.dir / "go").string() +
                               " ]; do sleep 0.05; done; mkdir $SHUNT_SAVE_DIR/next; echo >&3; "
                               "while [ -e $SHUNT_SAVE_DIR/next ]; do sleep 0.01; done",
                           1);
  rig.start();
  ASSERT_TRUE(rig.until_logged("begin"));
  fs::create_directories(rig.dir / "m" / "tasks" / (id + ".0.1") / "kept.tar");
  std::ofstream(rig.dir / "go");
  ASSERT_TRUE(rig.until_done(id)) << artifacts::read_file_or_empty(rig.dir / "agent.log");
  EXPECT_EQ(rig.tasks[id].failed, 0);
}

TEST(AgentProcess, ResultIsReportedOnceTheArtifactStoreAndControllerAreBack) {
  Rig rig;
  std::string id = rig.add("echo the result; until [ -e " + (rig.dir / "go").string() +
                           " ]; do sleep 0.05; done");
  rig.start();
  ASSERT_TRUE(rig.until_logged("begin"));
  rig.close_artifact_store();
  rig.close_controller();
  std::ofstream(rig.dir / "go");
  ASSERT_TRUE(rig.until_logged("end"));
  rig.open_controller();
  int heartbeats_before = rig.heartbeats;
  ASSERT_TRUE(rig.until([&] { return rig.heartbeats > heartbeats_before + 2; }));
  EXPECT_EQ(rig.tasks[id].done, 0);  // its result is not in the artifact store yet
  EXPECT_EQ(rig.last_heartbeat.tasks.at(0).state, wire::TaskState::running);
  rig.open_artifact_store();
  ASSERT_TRUE(rig.until_done(id));
  auto result = client_protocol::decode_result(
      artifacts::Store(rig.dir / "depot").get_name(client_protocol::result_name({id, 0}))->value);
  EXPECT_EQ(*artifacts::Store(rig.dir / "depot").read(result.out, 0, 100), "the result\n");
  EXPECT_EQ(rig.logged("begin"), 1);
}

// A task whose result is stored is done without running, on any machine and in any attempt.
TEST(AgentProcess, TaskWithAStoredResultIsNotRunAgain) {
  Rig rig;
  std::string id = rig.add("true");
  rig.start();
  ASSERT_TRUE(rig.until_done(id));
  rig.tasks[id] = {};
  rig.tasks[id].attempt = 9;
  ASSERT_TRUE(rig.until_done(id));
  EXPECT_EQ(rig.logged("begin"), 1);
}

// A file size limit makes every journal write fail for a while, like a full disk.
TEST(AgentProcess, FullDiskRefusesNewTasksAndLosesNone) {
  Rig rig;
  std::string first =
      rig.add("until [ -e " + (rig.dir / "go").string() + " ]; do sleep 0.05; done");
  rig.start();
  ASSERT_TRUE(rig.until_logged("begin"));
  ASSERT_TRUE(rig.until([&] { return rig.last_heartbeat.tasks.size() == 1; }));
  rlimit no_writes{0, RLIM_INFINITY}, unlimited{RLIM_INFINITY, RLIM_INFINITY};
  ASSERT_EQ(::prlimit(rig.pid, RLIMIT_FSIZE, &no_writes, nullptr), 0);
  std::string second = rig.add("true");
  std::ofstream(rig.dir / "go");
  ASSERT_TRUE(rig.until_logged("end"));
  int heartbeats_before = rig.heartbeats;
  ASSERT_TRUE(rig.until(
      [&] { return rig.heartbeats > heartbeats_before + 5; }));  // it still sends heartbeats
  EXPECT_EQ(rig.tasks[first].done, 0);
  EXPECT_EQ(rig.logged("begin"), 1);
  ASSERT_EQ(::prlimit(rig.pid, RLIMIT_FSIZE, &unlimited, nullptr), 0);
  ASSERT_TRUE(rig.until_done(first)) << artifacts::read_file_or_empty(rig.dir / "agent.log");
  ASSERT_TRUE(rig.until_done(second));
  EXPECT_EQ(rig.logged("begin"), 2);
  EXPECT_NE(artifacts::read_file_or_empty(rig.dir / "agent.log")
                .find("agent journal can be written again"),
            std::string::npos);
}

TEST(AgentProcess, TaskBeyondTheFileSizeLimitEndsAndTheNextOneRuns) {
  Rig rig(60, "<file-mb>1</file-mb>");
  std::string writer = rig.add("yes"), successor = rig.add("true");
  rig.start();
  ASSERT_TRUE(rig.until_done(writer));
  ASSERT_TRUE(rig.until_done(successor));
  auto result =
      client_protocol::decode_result(artifacts::Store(rig.dir / "depot")
                                         .get_name(client_protocol::result_name({writer, 0}))
                                         ->value);
  EXPECT_NE(result.exit, 0);
}

TEST(AgentProcess, ImagesAreFetchedOnceAndInvalidOnesRefused) {
  Rig rig;
  fs::create_directories(rig.dir / "image");
  std::ofstream(rig.dir / "image" / "words") << "from the image\n";
  artifacts::Packer packer(rig.dir / "image", rig.dir / "image.tar");
  while (!packer.step()) {
  }
  artifacts::Store store(rig.dir / "depot");
  auto put = [&](const std::string& bytes, const char* upload) {
    std::string hash = artifacts::hash_of(bytes);
    store.add_part(upload, 0, bytes);
    EXPECT_TRUE(store.finish(upload, hash));
    return hash;
  };
  std::string hash = put(artifacts::read_file_or_empty(rig.dir / "image.tar"), "aaaaaaaa");
  std::string torn = put("these bytes are no archive, whatever their hash may be", "bbbbbbbb");
  std::string damaged = put("something", "cccccccc");
  std::ofstream(rig.dir / "depot" / "blobs" / damaged.substr(0, 2) / damaged) << "something else";
  std::string a = rig.add("cat $SHUNT_IMAGE_DIR/words >> " + rig.log().string(), 0, hash);
  std::string b = rig.add("cat $SHUNT_IMAGE_DIR/words >> " + rig.log().string(), 0, hash);
  std::string c = rig.add("true", 0, torn), d = rig.add("true", 0, damaged);
  rig.start();
  ASSERT_TRUE(rig.until_done(a));
  ASSERT_TRUE(rig.until_done(b));
  ASSERT_TRUE(rig.until([&] { return rig.tasks[c].failed > 0 && rig.tasks[d].failed > 0; }));
  EXPECT_EQ(rig.logged("from the image"), 2);
  EXPECT_EQ(rig.logged("begin"), 2);
  rig.tasks[c].wanted = rig.tasks[d].wanted = false;
}

TEST(AgentProcess, DirectCommandsAreCheckedByTokenAndIncarnationAndMalformedOnesRefused) {
  Rig rig;
  rig.start();
  ASSERT_TRUE(rig.until([&] { return rig.heartbeats > 1; }));
  EXPECT_EQ(rig.send_command("not json").status, 400);
  EXPECT_EQ(rig.send_command(R"({"orders":[]})").status, 400);
  EXPECT_EQ(rig.send_command(R"({"staff":4,"shift":1,"orders":[]})").status, 409);
  EXPECT_EQ(rig.send_command(R"({"staff":5,"shift":2,"orders":[]})").status, 409);
  // The agent answers and closes the connection before it has read the whole body. The answer can
  // then be lost because the client is still writing, so the request is repeated.
  net::Result too_long;
  for (int i = 0; i < 20 && too_long.status == 0; ++i)
    too_long = rig.send_command(std::string(70000, ' '));
  EXPECT_EQ(too_long.status, 413);
  auto answer = rig.send_command(R"({"staff":6,"shift":1,"orders":[{"order":"dance"},
                         {"order":"start","car":"run-999999/0","departure":3}]})");
  EXPECT_EQ(answer.status, 200);
  auto heartbeat = wire::decode_heartbeat(answer.body);
  EXPECT_EQ(heartbeat.token, 6u);
  ASSERT_EQ(heartbeat.tasks.size(), 1u);
  rig.tasks.clear();
  // The job has no description, so the start is refused as unknown. The emulated controller's token
  // is now too low for its answers to be accepted.
  ASSERT_TRUE(rig.until([&] {
    auto status = rig.status();
    return status.tasks.size() == 1 && status.tasks[0].exit_reason == wire::ExitReason::unknown;
  }));
  std::uint64_t sequence = rig.status().sequence;
  EXPECT_GT(rig.status().sequence, sequence);
  rig.token = 7;
  std::ofstream(rig.dir / "m" / "recall") << "12";
  ASSERT_TRUE(
      rig.until([&] { return rig.last_heartbeat.notice_s && *rig.last_heartbeat.notice_s <= 12; }));
}

// A replaced agent leaves its tasks running; the end of the machine kills them.
TEST(AgentProcess, ReplacedAgentLeavesItsTasksRunningAndEndCommandKillsThem) {
  Rig rig;
  std::string id = rig.add("sleep 1000");
  rig.start();
  ASSERT_TRUE(rig.until_logged("begin"));
  ASSERT_TRUE(rig.until([&] { return rig.last_heartbeat.tasks.size() == 1; }));
  rig.kill_agent(SIGTERM);
  rig.start();
  int heartbeats_before = rig.heartbeats;
  ASSERT_TRUE(rig.until([&] { return rig.heartbeats > heartbeats_before + 1; }));
  EXPECT_EQ(rig.last_heartbeat.incarnation, 1u);
  EXPECT_EQ(rig.tasks[id].attempt, 1u);
  EXPECT_EQ(rig.logged("begin"), 1);
  rig.kill_agent(SIGTERM);
  EXPECT_TRUE(agent::kill_all_tasks({rig.dir / "m"}));
  EXPECT_TRUE(rig.nothing_left_of(id));
  rig.start();
  ASSERT_TRUE(rig.until([&] { return rig.last_heartbeat.incarnation == 2; }));
}

}  // namespace
}  // namespace shunttrail::test
