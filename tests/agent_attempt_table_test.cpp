// Tests of the agent's attempt table and journal without processes: generated commands and restarts
// compared with a simple model; stored formats; archives; the artifact store's directory.
#include <archive.h>
#include <archive_entry.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <sqlite3.h>
#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <set>
#include <thread>

#include "agent/agent_journal.h"
#include "agent/attempt_table.h"
#include "agent/lease_file.h"
#include "agent/processes.h"
#include "agent/settings.h"
#include "agent/task_supervisor.h"
#include "artifacts/archive.h"
#include "artifacts/store.h"
#include "client_protocol/client_protocol.h"
#include "client_protocol/job_description.h"

namespace shunttrail::test {
namespace {
namespace fs = std::filesystem;
using agent::AttemptTable;
using agent::Effect;
using agent::Key;
using wire::Command;
using wire::ExitReason;
using wire::TaskState;

struct TempDir {
  fs::path path;
  TempDir() {
    std::string name = fs::temp_directory_path() / "shunt-test-XXXXXX";
    path = ::mkdtemp(name.data());
  }
  ~TempDir() { fs::remove_all(path); }
};

Command make(Command::Op op, const Key& k, double grace = 0) {
  return {op, k.task(), k.attempt, grace};
}
const Key kA{"run-100001", 0, 7}, kB{"run-100001", 0, 8};

// A model of the worker in PROTOCOL: the attempts of one task on the worker, with their states.
struct Model {
  struct State {
    bool exited = false, launched = false, ended = false;
    ExitReason exit_reason = ExitReason::none;
  };
  std::map<std::uint64_t, State> attempts;
  std::uint64_t highest_acknowledged = 0;

