// Golden values of formats outside the controllers: messages of workers, users, the cloud and the
// state service, and files of the agent, the artifact store and the local cluster. Job
// descriptions, launch orders and ends of tasks are in agent_attempt_table_test.cpp.
#include <gtest/gtest.h>
#include <sqlite3.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "agent/agent_journal.h"
#include "agent/lease_file.h"
#include "agent/settings.h"
#include "agent/task_supervisor.h"
#include "artifacts/store.h"
#include "client_protocol/client_protocol.h"
#include "client_protocol/job_description.h"
#include "emulators/cloud.h"
#include "emulators/state.h"
#include "local_cluster/settings.h"
#include "loopback.h"

namespace shunttrail::test {
namespace {
namespace fs = std::filesystem;
using wire::ExitReason;
using wire::TaskState;

class AgentGolden : public ::testing::Test {
 protected:
  AgentGolden() {
    std::string name = fs::temp_directory_path() / "shunt-golden-XXXXXX";
    dir_ = ::mkdtemp(name.data());
  }
  ~AgentGolden() override { fs::remove_all(dir_); }
  void put(const std::string& name, const std::string& bytes) {
    std::ofstream(dir_ / name, std::ios::binary) << bytes;
  }
  std::string read(const std::string& name) { return artifacts::read_file_or_empty(dir_ / name); }

