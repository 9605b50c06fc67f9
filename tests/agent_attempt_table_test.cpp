// The agent's decisions and its record, without processes: generated commands, kills and recoveries
// against a plain model; formats; archives; the artifact store's store.
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

// PROTOCOL's worker in a few lines: which attempts of one task are on it, and how.
struct Model {
  struct Held {
    bool exited = false, launched = false, ended = false;
    ExitReason exit_reason = ExitReason::none;
  };
  std::map<std::uint64_t, Held> held;
  std::uint64_t reaped = 0;

  void start(std::uint64_t n) {
    if (held.contains(n) || n <= reaped) return;
    if (!held.empty() && held.rbegin()->first > n) return;
    bool busy = std::any_of(held.begin(), held.end(), [](auto& h) { return !h.second.exited; });
    held[n] = busy ? Held{true, false, false, ExitReason::busy} : Held{};
  }
  void halt(std::uint64_t n) {
    auto it = held.find(n);
    if (it == held.end() || it->second.exited || (it->second.launched && !it->second.ended)) return;
    it->second.exited = true;
    it->second.exit_reason = ExitReason::stopped;
  }
  void reap(std::uint64_t n) {
    auto it = held.find(n);
    if (it == held.end() || !it->second.exited) return;
    held.erase(it);
    reaped = std::max(reaped, n);
  }
};

RC_GTEST_PROP(AttemptTable, CommandsEndsAndKillsAsTheModelHasThem, ()) {
  TempDir dir;
  auto record = std::make_unique<agent::AgentJournal>(dir.path / "r.db", [](const std::string&) {});
  AttemptTable book;
  record->begin("m", "boot", book);
  Model model;
  auto key = [](std::uint64_t n) { return Key{"run-100001", 0, n}; };
  for (int i = *rc::gen::inRange(1, 40); i > 0; --i) {
    std::uint64_t n = *rc::gen::inRange<std::uint64_t>(1, 6);
    AttemptTable next = book;
    int what = *rc::gen::inRange(0, 7);
    if (what == 0 || what == 1) {
      next.execute({make(Command::Op::start, key(n))});
      model.start(n);
    } else if (what == 2) {
      next.execute({make(Command::Op::stop, key(n))});
      model.halt(n);
    } else if (what == 3) {
      next.execute({make(Command::Op::acknowledge, key(n))});
      model.reap(n);
    } else if (what == 4 && model.held.contains(n) && !model.held[n].exited) {
      // The next step of its life.
      auto& h = model.held[n];
      if (!h.launched) {
        next.launched(key(n));
        h.launched = true;
      } else if (!h.ended) {
        next.ended(key(n), ExitReason::done, false);
        h.ended = true;
      } else {
        next.exited(key(n), ExitReason::done);
        h.exited = true;
        h.exit_reason = ExitReason::done;
      }
    } else if (what == 5) {
      next.token += n;
      next.reserved += n;
    } else if (what == 6 && n == 1) {
      next.next_incarnation();
      model = {};
    }
    record->save(book, next, "step");
    book = next;
    // A kill: whatever was saved is found again, exactly.
    if (*rc::gen::inRange(0, 4) == 0) {
      record.reset();
      record = std::make_unique<agent::AgentJournal>(dir.path / "r.db", [](const std::string&) {});
      RC_ASSERT(record->load("m") == book);
    }
    std::set<std::uint64_t> there;
    int on = 0;
    for (const auto& t : book.tasks()) {
      there.insert(t.attempt);
      const auto& h = model.held.at(t.attempt);
      RC_ASSERT((t.state == TaskState::exited) == h.exited);
      if (h.exited) RC_ASSERT(t.exit_reason == h.exit_reason);
      on += t.state != TaskState::exited;
    }
    RC_ASSERT(there.size() == model.held.size());
    RC_ASSERT(on <= 1);  // two attempts of a task are never on the machine together
  }
}

// A process killed before a step is committed leaves the old book, after it the new one: never
// anything in between.
TEST(AgentJournal, AKillAroundAStepLeavesOneSideOfIt) {
  struct Killed {};
  for (bool after : {false, true}) {
    TempDir dir;
    AttemptTable book, next;
    next.token = 9;
    next.execute({make(Command::Op::start, kA)});
    {
      agent::AgentJournal r(dir.path / "r.db", [&](const std::string& step) {
        if (step == (after ? "x.after" : "x.before")) throw Killed{};
      });
      r.begin("m", "boot", book);
      EXPECT_THROW(r.save(book, next, "x"), Killed);
    }
    agent::AgentJournal r(dir.path / "r.db", [](const std::string&) {});
    EXPECT_EQ(*r.load("m"), after ? next : book);
  }
}