  void start(std::uint64_t number) {
    if (attempts.contains(number) || number <= highest_acknowledged) return;
    if (!attempts.empty() && attempts.rbegin()->first > number) return;
    bool busy = std::any_of(attempts.begin(), attempts.end(),
                            [](auto& entry) { return !entry.second.exited; });
    attempts[number] = busy ? State{true, false, false, ExitReason::busy} : State{};
  }
  void stop(std::uint64_t number) {
    auto it = attempts.find(number);
    if (it == attempts.end() || it->second.exited || (it->second.launched && !it->second.ended))
      return;
    it->second.exited = true;
    it->second.exit_reason = ExitReason::stopped;
  }
  void acknowledge(std::uint64_t number) {
    auto it = attempts.find(number);
    if (it == attempts.end() || !it->second.exited) return;
    attempts.erase(it);
    highest_acknowledged = std::max(highest_acknowledged, number);
  }
};

RC_GTEST_PROP(AttemptTable, RandomCommandsAndRestartsGiveTheStateOfTheModel, ()) {
  TempDir dir;
  auto journal =
      std::make_unique<agent::AgentJournal>(dir.path / "r.db", [](const std::string&) {});
  AttemptTable table;
  journal->begin("m", "boot", table);
  Model model;
  auto key = [](std::uint64_t number) { return Key{"run-100001", 0, number}; };
  for (int i = *rc::gen::inRange(1, 40); i > 0; --i) {
    std::uint64_t number = *rc::gen::inRange<std::uint64_t>(1, 6);
    AttemptTable next = table;
    int action = *rc::gen::inRange(0, 7);
    if (action == 0 || action == 1) {
      next.execute({make(Command::Op::start, key(number))});
      model.start(number);
    } else if (action == 2) {
      next.execute({make(Command::Op::stop, key(number))});
      model.stop(number);
    } else if (action == 3) {
      next.execute({make(Command::Op::acknowledge, key(number))});
      model.acknowledge(number);
    } else if (action == 4 && model.attempts.contains(number) && !model.attempts[number].exited) {
      // The attempt's next phase.
      auto& expected = model.attempts[number];
      if (!expected.launched) {
        next.launched(key(number));
        expected.launched = true;
      } else if (!expected.ended) {
        next.ended(key(number), ExitReason::done, false);
        expected.ended = true;
      } else {
        next.exited(key(number), ExitReason::done);
        expected.exited = true;
        expected.exit_reason = ExitReason::done;
      }
    } else if (action == 5) {
      next.token += number;
      next.reserved += number;
    } else if (action == 6 && number == 1) {
      next.next_incarnation();
      model = {};
    }
    journal->save(table, next, "step");
    table = next;
    // After a restart the journal holds exactly the saved table.
    if (*rc::gen::inRange(0, 4) == 0) {
      journal.reset();
      journal = std::make_unique<agent::AgentJournal>(dir.path / "r.db", [](const std::string&) {});
      RC_ASSERT(journal->load("m") == table);
    }
    std::set<std::uint64_t> reported;
    int running = 0;
    for (const auto& status : table.tasks()) {
      reported.insert(status.attempt);
      const auto& expected = model.attempts.at(status.attempt);
      RC_ASSERT((status.state == TaskState::exited) == expected.exited);
      if (expected.exited) RC_ASSERT(status.exit_reason == expected.exit_reason);
      running += status.state != TaskState::exited;
    }
    RC_ASSERT(reported.size() == model.attempts.size());
    RC_ASSERT(running <= 1);  // the machine never runs two attempts of a task at once
  }
}

// A crash before a commit leaves the old table, and a crash after it the new one; never anything in
// between.
TEST(AgentJournal, CrashAroundACommitLeavesTheTableBeforeOrAfterIt) {
  struct Killed {};
  for (bool after : {false, true}) {
    TempDir dir;
    AttemptTable table, next;
    next.token = 9;
    next.execute({make(Command::Op::start, kA)});
    {
      agent::AgentJournal journal(dir.path / "r.db", [&](const std::string& step) {
        if (step == (after ? "x.after" : "x.before")) throw Killed{};
      });
      journal.begin("m", "boot", table);
      EXPECT_THROW(journal.save(table, next, "x"), Killed);
    }
    agent::AgentJournal journal(dir.path / "r.db", [](const std::string&) {});
    EXPECT_EQ(*journal.load("m"), after ? next : table);
  }
}

TEST(AgentJournal, RefusesJournalOfAnotherMachineOrFormatAndDamagedFile) {
  TempDir dir;
  auto nothing = [](const std::string&) {};
  EXPECT_EQ(agent::AgentJournal(dir.path / "r.db", nothing).load("m"), std::nullopt);
  agent::AgentJournal(dir.path / "r.db", nothing).begin("m", "b", AttemptTable{});
  EXPECT_THROW(agent::AgentJournal(dir.path / "r.db", nothing).load("other"), agent::JournalError);
  std::ofstream(dir.path / "torn.db") << "this is no record, and longer than a header of one is";
  EXPECT_THROW(agent::AgentJournal(dir.path / "torn.db", nothing), agent::JournalError);
  sqlite3* db = nullptr;
  sqlite3_open((dir.path / "r.db").c_str(), &db);
  sqlite3_exec(db, "UPDATE facts SET value='2' WHERE name='format'", nullptr, nullptr, nullptr);
  sqlite3_close(db);
  EXPECT_THROW(agent::AgentJournal(dir.path / "r.db", nothing), agent::JournalError);
}

// Regression test: a start that the network delayed until after its own acknowledgement ran the
// task once more.
TEST(AttemptTable, StartDeliveredAfterItsAcknowledgementIsRefused) {
  AttemptTable table;
  auto first = table.execute({make(Command::Op::start, kA)});
  ASSERT_EQ(first.size(), 1u);
  EXPECT_EQ(first[0].kind, Effect::Kind::fetch);
  table.launched(kA);
  table.ended(kA, ExitReason::done, false);
  EXPECT_EQ(table.tasks()[0].state,
            TaskState::running);  // its result is not in the artifact store yet
  table.exited(kA, ExitReason::done);
  table.execute({make(Command::Op::acknowledge, kA)});
  std::vector<std::string> refused;
  EXPECT_TRUE(table.execute({make(Command::Op::start, kA)}, &refused).empty());
  EXPECT_EQ(refused.size(), 1u);
  EXPECT_TRUE(table.tasks().empty());
  EXPECT_EQ(table.execute({make(Command::Op::start, kB)}).size(), 1u);
  // A start with a lower attempt number is refused while a higher one is on the machine.
  table.execute({make(Command::Op::start, kA)});
  EXPECT_EQ(table.tasks().size(), 1u);
}

// Controllers acknowledge an attempt under a higher token than that of its direct start.
TEST(AttemptTable, AStartThatTheTableNoLongerRemembersIsRefusedByItsToken) {
  constexpr std::uint64_t kStartToken = 9;
  constexpr std::uint64_t kMoreThanRemembered = 2001;
  TempDir dir;
  AttemptTable table;
  table.token = kStartToken;
  const auto run = [&](const Key& key) {
    table.execute({make(Command::Op::start, key)});
    table.exited(key, ExitReason::done);
    table.execute({make(Command::Op::acknowledge, key)});
  };
  table.execute({make(Command::Op::start, kA)});
  table.token = kStartToken + 1;
  run(kA);
  for (std::uint32_t task = 1; task <= kMoreThanRemembered; ++task) run({kA.job, task, 7});
  EXPECT_LT(table.acknowledged.size(), kMoreThanRemembered);
  AttemptTable without_token = table;
  EXPECT_EQ(without_token.execute({make(Command::Op::start, kA)}).size(), 1u);
  EXPECT_FALSE(table.accepts(kStartToken));
  agent::AgentJournal(dir.path / "r.db", [](const std::string&) {}).begin("m", "boot", table);
  agent::AgentJournal restarted(dir.path / "r.db", [](const std::string&) {});
  EXPECT_FALSE(restarted.load("m")->accepts(kStartToken));
}

TEST(AttemptTable, StopSavesOnlyWithEnoughGraceAndStopWithoutGraceKills) {
  AttemptTable table;
  table.execute({make(Command::Op::start, kA)});
  ASSERT_TRUE(table.described(kA, {1, 0, 1}, true, 4, {4, 0, 8}));
  table.launched(kA);
  AttemptTable hasty = table;
  EXPECT_EQ(hasty.execute({make(Command::Op::stop, kA, 3.9)})[0].kind, Effect::Kind::kill);
  auto effects = table.execute({make(Command::Op::stop, kA, 4)});
  ASSERT_EQ(effects.size(), 1u);
  EXPECT_EQ(effects[0].kind, Effect::Kind::save);
  EXPECT_EQ(table.tasks()[0].state, TaskState::saving);
  EXPECT_TRUE(table.execute({make(Command::Op::stop, kA, 10)}).empty());
  EXPECT_EQ(table.execute({make(Command::Op::stop, kA, 0)})[0].kind, Effect::Kind::kill);
  EXPECT_TRUE(table.execute({make(Command::Op::acknowledge, kA)})
                  .empty());  // not exited, so it is not removed
  EXPECT_EQ(table.tasks().size(), 1u);
}

TEST(AttemptTable, FreeCapacityCountsAcceptedAttemptsAndLowerTokensAreRefused) {
  AttemptTable table;
  const agent::Resources machine{4, 0, 8};
  const Key other{"run-100002", 0, 1};
  table.execute({make(Command::Op::start, kA), make(Command::Op::start, other)});
  EXPECT_TRUE(table.described(kA, {3, 0, 1}, false, 0, machine));
  EXPECT_FALSE(table.described(other, {2, 0, 1}, false, 0, machine));
  EXPECT_EQ(table.attempts.at(other).exit_reason, ExitReason::no_room);
  table.token = 5;
  EXPECT_TRUE(table.accepts(5));
  EXPECT_TRUE(table.accepts(6));
  EXPECT_FALSE(table.accepts(4));
  EXPECT_FALSE(table.accepts(std::nullopt));
}

TEST(AgentLease, ExtensionCountsFromWhenTheHeartbeatWasSent) {
  agent::Lease lease(20, 100);
  EXPECT_FALSE(lease.has_expired(120));
  EXPECT_TRUE(lease.has_expired(120.01));
  lease.extend(110);
  lease.extend(105);  // an answer that was overtaken does not shorten the lease
  EXPECT_FALSE(lease.has_expired(130));
  EXPECT_TRUE(lease.has_expired(130.01));
  TempDir dir;
  agent::LeaseFile writer(dir.path / "lease", agent::LeaseFile::Open::write);
  agent::LeaseFile reader(dir.path / "lease", agent::LeaseFile::Open::read);
  EXPECT_EQ(reader.incarnation(), 0u);
  writer.set(3, 130);
  EXPECT_EQ(reader.incarnation(), 3u);
  EXPECT_NEAR(reader.until(), 130, 1e-6);
  EXPECT_LE(reader.until(), 130);
  std::ofstream(dir.path / "other") << std::string(4096, 'x');
  EXPECT_THROW(agent::LeaseFile(dir.path / "other", agent::LeaseFile::Open::read),
               std::system_error);
}

// Regression test: each renewal set the incarnation to 0 for a moment, and a supervisor that read
// it then killed its task.
TEST(AgentLease, ReaderNeverSeesARenewalAsTheEndOfTheIncarnation) {
  TempDir dir;
  agent::LeaseFile writer(dir.path / "lease", agent::LeaseFile::Open::write);
  writer.set(3, 1);
  std::atomic<bool> finished = false;
  std::uint64_t mismatches = 0;
  std::thread reader([&] {
    agent::LeaseFile page(dir.path / "lease", agent::LeaseFile::Open::read);
    while (!finished) mismatches += page.incarnation() != 3;
  });
  for (int i = 0; i < 300000; ++i) writer.set(3, 1 + i);
  finished = true;
  reader.join();
  EXPECT_EQ(mismatches, 0u);
}

// A pid that has been reused by another process is not the recorded process.
TEST(AgentProcesses, ProcessWithOtherStartTimeOrBootIsNotOpenedAndLockIsExclusive) {
  auto self = agent::identity_of(::getpid());
  EXPECT_TRUE(agent::open_process(self));
  auto other = self;
  ++other.start;
  EXPECT_FALSE(agent::open_process(other));
  other = self;
  other.boot = "another";
  EXPECT_FALSE(agent::open_process(other));
  TempDir dir;
  auto lock = agent::try_lock(dir.path / "lock");
  EXPECT_TRUE(lock);
  EXPECT_FALSE(agent::try_lock(dir.path / "lock"));
  lock.reset();
  EXPECT_TRUE(agent::try_lock(dir.path / "lock"));
}

TEST(ClientProtocol, MalformedCommandsAreRefusedOneByOneAndMalformedBodyEntirely) {
  auto response = client_protocol::decode_heartbeat_response(
      R"({"staff":41,"shift":2,"later":1,"orders":[
        {"order":"start","car":"run-000412/4","departure":2},
        {"order":"dance","car":"run-000412/4","departure":2},
        {"order":"halt","car":"run-000377/1","departure":1,"brake_s":10},
        {"order":"reap","car":"run-000398/../1","departure":1},
        {"order":"reap","car":"run-000398/0","departure":-1}, 7]})");
  EXPECT_EQ(response.token, 41u);
  EXPECT_EQ(response.incarnation, 2u);
  ASSERT_EQ(response.commands.size(), 2u);
  EXPECT_EQ(response.commands[1].grace_s, 10);
  EXPECT_EQ(response.refused.size(), 4u);
  for (const char* bad :
       {"", "[]", "{\"staff\":-1}", "{\"staff\":1.5}", "{\"orders\":{}}", "{\"a\":"})
    EXPECT_THROW(client_protocol::decode_heartbeat_response(bad), wire::Malformed) << bad;
  EXPECT_FALSE(client_protocol::decode_heartbeat_response("{}").token);
}