  fs::path dir_;
};

TEST_F(AgentGolden, HeartbeatsOfWorkers) {
  const std::tuple<TaskState, ExitReason, bool, const char*> rows[] = {
      {TaskState::fetching, ExitReason::none, false, R"("pulling")"},
      {TaskState::running, ExitReason::none, false, R"("running")"},
      {TaskState::saving, ExitReason::none, false, R"("flushing")"},
      {TaskState::exited, ExitReason::done, false, R"("exited","stop_cause":"done")"},
      {TaskState::exited, ExitReason::stopped, true, R"("exited","stop_cause":"stopped")"},
      {TaskState::exited, ExitReason::stopped, false, R"("exited","stop_cause":"stopped")"},
      {TaskState::exited, ExitReason::error, false, R"("exited","stop_cause":"error")"},
      {TaskState::exited, ExitReason::no_room, false, R"("exited","stop_cause":"full")"},
      {TaskState::exited, ExitReason::busy, false, R"("exited","stop_cause":"in_use")"},
      {TaskState::exited, ExitReason::unknown, false, R"("exited","stop_cause":"unknown")"}};
  wire::Heartbeat heartbeat{"m-000231", "10.1.0.232:9000", "g8", "a", true, 1, 88,
                            41,         std::nullopt,      {}};
  std::string cars;
  for (const auto& [state, why, kept, text] : rows) {
    heartbeat.tasks.push_back({{"run-000412", 3}, 2, state, why, kept});
    const std::string kept_field =
        why == ExitReason::stopped ? kept ? R"("kept":true,)" : R"("kept":false,)" : "";
    cars += (cars.empty() ? "" : ",") + (R"({"car":"run-000412/3","departure":2,)" + kept_field) +
            R"("signal":)" + text + "}";
  }
  auto body = [&](const std::string& recall) {
    return R"({"address":"10.1.0.232:9000","borrowed_stock":true,"cars":[)" + cars +
           R"(],"engine":"m-000231","recall_s":)" + recall +
           R"(,"shift":1,"staff":41,"stock":"g8","waybill":88,"yard":"a"})";
  };
  EXPECT_EQ(client_protocol::encode_heartbeat(heartbeat), body("null"));
  heartbeat.notice_s = 25.5;
  EXPECT_EQ(client_protocol::encode_heartbeat(heartbeat), body("25.5"));
}

TEST_F(AgentGolden, AnswersToWorkersAndUsers) {
  const std::string list =
      R"("orders":[{"car":"run-000412/4","departure":2,"order":"start"},{"brake_s":10.0,"car":"run-000377/1","departure":1,"order":"halt"},{"car":"run-000398/0","departure":1,"order":"reap"}])";
  auto response =
      client_protocol::decode_heartbeat_response("{" + list + R"(,"shift":2,"staff":41})");
  EXPECT_TRUE(response.refused.empty());
  EXPECT_EQ(response.incarnation, 2u);
  EXPECT_EQ(wire::encode_heartbeat_response(response.token.value_or(0), response.commands),
            "{" + list + R"(,"staff":41})");
  EXPECT_EQ(client_protocol::redirect_of(R"({"dispatcher":"railhead-2"})"), "railhead-2");
  EXPECT_EQ(client_protocol::redirect_of("{}"), "");
  for (const char* state : {"queued", "running", "done", "cancelled"}) {
    const std::string text =
        R"({"done":3,"running":13,"signal":")" + std::string(state) + R"(","uid":"run-000412"})";
    auto decoded = client_protocol::decode_job_state(text);
    EXPECT_EQ(
        wire::encode_job_state(decoded.id, decoded.state, decoded.done, decoded.running, true),
        text);
  }
}

TEST_F(AgentGolden, Cloud) {
  EXPECT_EQ(
      client_protocol::encode_types({{"g8", 96, 8, 768, 12, 4.5, 45, {"a", "b"}, 200}}),
      R"({"stock_types":[{"cards":8.0,"hourly":12.0,"local_gb":200.0,"market_price":4.5,"mem_gb":768.0,"name":"g8","startup_s":45.0,"vcpus":96.0,"yards":["a","b"]}]})");
  const std::string rent =
      R"({"borrowed_stock":true,"charter":"r-17","count":12,"stock":"g8","yard":"a"})";
  auto decoded = client_protocol::decode_rent(rent);
  EXPECT_EQ(
      wire::encode_rent(decoded.name, decoded.type, decoded.zone, decoded.spot, decoded.count),
      rent);
  const std::string engines = R"({"engines":["m-000231","m-000232"]})";
  EXPECT_EQ(client_protocol::encode_rented(client_protocol::decode_delete(engines)), engines);
  EXPECT_EQ(
      client_protocol::encode_machines(
          {{{"m-000231", "10.1.0.232:9000", "g8", "a", "running", true, 61.5}}, true}),
      R"({"engines":[{"address":"10.1.0.232:9000","borrowed_stock":true,"held_s":61.5,"signal":"running","stock":"g8","uid":"m-000231","yard":"a"}],"has_next":true})");
}

TEST_F(AgentGolden, StateService) {
  const std::string txn =
      R"({"guards":[{"k":"a/b","stamp":0}],"writes":[{"set":"a/b","value":{"x":[1]},"block":7},{"drop":"c/d"}]})";
  EXPECT_EQ(wire::encode_transaction(client_protocol::decode_transaction(txn)), txn);
  EXPECT_EQ(client_protocol::decode_life_ms(R"({"life_ms":5000})"), 5000u);
  const std::string entry = R"({"k":"a/b","value":{"x":1},"stamp":412,"block":7})";
  EXPECT_EQ(client_protocol::encode_entry("a/b", R"({"x":1})", 412, 7), entry);
  EXPECT_EQ(client_protocol::encode_page({entry, client_protocol::encode_entry("c", "2", 3, 0)},
                                         true, 431),
            R"({"entries":[)" + entry +
                R"(,{"k":"c","value":2,"stamp":3}],"has_next":true,"ledger":431})");
  EXPECT_EQ(
      client_protocol::encode_watch(
          433, {{"c/9", std::string(R"({"x":1})"), 433}, {"c/d", std::nullopt, 432}}),
      R"({"ledger":433,"events":[{"set":"c/9","value":{"x":1},"stamp":433},{"drop":"c/d","stamp":432}]})");
  EXPECT_EQ(client_protocol::encode_failed({"a/b"}, 431), R"({"failed":["a/b"],"ledger":431})");
  EXPECT_EQ(client_protocol::encode_revision(432), R"({"ledger":432})");
  EXPECT_EQ(client_protocol::encode_lease(7), R"({"block":7})");
}

TEST_F(AgentGolden, ResultsStopsAndNames) {
  for (const std::string text :
       {R"({"attempt":7,"err":"e1","exit":3,"machine":"m-1","out":"d0","ran_s":1.5,"reason":"r"})",
        R"({"attempt":7,"exit":0,"machine":"m-1","ran_s":0.0})"})
    EXPECT_EQ(client_protocol::encode_result(client_protocol::decode_result(text)), text);
  const std::string stop = R"({"grace_s":4.5,"save":true})";
  EXPECT_EQ(agent::encode(agent::decode_stop(stop)), stop);
  const std::string named = R"({"value":{"hash":"d0","machine":"m-1"},"version":7,"part":2})";
  auto decoded = artifacts::decode_named(named);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(artifacts::encode_named(*decoded), named);
  EXPECT_EQ(client_protocol::description_name("run-7"), "jobs/run-7");
  EXPECT_EQ(client_protocol::result_name({"run-7", 3}), "results/run-7/3");
  EXPECT_EQ(client_protocol::checkpoint_name({"run-7", 3}), "saves/run-7/3");
  EXPECT_EQ(client_protocol::image_name("d0"), "images/d0");
}

// The agent's journal, as read by any SQLite program.
TEST_F(AgentGolden, JournalOnDisk) {
  agent::AttemptTable table;
  table.incarnation = 3;
  table.token = 41;
  table.reserved = 100;
  using agent::Phase;
  table.attempts = {
      {{"run-7", 0, 5}, {Phase::accepted, false, false, ExitReason::none, false, {}, 0, false}},
      {{"run-7", 1, 6},
       {Phase::launched, true, true, ExitReason::none, false, {2, 1, 4.5}, 3, true}},
      {{"run-7", 2, 7}, {Phase::ended, false, false, ExitReason::done, false, {1, 0, 1}, 0, false}},
      {{"run-8", 0, 8},
       {Phase::exited, true, false, ExitReason::unknown, true, {1, 0, 1}, 0, false}}};
  table.acknowledged = {{"run-6/0", 4}, {"run-5/1", 9}};
  auto nothing = [](const std::string&) {};
  {
    agent::AgentJournal journal(dir_ / "record.db", nothing);
    journal.begin("m-1", "boot-1", {});
    journal.save({}, table, "step");
    EXPECT_EQ(journal.load("m-1"), table);
  }
  sqlite3* db = nullptr;
  ASSERT_EQ(sqlite3_open((dir_ / "record.db").c_str(), &db), SQLITE_OK);
  auto rows = [&](const char* sql) {
    std::string out;
    sqlite3_exec(
        db, sql,
        [](void* to, int n, char** values, char**) {
          for (int i = 0; i < n; ++i)
            *static_cast<std::string*>(to) +=
                std::string(values[i] ? values[i] : "NULL") + (i + 1 < n ? "|" : "\n");
          return 0;
        },
        &out, nullptr);
    return out;
  };
  EXPECT_EQ(rows("SELECT * FROM facts ORDER BY name"),
            "boot|boot-1\nformat|1\nmachine|m-1\nreserved|100\nsession|3\ntoken|41\n");
  EXPECT_EQ(rows("SELECT * FROM attempts ORDER BY job,task"),
            "run-7|0|5|0|0|0|0|0|0.0|0.0|0.0|0|0.0\n"
            "run-7|1|6|1|1|1|0|0|2.0|1.0|4.5|1|3.0\n"
            "run-7|2|7|2|0|0|1|0|1.0|0.0|1.0|0|0.0\n"
            "run-8|0|8|3|1|0|6|1|1.0|0.0|1.0|0|0.0\n");
  EXPECT_EQ(rows("SELECT task,attempt FROM forgotten ORDER BY n"), "run-6/0|4\nrun-5/1|9\n");
  EXPECT_EQ(rows("SELECT sql FROM sqlite_master WHERE sql NOT NULL AND name NOT LIKE 'sqlite%'"),
            "CREATE TABLE facts(name TEXT PRIMARY KEY, value TEXT NOT NULL)\n"
            "CREATE TABLE attempts(job TEXT, task INTEGER, attempt INTEGER, phase INTEGER, "
            "stopping INTEGER, saving INTEGER, why INTEGER, kept INTEGER, cpus REAL, gpus REAL, "
            "mem_gb REAL, saves INTEGER, save_s REAL, PRIMARY KEY(job, task, attempt))\n"
            "CREATE TABLE forgotten(n INTEGER PRIMARY KEY AUTOINCREMENT, task TEXT UNIQUE, "
            "attempt INTEGER)\n");
  sqlite3_close(db);
}

// Version 1, little-endian: version, incarnation, and end of the lease in nanoseconds; the rest of
// the page is 0.
TEST_F(AgentGolden, LeaseFile) {
  using agent::LeaseFile;
  const std::string words(
      "\1\0\0\0\0\0\0\0"
      "\3\0\0\0\0\0\0\0"
      "\0\xf9\x67\x62\x1e\0\0\0",
      24);  // 130.5 s
  const std::string page = words + std::string(4096 - words.size(), '\0');
  { LeaseFile(dir_ / "lease", LeaseFile::Open::write).set(3, 130.5); }
  EXPECT_EQ(read("lease"), page);
  put("other", page);
  LeaseFile reader(dir_ / "other", LeaseFile::Open::read);
  EXPECT_EQ(reader.incarnation(), 3u);
  EXPECT_EQ(reader.until(), 130.5);
}

// ---- the local cluster

// A log with each kind of line: its form after a start, and the lines that each request appends.
TEST_F(AgentGolden, LogOfTheStateServiceEmulator) {
  put("state.log",
      R"({"ledger":5,"next_hold":3}
{"hold":2,"life_s":5.0}
{"k":"a","value":{"x":1},"stamp":4,"lease":2}
{"hold":3,"life_s":1.5}
{"ledger":6,"commit":{"guards":[],"writes":[{"set":"b","value":[2],"block":3},{"set":"c","value":"z"}]}}
{"drops":["b"],"ledger":7,"over":3}
{"ledger":8,"comm)");
  actor::Loop loop;
  const config::Endpoint at{"127.0.0.1", free_port()};
  emulators::StateServiceEmulator state(loop, at, dir_ / "state.log");
  const std::string begun = R"({"ledger":7,"next_hold":4}
{"hold":2,"life_s":5.0}
{"k":"a","value":{"x":1},"stamp":4,"lease":2}
{"k":"c","value":"z","stamp":6,"lease":0}
)";
  EXPECT_EQ(read("state.log"), begun);
  net::Client client(loop, at, 1, 4);
  auto ask = [&](const char* method, const std::string& path, const std::string& body) {
    std::optional<net::Result> got;
    client.request(method, path, body, 10, [&](net::Result r) { got = std::move(r); });
    run_loop_until(
        loop, [&] { return got.has_value(); }, 200000);
    return got ? std::to_string(got->status) + " " + got->body : "no answer";
  };
  const std::string commit =
      R"({"guards":[{"k":"c","stamp":6}],"writes":[{"drop":"c"},{"set":"d","value":{"y":2}}]})";
  EXPECT_EQ(ask("POST", "/commit", commit), R"(200 {"ledger":8})");
  EXPECT_EQ(ask("POST", "/commit", commit), R"(409 {"failed":["c"],"ledger":8})");
  EXPECT_EQ(ask("POST", "/holds", R"({"life_ms":60000})"), R"(200 {"block":4})");
  EXPECT_EQ(ask("DELETE", "/holds/4", ""), "200 {}");
  EXPECT_EQ(read("state.log"), begun + R"({"ledger":8,"commit":)" + commit + R"(}
{"hold":4,"life_s":60.0}
{"drops":[],"ledger":9,"over":4}
)");
  EXPECT_EQ(
      ask("GET", "/kv?starts=", ""),
      R"(200 {"entries":[{"k":"a","value":{"x":1},"stamp":4,"block":2},{"k":"d","value":{"y":2},"stamp":8}],"has_next":false,"ledger":8})");
  EXPECT_EQ(ask("GET", "/kv/c", ""), R"(404 {"ledger":8})");
}

TEST_F(AgentGolden, FileOfTheCloudEmulator) {
  const std::string first =
      R"({"name":"m-000001","rented_at":1733000000.5,"spot":true,"type":"t4","zone":"a"})";
  auto file = [&](const std::string& machines) {
    return R"({"machines":[)" + machines +
           R"(],"next":3,"requests":{"c-9-1":["m-000001","m-000002"]}})";
  };
  put("cloud.json",
      file(first + R"(,{"name":"m-000002","rented_at":1.0,"spot":false,"type":"t4","zone":"b"})"));
  actor::Loop loop;
  const config::Endpoint at{"127.0.0.1", free_port()};
  emulators::CloudEmulator cloud(
      loop, at, {{{"t4", 4, 0, 16, 0.4, 0.1, 1000, {"a", "b"}}, 5}}, 20, dir_ / "cloud.json",
      {[] { return "127.0.0.1:1"; }, [](const auto&) {}, [](auto, const auto& done) { done(); }});
  net::Client client(loop, at, 1, 4);
  std::optional<net::Result> got;
  client.request("POST", "/rentals/delete", R"({"engines":["m-000002"]})", 10,
                 [&](net::Result r) { got = std::move(r); });
  run_loop_until(
      loop, [&] { return got.has_value(); }, 200000);
  ASSERT_TRUE(got);
  EXPECT_EQ(got->status, 200);
  EXPECT_EQ(read("cloud.json"), file(first));
}

// The settings that the local cluster writes for its programs have to be accepted by their parsers.
TEST_F(AgentGolden, SettingsWrittenByTheLocalCluster) {
  local_cluster::Settings settings;
  settings.zones = {"a"};
  settings.teams = {{"red", 4, 8, 0, 1}};
  settings.types = {{{"t4", 4, 0.5, 16, 0.4, 0.1, 1, {"a"}}, 5}};
  const std::vector<local_cluster::ControllerAddresses> all = {
      {"node-0", "a", {"127.0.0.1", 1}, {"127.0.0.1", 2}},
      {"node-1", "a", {"127.0.0.1", 3}, {"127.0.0.1", 4}}};
  const std::string controller =
      local_cluster::controller_settings(settings, all, 0, {"127.0.0.1", 5}, {"127.0.0.1", 6});
  EXPECT_EQ(nlohmann::json::parse(controller).dump(1), controller);
  EXPECT_EQ(
      nlohmann::json::parse(controller).dump(),
      R"({"cluster":{"clock_off_ms":100,"cloud":{"list_lag_s":1.0,"rps":20.0},"objectives":[],"quota":{"cpu_share":1.0,"max_sockets":4000,"ram_mb":512},"size":2,"state":{"rps":3000,"txn_ops":64,"value_kb":32,"write_rps":1500},"teams":[{"cpus":4.0,"cpus_max":8.0,"gpus":0.0,"gpus_max":1.0,"name":"red"}],"workers":{"cancel_s":14.0,"lease_s":6.0,"report_s":1.0},"zones":["a"]},"front":"127.0.0.1:1","host_name":"node-0","internal_addr":"127.0.0.1:2","services":{"cloud":"127.0.0.1:6","state":"127.0.0.1:5"},"siblings":[{"addr":"127.0.0.1:4","host_name":"node-1","zone":"a"}],"zone":"a"})");
  EXPECT_EQ(config::parse_settings(controller).nodes,
            (std::vector<std::string>{"node-0", "node-1"}));
  emulators::CloudEmulator::Machine machine;
  machine.name = "m-000001";
  machine.type = "t4";
  machine.zone = "a";
  machine.address = "127.0.0.1:7";
  machine.spot = true;
  const std::string agent = local_cluster::agent_settings(settings, all, machine, {"127.0.0.1", 8});
  EXPECT_EQ(agent, R"(<?xml version="1.0"?>
<shunt-agent>
  <machine>m-000001</machine>
  <type>t4</type>
  <zone>a</zone>
  <address>127.0.0.1:7</address>
  <spot>true</spot>
  <cpus>4</cpus>
  <gpus>0.5</gpus>
  <mem-gb>16</mem-gb>
  <report-s>1</report-s>
  <lease-s>6</lease-s>
  <controllers>
    <controller name="node-0" address="127.0.0.1:1" />
    <controller name="node-1" address="127.0.0.1:3" />
  </controllers>
  <depot>127.0.0.1:8</depot>
  <cache-gb>10</cache-gb>
  <disk-reserve-mb>256</disk-reserve-mb>
  <file-mb>1024</file-mb>
</shunt-agent>
)");
  EXPECT_EQ(agent::parse_settings(agent).capacity, (agent::Resources{4, 0.5, 16}));
}

}  // namespace
}  // namespace shunttrail::test