TEST(AgentJournal, RefusesWhatIsNotItsOwn) {
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

// Guard: a start that the network held back until after its own reap ran the task once more.
TEST(AttemptTable, AStartAfterItsAcknowledgementDoesNothing) {
  AttemptTable b;
  auto first = b.execute({make(Command::Op::start, kA)});
  ASSERT_EQ(first.size(), 1u);
  EXPECT_EQ(first[0].kind, Effect::Kind::fetch);
  b.launched(kA);
  b.ended(kA, ExitReason::done, false);
  EXPECT_EQ(b.tasks()[0].state, TaskState::running);  // its result is not safe yet
  b.exited(kA, ExitReason::done);
  b.execute({make(Command::Op::acknowledge, kA)});
  std::vector<std::string> refused;
  EXPECT_TRUE(b.execute({make(Command::Op::start, kA)}, &refused).empty());
  EXPECT_EQ(refused.size(), 1u);
  EXPECT_TRUE(b.tasks().empty());
  EXPECT_EQ(b.execute({make(Command::Op::start, kB)}).size(), 1u);
  // Attempts that go back while a higher one is here.
  b.execute({make(Command::Op::start, kA)});
  EXPECT_EQ(b.tasks().size(), 1u);
}

TEST(AttemptTable, SavesOnlyWithTimeEnoughAndASecondStopEndsIt) {
  AttemptTable b;
  b.execute({make(Command::Op::start, kA)});
  ASSERT_TRUE(b.described(kA, {1, 0, 1}, true, 4, {4, 0, 8}));
  b.launched(kA);
  AttemptTable hasty = b;
  EXPECT_EQ(hasty.execute({make(Command::Op::stop, kA, 3.9)})[0].kind, Effect::Kind::kill);
  auto e = b.execute({make(Command::Op::stop, kA, 4)});
  ASSERT_EQ(e.size(), 1u);
  EXPECT_EQ(e[0].kind, Effect::Kind::save);
  EXPECT_EQ(b.tasks()[0].state, TaskState::saving);
  EXPECT_TRUE(b.execute({make(Command::Op::stop, kA, 10)}).empty());
  EXPECT_EQ(b.execute({make(Command::Op::stop, kA, 0)})[0].kind, Effect::Kind::kill);
  EXPECT_TRUE(b.execute({make(Command::Op::acknowledge, kA)}).empty());  // not exited: it stays
  EXPECT_EQ(b.tasks().size(), 1u);
}

TEST(AttemptTable, RoomCountsWhatIsFetchedAndTokensOnlyIncrease) {
  AttemptTable b;
  const agent::Resources machine{4, 0, 8};
  const Key other{"run-100002", 0, 1};
  b.execute({make(Command::Op::start, kA), make(Command::Op::start, other)});
  EXPECT_TRUE(b.described(kA, {3, 0, 1}, false, 0, machine));
  EXPECT_FALSE(b.described(other, {2, 0, 1}, false, 0, machine));
  EXPECT_EQ(b.attempts.at(other).exit_reason, ExitReason::no_room);
  b.token = 5;
  EXPECT_TRUE(b.accepts(5));
  EXPECT_TRUE(b.accepts(6));
  EXPECT_FALSE(b.accepts(4));
  EXPECT_FALSE(b.accepts(std::nullopt));
}

TEST(AgentLease, CountsFromWhenAHeartbeatWasSent) {
  agent::Lease l(20, 100);
  EXPECT_FALSE(l.over(120));
  EXPECT_TRUE(l.over(120.01));
  l.answered(110);
  l.answered(105);  // an answer that was overtaken takes nothing away
  EXPECT_FALSE(l.over(130));
  EXPECT_TRUE(l.over(130.01));
  TempDir dir;
  agent::LeaseFile writer(dir.path / "lease", agent::LeaseFile::Open::write);
  agent::LeaseFile reader(dir.path / "lease", agent::LeaseFile::Open::read);
  EXPECT_EQ(reader.session(), 0u);
  writer.set(3, 130);
  EXPECT_EQ(reader.session(), 3u);
  EXPECT_NEAR(reader.until(), 130, 1e-6);
  EXPECT_LE(reader.until(), 130);
  std::ofstream(dir.path / "other") << std::string(4096, 'x');
  EXPECT_THROW(agent::LeaseFile(dir.path / "other", agent::LeaseFile::Open::read),
               std::system_error);
}

// Guard: each renewal showed no incarnation for a moment, and a supervisor that looked then killed
// its task.
TEST(AgentLease, ARenewalIsNeverSeenAsTheEndOfTheIncarnation) {
  TempDir dir;
  agent::LeaseFile writer(dir.path / "lease", agent::LeaseFile::Open::write);
  writer.set(3, 1);
  std::atomic<bool> over = false;
  std::uint64_t none = 0;
  std::thread reader([&] {
    agent::LeaseFile page(dir.path / "lease", agent::LeaseFile::Open::read);
    while (!over) none += page.session() != 3;
  });
  for (int i = 0; i < 300000; ++i) writer.set(3, 1 + i);
  over = true;
  reader.join();
  EXPECT_EQ(none, 0u);
}

// A process number that another process has by now is not the process that was written down.
TEST(AgentProcesses, AreKnownByMoreThanTheirNumber) {
  auto me = agent::identity_of(::getpid());
  EXPECT_TRUE(agent::open_process(me));
  auto other = me;
  ++other.start;
  EXPECT_FALSE(agent::open_process(other));
  other = me;
  other.boot = "another";
  EXPECT_FALSE(agent::open_process(other));
  TempDir dir;
  auto lock = agent::try_lock(dir.path / "lock");
  EXPECT_TRUE(lock);
  EXPECT_FALSE(agent::try_lock(dir.path / "lock"));
  lock.reset();
  EXPECT_TRUE(agent::try_lock(dir.path / "lock"));
}

TEST(ClientProtocol, CommandsAreRefusedOneByOneAndTheEnvelopeWhole) {
  auto o = client_protocol::decode_heartbeat_response(
      R"({"staff":41,"shift":2,"later":1,"orders":[
        {"order":"start","car":"run-000412/4","departure":2},
        {"order":"dance","car":"run-000412/4","departure":2},
        {"order":"halt","car":"run-000377/1","departure":1,"brake_s":10},
        {"order":"reap","car":"run-000398/../1","departure":1},
        {"order":"reap","car":"run-000398/0","departure":-1}, 7]})");
  EXPECT_EQ(o.token, 41u);
  EXPECT_EQ(o.incarnation, 2u);
  ASSERT_EQ(o.commands.size(), 2u);
  EXPECT_EQ(o.commands[1].grace_s, 10);
  EXPECT_EQ(o.refused.size(), 4u);
  for (const char* bad :
       {"", "[]", "{\"staff\":-1}", "{\"staff\":1.5}", "{\"orders\":{}}", "{\"a\":"})
    EXPECT_THROW(client_protocol::decode_heartbeat_response(bad), wire::Malformed) << bad;
  EXPECT_FALSE(client_protocol::decode_heartbeat_response("{}").token);
}