RC_GTEST_PROP(ClientProtocol, HeartbeatsRoundTrip, ()) {
  wire::Heartbeat heartbeat;
  heartbeat.machine = "m-000001";
  heartbeat.addr = "127.0.0.1:1";
  heartbeat.type = "t";
  heartbeat.zone = "z";
  heartbeat.spot = *rc::gen::arbitrary<bool>();
  heartbeat.incarnation = *rc::gen::arbitrary<std::uint32_t>();
  heartbeat.sequence = *rc::gen::arbitrary<std::uint64_t>();
  heartbeat.token = *rc::gen::arbitrary<std::uint64_t>();
  if (*rc::gen::arbitrary<bool>()) heartbeat.notice_s = *rc::gen::inRange(0, 1000);
  for (int n = *rc::gen::inRange(0, 8); n > 0; --n) {
    auto state = static_cast<TaskState>(*rc::gen::inRange(0, 4));
    auto exit_reason = state == TaskState::exited ? static_cast<ExitReason>(*rc::gen::inRange(1, 7))
                                                  : ExitReason::none;
    heartbeat.tasks.push_back({{"run-" + std::to_string(100000 + n), static_cast<std::uint32_t>(n)},
                               *rc::gen::arbitrary<std::uint64_t>(),
                               state,
                               exit_reason});
  }
  auto decoded = wire::decode_heartbeat(client_protocol::encode_heartbeat(heartbeat));
  RC_ASSERT(decoded.sequence == heartbeat.sequence && decoded.token == heartbeat.token &&
            decoded.incarnation == heartbeat.incarnation);
  RC_ASSERT(decoded.notice_s == heartbeat.notice_s && decoded.spot == heartbeat.spot);
  RC_ASSERT(decoded.tasks.size() == heartbeat.tasks.size());
  for (std::size_t i = 0; i < heartbeat.tasks.size(); ++i) {
    RC_ASSERT(decoded.tasks[i].attempt == heartbeat.tasks[i].attempt);
    RC_ASSERT(decoded.tasks[i].state == heartbeat.tasks[i].state);
    RC_ASSERT(decoded.tasks[i].exit_reason == heartbeat.tasks[i].exit_reason);
  }
}

TEST(ClientProtocol, GoldenDescriptionResultCommandAndEnd) {
  const std::string text =
      R"({"command":["sh","-c","echo"],"env":{"A":"b"},"job":{"borrowed_stock":true,"cards":0.0,"cars":3,"consist":"c","couple_s":1.0,"crew":"t","haul":"batch","manifest":"img","mem_gb":2.0,"milepost_s":30.0,"precedence":"high","run_s":60.0,"same_place":false,"scatter":false,"size_gb":0.0,"uid":"run-000412","vcpus":1.0},"limit_s":90.0,"retry_exits":[75]})";
  auto d = client_protocol::decode_description(text);
  EXPECT_EQ(d.job.tasks, 3u);
  EXPECT_EQ(d.limit_s, 90);
  EXPECT_EQ(client_protocol::encode_description(d), text);
  for (const char* bad : {R"({"job":{}})", R"({"command":["a"]})", R"({"job":1,"command":["a"]})"})
    EXPECT_THROW(client_protocol::decode_description(bad), wire::Malformed) << bad;
  auto without = text;
  without.replace(without.find("\"sh\""), 4, "\"\"");
  EXPECT_THROW(client_protocol::decode_description(without), wire::Malformed);
  const std::string end =
      R"({"exit":3,"format":1,"kept":2,"ran_s":1.5,"reason":"r","saved":true,"why":"stopped"})";
  EXPECT_EQ(agent::encode(agent::decode_end(end)), end);
  EXPECT_THROW(agent::decode_end("{\"exit\":3"), wire::Malformed);
  EXPECT_THROW(agent::decode_end(R"({"format":2,"why":"done"})"), wire::Malformed);
  const std::string order =
      R"({"attempt":7,"command":["a"],"env":{"A":"b"},"file_bytes":5,"format":1,"limit_s":0.0,"memory_bytes":6,"retry_exits":[75],"session":1,"task":"run-1/0"})";
  EXPECT_EQ(agent::encode(agent::decode_order(order)), order);
}