RC_GTEST_PROP(ClientProtocol, HeartbeatsRoundTrip, ()) {
  wire::Heartbeat r;
  r.machine = "m-000001";
  r.addr = "127.0.0.1:1";
  r.type = "t";
  r.zone = "z";
  r.spot = *rc::gen::arbitrary<bool>();
  r.incarnation = *rc::gen::arbitrary<std::uint32_t>();
  r.sequence = *rc::gen::arbitrary<std::uint64_t>();
  r.token = *rc::gen::arbitrary<std::uint64_t>();
  if (*rc::gen::arbitrary<bool>()) r.notice_s = *rc::gen::inRange(0, 1000);
  for (int n = *rc::gen::inRange(0, 8); n > 0; --n) {
    auto state = static_cast<TaskState>(*rc::gen::inRange(0, 4));
    auto why = state == TaskState::exited ? static_cast<ExitReason>(*rc::gen::inRange(1, 7))
                                          : ExitReason::none;
    r.tasks.push_back({{"run-" + std::to_string(100000 + n), static_cast<std::uint32_t>(n)},
                       *rc::gen::arbitrary<std::uint64_t>(),
                       state,
                       why});
  }
  auto back = wire::decode_heartbeat(client_protocol::encode_heartbeat(r));
  RC_ASSERT(back.sequence == r.sequence && back.token == r.token &&
            back.incarnation == r.incarnation);
  RC_ASSERT(back.notice_s == r.notice_s && back.spot == r.spot);
  RC_ASSERT(back.tasks.size() == r.tasks.size());
  for (std::size_t i = 0; i < r.tasks.size(); ++i) {
    RC_ASSERT(back.tasks[i].attempt == r.tasks[i].attempt);
    RC_ASSERT(back.tasks[i].state == r.tasks[i].state);
    RC_ASSERT(back.tasks[i].exit_reason == r.tasks[i].exit_reason);
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

TEST(AgentSettings, ABadOneIsOneLineThatNamesThePlace) {
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
  artifacts::Unpacker u(tar, dir, most);
  while (!u.step()) {
  }
}

TEST(ArtifactArchive, KeepsWhatWasThereAndRefusesWhatLeavesItsDirectory) {
  TempDir t;
  fs::create_directories(t.path / "in" / "sub");
  std::ofstream(t.path / "in" / "sub" / "file") << std::string(700000, 'x');
  std::ofstream(t.path / "in" / "run.sh") << "#!/bin/sh\n";
  fs::permissions(t.path / "in" / "run.sh", fs::perms(0755));
  fs::create_symlink("/etc/passwd", t.path / "in" / "link");
  artifacts::Packer p(t.path / "in", t.path / "a.tar");
  int steps = 0;
  while (!p.step()) ++steps;
  EXPECT_GT(steps, 3);  // never all at once
  unpack(t.path / "a.tar", t.path / "out");
  EXPECT_EQ(fs::file_size(t.path / "out" / "sub" / "file"), 700000u);
  EXPECT_NE(fs::status(t.path / "out" / "run.sh").permissions() & fs::perms::owner_exec,
            fs::perms::none);
  EXPECT_FALSE(fs::exists(fs::symlink_status(t.path / "out" / "link")));
  EXPECT_THROW(unpack(t.path / "a.tar", t.path / "small", 1000), artifacts::BadArchive);
  for (auto [name, type, link] : {std::tuple("../out", AE_IFREG, (const char*)nullptr),
                                  {"/tmp/abs", AE_IFREG, nullptr},
                                  {"a/../../b", AE_IFREG, nullptr},
                                  {"l", AE_IFLNK, "/etc"},
                                  {"f", AE_IFIFO, nullptr}})
    EXPECT_THROW(unpack(write_tar(t.path / "bad.tar", name, type, link), t.path / "bad"),
                 artifacts::BadArchive)
        << name;
  std::ofstream(t.path / "torn.tar") << "no archive at all, but some bytes that stand in its place";
  EXPECT_THROW(unpack(t.path / "torn.tar", t.path / "torn"), artifacts::BadArchive);
}

TEST(ArtifactStore, ShowsABlobOnlyWholeAndANameByItsRule) {
  TempDir t;
  const std::string bytes(300000, 'q'), hash = artifacts::hash_of(bytes);
  {
    artifacts::Store s(t.path);
    EXPECT_EQ(s.add_part("aaaaaaaa", 0, std::string_view(bytes).substr(0, 1000)), 1000u);
    EXPECT_EQ(s.add_part("aaaaaaaa", 0, bytes), 1000u);  // repeated: nothing is added
    EXPECT_FALSE(s.has(hash));
  }
  artifacts::Store s(t.path);  // a restart in the middle of an upload
  EXPECT_FALSE(s.has(hash));
  EXPECT_EQ(s.add_part("aaaaaaaa", 1000, std::string_view(bytes).substr(1000)), 300000u);
  EXPECT_TRUE(s.finish("aaaaaaaa", hash));
  EXPECT_TRUE(s.finish("aaaaaaaa", hash));  // its answer was lost: said once more
  EXPECT_EQ(*s.read(hash, 299999, 100), "q");
  EXPECT_EQ(*s.read(hash, 300000, 100), "");
  s.add_part("bbbbbbbb", 0, "other");
  EXPECT_FALSE(s.finish("bbbbbbbb", artifacts::hash_of("another")));
  EXPECT_FALSE(s.has(artifacts::hash_of("other")));
  using Put = artifacts::Store::Put;
  EXPECT_EQ(s.put_name("jobs/run-1", {"{\"a\":1}"}), Put::created);
  EXPECT_EQ(s.put_name("jobs/run-1", {"{\"a\":1}"}), Put::same);
  EXPECT_EQ(s.put_name("jobs/run-1", {"{\"a\":2}"}), Put::refused);
  EXPECT_EQ(s.put_name("saves/run-1/0", {"1", 5, 1}), Put::created);
  EXPECT_EQ(s.put_name("saves/run-1/0", {"2", 5, 2}), Put::created);
  EXPECT_EQ(s.put_name("saves/run-1/0", {"3", 5, 1}), Put::refused);
  EXPECT_EQ(s.put_name("saves/run-1/0", {"4", 6, 0}), Put::created);
  EXPECT_EQ(s.get_name("saves/run-1/0")->value, "4");
  for (const char* bad : {"", "a//b", "../a", "a/../b", "/a", "a b", "a/."})
    EXPECT_THROW(s.get_name(bad), artifacts::BadRequest) << bad;
}

}  // namespace
}  // namespace shunttrail::test