TEST(AgentSettings, InvalidSettingGivesOneLineThatNamesTheElement) {
  const std::string good =
      "<shunt-agent><machine>m</machine><type>t</type><zone>z</zone><address>127.0.0.1:1</address>"
      "<cpus>4</cpus><mem-gb>8</mem-gb><controllers><controller name='n' address='127.0.0.1:2'/>"
      "</controllers><depot>127.0.0.1:3</depot></shunt-agent>";
  EXPECT_EQ(agent::parse_settings(good).controllers.size(), 1u);
  auto fails = [&](const std::string& from, const std::string& to, const std::string& names) {
    std::string s = good;
    s.replace(s.find(from), from.size(), to);
    try {
      agent::parse_settings(s);
      ADD_FAILURE() << to;
    } catch (const config::SettingsError& e) {
      EXPECT_NE(std::string(e.what()).find(names), std::string::npos) << e.what();
      EXPECT_EQ(std::string(e.what()).find('\n'), std::string::npos);
    }
  };
  fails("<cpus>4", "<cpus>four", "shunt-agent.cpus");
  fails("<zone>z</zone>", "", "shunt-agent.zone");
  fails("<machine>", "<colour>c</colour><machine>", "shunt-agent.colour");
  fails("127.0.0.1:2", "127.0.0.1", "controller");
  fails("</shunt-agent>", "", "line 1");
}

fs::path write_tar(const fs::path& file, const std::string& name, int type, const char* link) {
  archive* a = archive_write_new();
  archive_write_set_format_pax_restricted(a);
  archive_write_open_filename(a, file.c_str());
  archive_entry* e = archive_entry_new();
  archive_entry_set_pathname(e, name.c_str());
  archive_entry_set_filetype(e, static_cast<unsigned>(type));
  archive_entry_set_perm(e, 0644);
  archive_entry_set_size(e, type == AE_IFREG ? 3 : 0);
  if (link) archive_entry_set_symlink(e, link);
  archive_write_header(a, e);
  if (type == AE_IFREG) archive_write_data(a, "abc", 3);
  archive_entry_free(e);
  archive_write_free(a);
  return file;
}

void unpack(const fs::path& tar, const fs::path& dir, std::uint64_t most = 1 << 20) {
  artifacts::Unpacker unpacker(tar, dir, most);
  while (!unpacker.step()) {
  }
}

TEST(ArtifactArchive, UnpackingRestoresFilesAndRefusesEntriesOutsideTheDirectory) {
  TempDir dir;
  fs::create_directories(dir.path / "in" / "sub");
  std::ofstream(dir.path / "in" / "sub" / "file") << std::string(700000, 'x');
  std::ofstream(dir.path / "in" / "run.sh") << "#!/bin/sh\n";
  fs::permissions(dir.path / "in" / "run.sh", fs::perms(0755));
  fs::create_symlink("/etc/passwd", dir.path / "in" / "link");
  artifacts::Packer packer(dir.path / "in", dir.path / "a.tar");
  int steps = 0;
  while (!packer.step()) ++steps;
  EXPECT_GT(steps, 3);  // packed in several steps
  unpack(dir.path / "a.tar", dir.path / "out");
  EXPECT_EQ(fs::file_size(dir.path / "out" / "sub" / "file"), 700000u);
  EXPECT_NE(fs::status(dir.path / "out" / "run.sh").permissions() & fs::perms::owner_exec,
            fs::perms::none);
  EXPECT_FALSE(fs::exists(fs::symlink_status(dir.path / "out" / "link")));
  EXPECT_THROW(unpack(dir.path / "a.tar", dir.path / "small", 1000), artifacts::BadArchive);
  for (auto [name, type, link] : {std::tuple("../out", AE_IFREG, (const char*)nullptr),
                                  {"/tmp/abs", AE_IFREG, nullptr},
                                  {"a/../../b", AE_IFREG, nullptr},
                                  {"l", AE_IFLNK, "/etc"},
                                  {"f", AE_IFIFO, nullptr}})
    EXPECT_THROW(unpack(write_tar(dir.path / "bad.tar", name, type, link), dir.path / "bad"),
                 artifacts::BadArchive)
        << name;
  std::ofstream(dir.path / "torn.tar")
      << "no archive at all, but some bytes that stand in its place";
  EXPECT_THROW(unpack(dir.path / "torn.tar", dir.path / "torn"), artifacts::BadArchive);
}

TEST(ArtifactStore, BlobAppearsOnlyWhenCompleteAndNamesFollowTheirVersions) {
  TempDir dir;
  const std::string bytes(300000, 'q'), hash = artifacts::hash_of(bytes);
  {
    artifacts::Store store(dir.path);
    EXPECT_EQ(store.add_part("aaaaaaaa", 0, std::string_view(bytes).substr(0, 1000)), 1000u);
    EXPECT_EQ(store.add_part("aaaaaaaa", 0, bytes), 1000u);  // repeated: nothing is added
    EXPECT_FALSE(store.has(hash));
  }
  artifacts::Store store(dir.path);  // the store is reopened in the middle of an upload
  EXPECT_FALSE(store.has(hash));
  EXPECT_EQ(store.add_part("aaaaaaaa", 1000, std::string_view(bytes).substr(1000)), 300000u);
  EXPECT_TRUE(store.finish("aaaaaaaa", hash));
  EXPECT_TRUE(store.finish("aaaaaaaa", hash));  // repeated after a lost answer: same outcome
  EXPECT_EQ(*store.read(hash, 299999, 100), "q");
  EXPECT_EQ(*store.read(hash, 300000, 100), "");
  store.add_part("bbbbbbbb", 0, "other");
  EXPECT_FALSE(store.finish("bbbbbbbb", artifacts::hash_of("another")));
  EXPECT_FALSE(store.has(artifacts::hash_of("other")));
  using Put = artifacts::Store::Put;
  EXPECT_EQ(store.put_name("jobs/run-1", {"{\"a\":1}"}), Put::created);
  EXPECT_EQ(store.put_name("jobs/run-1", {"{\"a\":1}"}), Put::same);
  EXPECT_EQ(store.put_name("jobs/run-1", {"{\"a\":2}"}), Put::refused);
  EXPECT_EQ(store.put_name("saves/run-1/0", {"1", 5, 1}), Put::created);
  EXPECT_EQ(store.put_name("saves/run-1/0", {"2", 5, 2}), Put::created);
  EXPECT_EQ(store.put_name("saves/run-1/0", {"3", 5, 1}), Put::refused);
  EXPECT_EQ(store.put_name("saves/run-1/0", {"4", 6, 0}), Put::created);
  EXPECT_EQ(store.get_name("saves/run-1/0")->value, "4");
  for (const char* bad : {"", "a//b", "../a", "a/../b", "/a", "a b", "a/."})
    EXPECT_THROW(store.get_name(bad), artifacts::BadRequest) << bad;
}

}  // namespace
}  // namespace shunttrail::test
